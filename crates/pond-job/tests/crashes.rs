//! Tasks that crash every worker that starts them.
//!
//! Guards against a crashing task that is started without limit: two tasks were started 34 and 35
//! times in two minutes, and each time a worker crashed 10 ms later with all its runs. A crashed
//! worker lists no ends. When its next incarnation registers, its runs are removed and may be
//! placed again, immediately and with their old urgency. Ends of kind `failed` and what a leader
//! learns about workers do not cover such losses, because both depend on listed ends; the
//! replicated state must count them. In the log lines of lost incarnations, the same task appears
//! loss after loss with no time run. These tests fail without the count.

mod support;

use pond_job::Task;
use pond_proto::job::{Phase, Step};
use support::crashing::Pool;
use support::{step, task};

/// The accepted limit: three crashed workers, and two further starts.
const MAX_STARTS: u32 = 5;

/// Submits a job whose first task crashes its workers, together with jobs that crash nothing.
fn submit_culprit_and_others(pool: &mut Pool, culprit: u64) {
    pool.culprits.insert(task(culprit, 0, 0));
    pool.harness.submit(culprit, vec![step(2, 3_000)]);
    for id in 1..6 {
        pool.harness.submit(culprit + id, vec![step(4, 500)]);
    }
}

#[test]
fn task_that_crashes_each_worker_is_given_up() {
    let mut pool = Pool::new(5);
    submit_culprit_and_others(&mut pool, 10);
    pool.advance(60_000);
    let starts = pool.starts[&task(10, 0, 0)];
    assert!(starts <= MAX_STARTS, "{starts} starts, {} crashes", pool.crashes);
    assert_eq!(pool.harness.phase(10), Some(Phase::Failed));
}

#[test]
fn crashes_are_counted_across_leaders_and_snapshots() {
    let mut pool = Pool::new(5);
    submit_culprit_and_others(&mut pool, 10);
    for _ in 0..40 {
        pool.advance(1_500);
        pool.replace_leader();
    }
    let starts = pool.starts[&task(10, 0, 0)];
    assert!(starts <= MAX_STARTS, "{starts} starts, {} crashes", pool.crashes);
    assert_eq!(pool.harness.phase(10), Some(Phase::Failed));
}

#[test]
fn tasks_colocated_with_a_crash_are_done_in_the_end() {
    let mut pool = Pool::new(5);
    submit_culprit_and_others(&mut pool, 10);
    pool.advance(60_000);
    for id in 11..16 {
        assert_eq!(pool.harness.phase(id), Some(Phase::Completed), "job {id}");
    }
}

#[test]
fn only_recently_started_runs_are_suspected() {
    let mut pool = Pool::new(1);
    pool.harness.submit(1, vec![Step { long_running: true, ..step(2, 1_000) }]);
    pool.advance(5_000);
    pool.culprits.insert(task(2, 0, 0));
    pool.harness.submit(2, vec![step(1, 1_000)]);
    pool.advance(5_000);
    let suspect = |id, index| {
        let job = pool.harness.state.job(id).expect("the job exists");
        job.task(task(id, 0, index)).is_some_and(Task::is_suspect)
    };
    assert!(pool.crashes > 0 && suspect(2, 0));
    assert!(!suspect(1, 0) && !suspect(1, 1));
}

/// Guards against a crashing task that is hidden by other crashes. Everything was killed, workers
/// came back immediately one after the other, and one task crashed ten of their incarnations within
/// 2 s. While other workers crashed on their own, each loss counted as one at which the task was
/// only co-located, however often it had just begun there.
#[test]
fn task_is_given_up_although_other_workers_crash_on_their_own() {
    let mut pool = Pool::new(6).with_back_ms(100);
    let one_each = Step { long_running: true, max_per_worker: 1, ..step(6, 1_000) };
    pool.harness.submit(1, vec![one_each]);
    pool.advance(3_000);
    pool.kill_all();
    submit_culprit_and_others(&mut pool, 10);
    for _ in 0..25 {
        pool.crash_with_agent(4);
        pool.crash_with_agent(5);
        pool.advance(400);
    }
    let starts = pool.starts[&task(10, 0, 0)];
    assert!(starts <= MAX_STARTS, "{starts} starts, {} crashes", pool.crashes);
    assert_eq!(pool.harness.phase(10), Some(Phase::Failed));
    for id in 11..16 {
        assert_eq!(pool.harness.phase(id), Some(Phase::Completed), "job {id}");
    }
}

/// Where no worker crashes on its own, a second crash with no other run on the worker is
/// conclusive.
#[test]
fn two_crashes_are_enough_where_no_worker_crashes_on_its_own() {
    let mut pool = Pool::new(8);
    pool.advance(20_000);
    pool.culprits.insert(task(10, 0, 0));
    pool.harness.submit(10, vec![step(1, 3_000)]);
    pool.advance(20_000);
    assert_eq!((pool.starts[&task(10, 0, 0)], pool.crashes), (2, 2));
    assert_eq!(pool.ended.get(&10), Some(&Phase::Failed));
}

/// Where workers keep crashing on their own, two crashes may be a coincidence.
#[test]
fn two_crashes_are_not_enough_where_workers_crash_on_their_own() {
    let mut pool = Pool::new(8);
    for index in (0..8).cycle().take(24) {
        pool.crash(index);
        pool.advance(1_000);
    }
    pool.advance(6_000);
    pool.culprits.insert(task(10, 0, 0));
    pool.harness.submit(10, vec![step(1, 3_000)]);
    pool.advance(30_000);
    let starts = pool.starts[&task(10, 0, 0)];
    assert!((3..=MAX_STARTS).contains(&starts), "{starts} starts");
    assert_eq!(pool.ended.get(&10), Some(&Phase::Failed));
}
