//! How many jobs of a queue wait with no task begun.
//!
//! Seen: one job was said to wait while five had waited for five seconds. How it came about: they were given to a
//! worker that another task took down in the same moment, and once its loss was known to another such one.
//! Cause: a job counted as begun once its tasks had a place. Proved by: the log of their starts, each on a
//! life that went down a few milliseconds later; in these tests nothing ever begins.

mod support;

use pond_proto::fleet::RunRow;
use support::{Bench, step, task};

/// The jobs that are handed in.
const JOBS: u64 = 5;

/// Jobs of one task each that were given to the only worker, which has listed none of them.
fn placed() -> Bench {
    let mut bench = Bench::new().with_vm("a", 8_000);
    for id in 1..=JOBS {
        bench.submit(id, vec![step(1, 1_000)]);
    }
    bench.settle();
    assert!((1..=JOBS).all(|id| bench.place_of(task(id, 0, 0)).is_some()));
    bench
}

fn waiting(bench: &Bench) -> u64 {
    bench.leader.waiting(&bench.state, "quick")
}

/// The worker lists all that it was told to start.
fn list(bench: &mut Bench, life: &str) {
    let runs = bench.started(life);
    let vm = bench.vms.get_mut(life).expect("a life");
    vm.runs.extend(runs.into_iter().map(|run| (run, RunRow { run, ..RunRow::default() })));
    bench.report(life);
    bench.settle();
}

#[test]
fn what_was_given_to_a_worker_waits_until_it_is_listed_there() {
    let mut bench = placed();
    assert_eq!(waiting(&bench), JOBS);
    list(&mut bench, "a");
    assert_eq!(waiting(&bench), 0);
}

#[test]
fn what_never_began_on_a_lost_worker_waits() {
    let mut bench = placed();
    bench.add_life("agent-of-a", "next", 500);
    bench.settle();
    assert!(bench.place_of(task(1, 0, 0)).is_none());
    assert_eq!(waiting(&bench), JOBS);
}

#[test]
fn what_began_once_waits_no_more() {
    let mut bench = placed();
    list(&mut bench, "a");
    bench.add_life("agent-of-a", "next", 500);
    bench.settle();
    assert!(bench.place_of(task(1, 0, 0)).is_none());
    assert_eq!(waiting(&bench), 0);
}

/// A new leader takes what it has not heard of yet for begun.
#[test]
fn runs_on_workers_that_a_new_leader_does_not_know_have_begun() {
    let mut bench = placed();
    list(&mut bench, "a");
    bench.replace_leader();
    assert_eq!(waiting(&bench), 0);
    bench.report("a");
    assert_eq!(waiting(&bench), 0);
}
