//! Workers whose room shrinks and grows while they run.
//!
//! A worker that does not guard its room starts whatever it is told to. So a run that was given to it and has
//! not begun is taken back once the room that it was meant for is gone.

mod support;

use pond_proto::job::How;
use support::{Bench, step, task};

fn resize(bench: &mut Bench, life: &str, room: u32) {
    bench.vms.get_mut(life).unwrap().room = room;
    bench.report(life);
    bench.settle();
}

#[test]
fn run_that_has_not_begun_goes_elsewhere_when_the_room_for_it_is_gone() {
    let mut bench = Bench::new().with_vm("a", 4_000);
    bench.submit(1, vec![step(2, 2_000)]);
    bench.settle();
    // The orders are lost on their way, or the worker gives no answer yet.
    assert_eq!(bench.started("a").len(), 2);
    bench.add_vm("b", 4_000);
    resize(&mut bench, "a", 2_000);
    let withdrawn = bench.stopped("a");
    assert_eq!(withdrawn.len(), 1);
    let run = withdrawn[0];
    bench.vms.get_mut("a").unwrap().unstarted.push(run);
    bench.report("a");
    bench.settle();
    assert_eq!(bench.place_of(run.task).as_deref(), Some("b"));
}

#[test]
fn start_that_comes_into_the_log_after_the_room_has_shrunk_is_not_ordered() {
    let mut bench = Bench::new().with_vm("a", 4_000);
    bench.submit(1, vec![step(1, 4_000)]);
    let proposed = bench.leader.tick(&bench.state, bench.now, bench.now, true);
    resize_silently(&mut bench, "a", 2_000);
    for output in proposed {
        if let pond_job::Output::Propose(change) = output {
            bench.apply(change);
        }
    }
    bench.settle();
    assert!(bench.started("a").is_empty());
}

/// The worker reports, and nothing is decided yet.
fn resize_silently(bench: &mut Bench, life: &str, room: u32) {
    bench.vms.get_mut(life).unwrap().room = room;
    bench.report(life);
}

#[test]
fn what_runs_stays_where_it_is_when_the_room_shrinks_below_it() {
    let mut bench = Bench::new().with_vm("a", 4_000);
    bench.submit(1, vec![step(2, 2_000)]);
    bench.settle();
    bench.obey("a");
    bench.report("a");
    resize(&mut bench, "a", 1_000);
    assert!(bench.stopped("a").is_empty());
    bench.submit(2, vec![step(1, 100)]);
    bench.settle();
    assert_eq!(bench.place_of(task(2, 0, 0)), None);
}

#[test]
fn room_that_has_grown_again_is_used_again() {
    let mut bench = Bench::new().with_vm("a", 4_000);
    bench.submit(1, vec![step(1, 2_000)]);
    bench.settle();
    bench.obey("a");
    resize(&mut bench, "a", 1_000);
    bench.submit(2, vec![step(1, 1_000)]);
    bench.settle();
    assert_eq!(bench.place_of(task(2, 0, 0)), None);
    resize(&mut bench, "a", 4_000);
    assert_eq!(bench.place_of(task(2, 0, 0)).as_deref(), Some("a"));
    let run = bench.started("a")[0];
    bench.end("a", run, How::Done);
}
