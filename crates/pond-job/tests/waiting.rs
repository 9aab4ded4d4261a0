//! How many jobs of a queue wait with no task begun.
//!
//! Guards against waiting jobs that are not counted: one job was reported as waiting while five had
//! waited for 5 s. They were placed on a worker that another task crashed in the same moment, and
//! once its loss was known on another such worker. A job must not count as begun as soon as its
//! tasks are placed. In the log, each of their starts was on an incarnation that crashed a few
//! milliseconds later; in these tests nothing ever begins.

mod support;

use pond_proto::fleet::RunRow;
use support::{Harness, step, task};

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

fn waiting(harness: &Harness) -> u64 {
    harness.leader.waiting(&harness.state, "quick")
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
