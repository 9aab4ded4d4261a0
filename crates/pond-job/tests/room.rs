//! Workers whose room shrinks and grows while they run.
//!
//! A worker that does not check its room starts whatever it is ordered to. A run that was placed on
//! it and has not begun is therefore withdrawn once the room for it is gone.

mod support;

use pond_proto::job::EndReason;
use support::{Harness, step, task};

fn resize(harness: &mut Harness, incarnation: &str, room: u32) {
    harness.vms.get_mut(incarnation).unwrap().room = room;
    harness.report(incarnation);
    harness.run_until_idle();
}

#[test]
fn run_that_has_not_begun_is_placed_elsewhere_when_its_room_is_gone() {
    let mut harness = Harness::new().with_vm("a", 4_000);
    harness.submit(1, vec![step(2, 2_000)]);
    harness.run_until_idle();
    // The orders are lost, or the worker has not answered yet.
    assert_eq!(harness.started("a").len(), 2);
    harness.add_vm("b", 4_000);
    resize(&mut harness, "a", 2_000);
    let withdrawn = harness.stopped("a");
    assert_eq!(withdrawn.len(), 1);
    let run = withdrawn[0];
    harness.vms.get_mut("a").unwrap().unstarted.push(run);
    harness.report("a");
    harness.run_until_idle();
    assert_eq!(harness.worker_of(run.task).as_deref(), Some("b"));
}

#[test]
fn start_committed_after_the_room_has_shrunk_is_not_ordered() {
    let mut harness = Harness::new().with_vm("a", 4_000);
    harness.submit(1, vec![step(1, 4_000)]);
    let proposals = harness.leader.tick(&harness.state, harness.now, harness.now, true);
    report_room(&mut harness, "a", 2_000);
    for output in proposals {
        if let pond_job::Output::Propose(change) = output {
            harness.apply(change);
        }
    }
    harness.run_until_idle();
    assert!(harness.started("a").is_empty());
}

/// Reports a new room without letting the leader decide.
fn report_room(harness: &mut Harness, incarnation: &str, room: u32) {
    harness.vms.get_mut(incarnation).unwrap().room = room;
    harness.report(incarnation);
}

#[test]
fn running_work_stays_when_the_room_shrinks_below_it() {
    let mut harness = Harness::new().with_vm("a", 4_000);
    harness.submit(1, vec![step(2, 2_000)]);
    harness.run_until_idle();
    harness.start_ordered("a");
    harness.report("a");
    resize(&mut harness, "a", 1_000);
    assert!(harness.stopped("a").is_empty());
    harness.submit(2, vec![step(1, 100)]);
    harness.run_until_idle();
    assert_eq!(harness.worker_of(task(2, 0, 0)), None);
}

#[test]
fn room_that_has_grown_again_is_used_again() {
    let mut harness = Harness::new().with_vm("a", 4_000);
    harness.submit(1, vec![step(1, 2_000)]);
    harness.run_until_idle();
    harness.start_ordered("a");
    resize(&mut harness, "a", 1_000);
    harness.submit(2, vec![step(1, 1_000)]);
    harness.run_until_idle();
    assert_eq!(harness.worker_of(task(2, 0, 0)), None);
    resize(&mut harness, "a", 4_000);
    assert_eq!(harness.worker_of(task(2, 0, 0)).as_deref(), Some("a"));
    let run = harness.started("a")[0];
    harness.end("a", run, EndReason::Done);
}
