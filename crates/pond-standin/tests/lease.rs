//! A worker counts a lease from the stamp in the request, not from its arrival: a request that was
//! delayed on its way must not grant more time than the leader knows of.

use pond_platform::{Ending, Lease, Stamp, Start, TaskState};
use pond_proto::{Millis, Size, TaskKey};
use pond_standin::Worker;

const INCARNATION: u64 = 7;
const TASK: TaskKey = TaskKey(1);
const LEASE_MS: u64 = 1_000;

fn stamp(ms: u64) -> Stamp {
    Stamp { incarnation: INCARNATION, ms }
}

/// Returns a worker on which a task was started at 1,000 ms with a stamp of 600 ms.
fn with_delayed_start() -> Worker {
    let mut worker = Worker::new(INCARNATION, Size::new(4_000, 4_000, 0), 0);
    worker.tick(Millis(1_000));
    let request = Start {
        term: 1,
        stamp: stamp(600),
        lease_ms: LEASE_MS,
        unit: "unit".to_owned(),
        program: "work seconds=20".to_owned(),
        size: Size::new(1_000, 1_000, 0),
        slots: 0,
        connections: 0,
        resume_from: None,
    };
    worker.start(TASK, request).expect("the task starts");
    worker
}

fn state(worker: &Worker) -> &TaskState {
    &worker.tasks()[&TASK].state
}

#[test]
fn lease_of_a_start_counts_from_its_stamp() {
    let mut worker = with_delayed_start();
    worker.tick(Millis(1_599));
    assert_eq!(*state(&worker), TaskState::Running);
    worker.tick(Millis(1_600));
    assert_eq!(*state(&worker), TaskState::Ended(Ending::Expired));
}

#[test]
fn renewal_counts_from_its_stamp() {
    let mut worker = with_delayed_start();
    worker.tick(Millis(1_500));
    let (stamp, tasks) = (Some(stamp(900)), vec![TASK]);
    let renewal = Lease { term: 1, stamp, lease_ms: LEASE_MS, tasks };
    worker.lease(&renewal).expect("the lease is renewed");
    worker.tick(Millis(1_899));
    assert_eq!(*state(&worker), TaskState::Running);
    worker.tick(Millis(1_900));
    assert_eq!(*state(&worker), TaskState::Ended(Ending::Expired));
}
