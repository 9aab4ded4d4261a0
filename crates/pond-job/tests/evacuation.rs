//! Evacuated data centres: nothing is started there, what runs goes on, and nothing is lost.

mod support;

use pond_job::{Change, Decision, Obstacle, State};
use pond_proto::Millis;
use pond_proto::job::{How, Phase, RunName, Step};
use support::{Bench, step, task};

/// Two workers in data centres of their own.
fn two() -> Bench {
    Bench::new().with_vm_in("north", "a", 8_000).with_vm_in("south", "b", 8_000)
}

fn run(job: u64, index: u32) -> RunName {
    RunName { task: task(job, 0, index), number: 1 }
}

/// The obstacles that the last line about a job counts.
fn obstacle(bench: &Bench, job: u64, obstacle: Obstacle) -> Option<usize> {
    bench.decided.iter().rev().find_map(|decision| match decision {
        Decision::Waiting { job: about, obstacles, .. } if *about == job => {
            Some(obstacles.count(obstacle))
        }
        _ => None,
    })
}

#[test]
fn nothing_is_started_in_an_evacuated_data_centre() {
    let mut bench = two();
    bench.evacuate("north");
    bench.submit(1, vec![step(4, 2_000)]);
    bench.settle();
    assert!(bench.started("a").is_empty());
    assert_eq!(bench.started("b").len(), 4);
}

#[test]
fn what_waits_only_for_it_says_so_and_goes_on_at_once() {
    let mut bench = two();
    bench.vms.get_mut("a").expect("a worker").labels = vec!["gpu".to_owned()];
    bench.report("a");
    bench.evacuate("north");
    bench.submit(1, vec![Step { required_label: "gpu".to_owned(), ..step(1, 1_000) }]);
    // Nothing is tried there, however long it waits.
    bench.pass(30, &["a", "b"]);
    assert!(bench.started("a").is_empty());
    assert_eq!(obstacle(&bench, 1, Obstacle::Evacuated), Some(1));
    assert_eq!(obstacle(&bench, 1, Obstacle::Unsuitable), Some(1));
    bench.readmit("north");
    bench.settle();
    assert_eq!(bench.started("a"), [run(1, 0)]);
}

#[test]
fn what_was_given_and_has_not_begun_is_taken_back() {
    let mut bench = two();
    bench.submit(1, vec![step(1, 6_000)]);
    bench.settle();
    let (given, other) = match bench.started("a").is_empty() {
        true => ("b", "a"),
        false => ("a", "b"),
    };
    let data_centre = bench.vms[given].data_centre.clone();
    bench.evacuate(&data_centre);
    bench.settle();
    assert_eq!(bench.stopped(given), [run(1, 0)]);
    bench.vms.get_mut(given).expect("a worker").unstarted = vec![run(1, 0)];
    bench.report(given);
    bench.settle();
    let again = RunName { number: 2, ..run(1, 0) };
    assert_eq!(bench.started(other), [again]);
}

#[test]
fn what_runs_goes_on_and_its_next_step_goes_elsewhere() {
    let mut bench = Bench::new().with_vm_in("north", "a", 8_000);
    bench.submit(1, vec![step(1, 1_000), Step { after: vec![0], ..step(1, 1_000) }]);
    bench.submit(2, vec![Step { lasting: true, ..step(1, 1_000) }]);
    bench.settle();
    bench.obey("a");
    bench.report("a");
    bench = bench.with_vm_in("south", "b", 8_000);
    bench.evacuate("north");
    bench.pass(1, &["a", "b"]);
    assert!(bench.stopped("a").is_empty());
    bench.end("a", run(1, 0), How::Done);
    assert_eq!(bench.started("b"), [RunName { task: task(1, 1, 0), number: 1 }]);
    assert_eq!(bench.place_of(task(2, 0, 0)), Some("a".to_owned()));
}

#[test]
fn next_leader_takes_back_what_the_former_one_gave() {
    let mut bench = two();
    bench.submit(1, vec![step(1, 6_000)]);
    bench.submit(2, vec![step(1, 6_000)]);
    bench.settle();
    let north = bench.started("a");
    bench.obey("b");
    bench.evacuate("north");
    let state = bench.state.encode().expect("a state");
    bench.state = State::decode(&state).expect("a state");
    bench.replace_leader();
    bench.vms.get_mut("a").expect("a worker").orders.clear();
    bench.pass(3, &["a", "b"]);
    assert!(bench.started("a").is_empty());
    assert_eq!(bench.stopped("a")[..1], north[..]);
    assert!(bench.stopped("b").is_empty());
}

#[test]
fn worker_that_has_not_listed_yet_gets_neither_start_nor_stop() {
    let mut bench = two();
    bench.submit(1, vec![step(1, 6_000)]);
    bench.submit(2, vec![step(1, 6_000)]);
    bench.settle();
    let there = bench.started("a");
    bench.evacuate("north");
    bench.replace_leader();
    let vm = bench.vms.get_mut("a").expect("a worker");
    vm.answers = false;
    vm.orders.clear();
    bench.pass(3, &["a", "b"]);
    assert!(bench.started("a").is_empty() && bench.stopped("a").is_empty());
    // It lists what began before.
    let vm = bench.vms.get_mut("a").expect("a worker");
    vm.answers = true;
    for run in there {
        let row = pond_proto::fleet::RunRow { run, percent: 10, ..Default::default() };
        vm.runs.insert(run, row);
    }
    bench.pass(3, &["a", "b"]);
    assert!(bench.stopped("a").is_empty());
}

#[test]
fn gang_with_a_member_there_is_taken_back_whole() {
    let mut bench = two();
    bench.submit(1, vec![Step { gang: true, ..step(2, 6_000) }]);
    bench.settle();
    bench.obey("b");
    bench.report("b");
    bench.evacuate("north");
    bench.settle();
    assert_eq!(bench.stopped("a").len(), 1);
    assert_eq!(bench.stopped("b").len(), 1);
}

#[test]
fn with_all_evacuated_nothing_starts_and_nothing_is_lost() {
    let mut bench = two();
    bench.evacuate("north");
    bench.evacuate("south");
    bench.submit(1, vec![step(4, 2_000)]);
    bench.submit(2, vec![Step { lasting: true, ..step(2, 1_000) }]);
    bench.pass(60, &["a", "b"]);
    assert!(bench.started("a").is_empty() && bench.started("b").is_empty());
    assert_eq!(bench.phase(1), Some(Phase::Queued));
    bench.readmit("south");
    bench.settle();
    assert_eq!(bench.started("b").len(), 5);
    bench.readmit("north");
    bench.settle();
    assert_eq!(bench.started("a").len() + bench.started("b").len(), 6);
}

#[test]
fn newest_order_in_the_log_is_in_force_and_repeats_change_nothing() {
    let mut bench = two();
    bench.evacuate("north");
    let first: Vec<(String, Millis)> =
        bench.state.evacuations().map(|(name, at)| (name.to_owned(), at)).collect();
    bench.now = bench.now + 700;
    bench.evacuate("north");
    let again: Vec<(String, Millis)> =
        bench.state.evacuations().map(|(name, at)| (name.to_owned(), at)).collect();
    assert_eq!(first, again);
    bench.readmit("north");
    bench.readmit("north");
    bench.readmit("south");
    assert_eq!(bench.state.evacuations().count(), 0);
    bench.evacuate("north");
    assert!(bench.state.is_evacuated("north") && !bench.state.is_evacuated("south"));
}

#[test]
fn snapshots_keep_evacuations_and_older_ones_have_none() {
    let mut state = State::new();
    let bytes = state.encode().expect("a state");
    // The last of the state's fields, which is empty here, is missing in snapshots of earlier versions.
    let (head, fields) = (bytes[0], &bytes[1..bytes.len() - 1]);
    assert_eq!((head, bytes[bytes.len() - 1]), (0x98, 0x80));
    let older = [&[head - 1], fields].concat();
    assert_eq!(State::decode(&older), Ok(state.clone()));
    state.apply(Change::Evacuate { data_centre: "north".to_owned(), at: Millis(5) });
    let bytes = state.encode().expect("a state");
    assert_eq!(State::decode(&bytes), Ok(state));
}
