//! Tasks that crash every worker that starts them, where hardly anything is reported about the
//! crashes.
//!
//! Guards against a crashing task that is started again for as long as it is observed. How a loss
//! counts depends on what is reported about the lost worker, and here nothing is: the worker stays
//! away until its lease has expired, or its agent crashes with it while a new leader has just taken
//! over or while other workers crash. Such a loss counts as `Beside`, and no number of those was
//! enough to give the task up: 28 and 30 starts in these tests, all of whose losses were of that
//! kind. The tests fail without the count of runs that had just begun.

mod support;

use pond_proto::job::{Phase, Step};
use support::crashing::Pool;
use support::{step, task};

/// The accepted limit: three crashed workers, and two further starts.
const MAX_STARTS: u32 = 5;

/// A job whose first task crashes its workers. The other jobs are submitted with it and crash
/// nothing.
const CULPRIT: u64 = 10;

fn submit_all(pool: &mut Pool) {
    pool.culprits.insert(task(CULPRIT, 0, 0));
    pool.harness.submit(CULPRIT, vec![step(2, 3_000)]);
    for id in 1..6 {
        pool.harness.submit(CULPRIT + id, vec![step(4, 500)]);
    }
}

fn assert_given_up(pool: &Pool) {
    let starts = pool.starts[&task(CULPRIT, 0, 0)];
    assert!(starts <= MAX_STARTS, "{starts} starts, {} crashes", pool.crashes);
    let ended = |id: u64| pool.ended.get(&id).copied();
    assert_eq!(ended(CULPRIT), Some(Phase::Failed));
    for id in (1..6).map(|id| CULPRIT + id) {
        assert_eq!(ended(id), Some(Phase::Completed), "job {id}");
    }
}

#[test]
fn losses_of_workers_that_stay_away_until_their_leases_expire_are_counted() {
    let mut pool = Pool::new(5).with_back_ms(9_000);
    submit_all(&mut pool);
    pool.advance(180_000);
    assert_given_up(&pool);
}

fn new_leader_before_each_restart(pool: &mut Pool) {
    submit_all(pool);
    for _ in 0..900 {
        pool.advance(100);
        if pool.is_back_within(200) {
            pool.replace_leader();
        }
    }
}

fn others_keep_crashing(pool: &mut Pool) {
    let one_each = Step { long_running: true, max_per_worker: 1, ..step(6, 1_000) };
    pool.harness.submit(1, vec![one_each]);
    pool.advance(3_000);
    submit_all(pool);
    for _ in 0..60 {
        pool.crash(4);
        pool.crash(5);
        pool.advance(1_000);
    }
}

#[test]
fn losses_of_workers_whose_agents_crash_with_them_are_counted() {
    for (back_ms, crash_pattern) in
        [(3_000, new_leader_before_each_restart as fn(&mut Pool)), (1_000, others_keep_crashing)]
    {
        let mut pool = Pool::new(6).with_crashing_agents().with_back_ms(back_ms);
        crash_pattern(&mut pool);
        assert_given_up(&pool);
    }
}
