//! Units whose tasks are lost with their VMs soon after their start, again and again.
//!
//! The VM may have gone by itself, so nothing is given up. But a unit that takes down each VM that it is given
//! must not go through the whole fleet at the speed of placement.

use pond_proto::{Millis, TaskKey, VmKey};
use pond_state::{Action, Change, Decision, End, Liveness, Meta, Order, Reply, State};
use pond_test::{job, meta, service, vm};

/// When the unit may be placed again after the `i`th of these losses, in milliseconds after it; each run was
/// lost so long after its start.
fn waits(unit: pond_proto::Unit, lived_ms: u64, losses: u64) -> Vec<u64> {
    let mut state = State::new();
    let name = unit.name.clone();
    let meta: Meta = meta("1");
    state.apply(Change::Listed { at: Millis(1), vms: vec![vm("a")] });
    let (vm, liveness) = (VmKey(0), Liveness::Live);
    state.apply(Change::Judged { at: Millis(1), vm, liveness, why: String::new() });
    state.apply(Change::Order { meta, order: Order::Apply { units: vec![unit] } });
    let mut waits = Vec::new();
    let mut now = Millis(1_000);
    for task in 0..losses {
        let decision = Decision::new(now, Action::Place, "test");
        let unit = name.clone();
        let placed = state.apply(Change::Place { at: now, unit, replica: 0, vm, decision });
        assert_eq!(placed, Reply::Placed(TaskKey(task)));
        let started = Change::Started { at: now, task: TaskKey(task), endpoint: None };
        state.apply(started);
        now = now + lived_ms;
        state.apply(Change::Ended { at: now, task: TaskKey(task), end: End::Lost });
        let not_before = state.unit(&name).expect("a unit").not_before;
        waits.push(not_before.since(now));
        now = now.max(not_before) + 1;
    }
    waits
}

#[test]
fn unit_that_is_lost_soon_after_each_start_waits_longer_each_time() {
    for unit in [job("crashing"), service("crashing", 1)] {
        assert_eq!(waits(unit, 2_000, 5), [0, 1_000, 2_000, 4_000, 8_000]);
    }
}

#[test]
fn unit_that_runs_for_long_is_placed_again_at_once() {
    for unit in [job("sound"), service("sound", 1)] {
        assert_eq!(waits(unit, 120_000, 4), [0; 4]);
    }
}
