//! How many jobs of a queue wait with no task begun.
//!
//! Guards against waiting jobs that are not counted: one job was reported as waiting while five had
//! waited for 5 s. They were placed on a worker that another task crashed in the same moment, and
//! once its loss was known on another such worker. A job must not count as begun as soon as its
//! tasks are placed. In the log, each of their starts was on an incarnation that crashed a few
//! milliseconds later; in these tests nothing ever begins.

mod support;

use pond_job::{Change, Configuration, End, Prospect, QueueKey};
use pond_proto::fleet::RunRow;
use pond_proto::job::{EndReason, RunName};
use support::{BATCH, HOST, Harness, PATH, configuration, step, task};

/// The number of submitted jobs.
const JOBS: u64 = 5;

/// Returns a pool in which jobs of one task each are placed on the only worker, which has listed
/// none of them.
fn placed() -> Harness {
    let mut harness = Harness::new().with_vm("a", 8_000);
    for id in 1..=JOBS {
        harness.submit(id, vec![step(1, 1_000)]);
    }
    harness.run_until_idle();
    assert!((1..=JOBS).all(|id| harness.worker_of(task(id, 0, 0)).is_some()));
    harness
}

fn waiting_at(harness: &Harness, prefix: &str) -> u64 {
    harness.leader.waiting(&harness.state, QueueKey { host: HOST, prefix })
}

fn waiting(harness: &Harness) -> u64 {
    waiting_at(harness, PATH)
}

/// Reports all runs that the worker was ordered to start.
fn list(harness: &mut Harness, incarnation: &str) {
    let runs = harness.started(incarnation);
    let vm = harness.vms.get_mut(incarnation).expect("the incarnation exists");
    vm.runs.extend(runs.into_iter().map(|run| (run, RunRow { run, ..RunRow::default() })));
    harness.report(incarnation);
    harness.run_until_idle();
}

#[test]
fn placed_jobs_wait_until_their_worker_lists_them() {
    let mut harness = placed();
    assert_eq!(waiting(&harness), JOBS);
    list(&mut harness, "a");
    assert_eq!(waiting(&harness), 0);
}

#[test]
fn jobs_that_never_began_on_a_lost_worker_wait() {
    let mut harness = placed();
    harness.add_incarnation("agent-of-a", "next", 500);
    harness.run_until_idle();
    assert!(harness.worker_of(task(1, 0, 0)).is_none());
    assert_eq!(waiting(&harness), JOBS);
}

#[test]
fn jobs_that_have_begun_once_no_longer_wait() {
    let mut harness = placed();
    list(&mut harness, "a");
    harness.add_incarnation("agent-of-a", "next", 500);
    harness.run_until_idle();
    assert!(harness.worker_of(task(1, 0, 0)).is_none());
    assert_eq!(waiting(&harness), 0);
}

/// A new leader assumes that runs have begun on workers that have not reported to it yet.
#[test]
fn runs_on_workers_that_a_new_leader_does_not_know_have_begun() {
    let mut harness = placed();
    list(&mut harness, "a");
    harness.replace_leader();
    assert_eq!(waiting(&harness), 0);
    harness.report("a");
    assert_eq!(waiting(&harness), 0);
}

/// Returns a configuration in which the queues of both prefixes have exchanged their names.
fn exchanged(version: u64) -> Configuration {
    let mut configuration = configuration(version);
    let names = [0, 1].map(|i| configuration.queues[i].name.clone());
    (configuration.queues[0].name, configuration.queues[1].name) =
        (names[1].clone(), names[0].clone());
    configuration
}

/// Guards against waiting jobs that are not counted once their queue has another name: callers know its host and path
/// only.
#[test]
fn waiting_jobs_are_counted_whatever_the_name_of_their_queue() {
    let mut harness = placed();
    let mut renamed = configuration(2);
    renamed.queues[0].name = "renamed".to_owned();
    harness.apply(Change::Configure(renamed));
    assert_eq!((waiting(&harness), waiting_at(&harness, BATCH)), (JOBS, 0));
    harness.apply(Change::Configure(exchanged(3)));
    assert_eq!((waiting(&harness), waiting_at(&harness, BATCH)), (JOBS, 0));
}

/// Guards against counts that mix up two queues with one name.
#[test]
fn waiting_jobs_of_queues_with_one_name_are_counted_apart() {
    let mut harness = Harness::new();
    let mut same = configuration(2);
    same.queues[1].name = same.queues[0].name.clone();
    harness.apply(Change::Configure(same));
    harness.submit(1, vec![step(1, 100)]);
    assert_eq!((waiting(&harness), waiting_at(&harness, BATCH)), (1, 0));
}

/// Guards against jobs that are judged by what was learned of another queue: the names of two have been exchanged.
#[test]
fn learned_durations_stay_with_the_host_and_path_of_a_queue() {
    let mut harness = Harness::new().with_vm("a", 2_000);
    // Tasks of the batch queue take ten times as long as estimated.
    for id in 1..=20 {
        harness.submit_batch(id, vec![step(1, 1_000)]);
        harness.run_until_idle();
        harness.start_ordered("a");
        harness.advance(10, &["a"]);
        let run = *harness.started("a").last().expect("the task was started");
        harness.end("a", run, EndReason::Done);
    }
    harness.apply(Change::Configure(exchanged(2)));
    harness.submit_batch(100, vec![step(1, 1_000)]);
    harness.submit(101, vec![step(1, 1_000)]);
    harness.run_until_idle();
    harness.start_ordered("a");
    harness.advance(2, &["a"]);
    assert_eq!(prospect(&harness, 100), Prospect::InTime);
    assert_eq!(prospect(&harness, 101), Prospect::Late);
}

/// Returns the prospect of a job whose run is stopped now.
fn prospect(harness: &Harness, id: u64) -> Prospect {
    let run = RunName { task: task(id, 0, 0), number: 1 };
    let end = End { number: 1_000, run, how: EndReason::Stopped, checkpoint: String::new() };
    let change = Change::Ended { worker: "a".to_owned(), ends: vec![end], unstarted: Vec::new() };
    let work = harness.leader.ended_work(&harness.state, harness.now, harness.now, &change);
    work.first().expect("the run is placed").prospect
}
