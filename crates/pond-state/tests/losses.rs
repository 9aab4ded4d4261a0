//! Backoff of units whose tasks are repeatedly lost with their VMs soon after their start.
//!
//! The VM may have failed on its own, so the unit is not given up. But a unit that crashes every VM
//! it runs on must not reach the whole fleet at the speed of placement.

use pond_proto::{Millis, TaskKey, VmKey};
use pond_state::{Action, Change, Decision, End, Liveness, Meta, Order, Reply, State};
use pond_test::{job, meta, service, vm};

/// Returns how long the unit waits before its next placement after each of `losses` losses, in
/// milliseconds. Each run is lost `survived_ms` after its start.
fn backoffs(unit: pond_proto::Unit, survived_ms: u64, losses: u64) -> Vec<u64> {
    let mut state = State::new();
    let name = unit.name.clone();
    let meta: Meta = meta("1");
    state.apply(Change::Listed { at: Millis(1), vms: vec![vm("a")] });
    let (vm, liveness) = (VmKey(0), Liveness::Live);
    state.apply(Change::Judged { at: Millis(1), vm, liveness, why: String::new() });
    state.apply(Change::Order { meta, order: Order::Apply { units: vec![unit] } });
    let mut backoffs = Vec::new();
    let mut now = Millis(1_000);
    for task in 0..losses {
        let decision = Decision::new(now, Action::Place, "test");
        let unit = name.clone();
        let placed = state.apply(Change::Place { at: now, unit, replica: 0, vm, decision });
        assert_eq!(placed, Reply::Placed(TaskKey(task)));
        let started = Change::Started { at: now, task: TaskKey(task), endpoint: None };
        state.apply(started);
        now = now + survived_ms;
        state.apply(Change::Ended { at: now, task: TaskKey(task), end: End::Lost });
        let not_before = state.unit(&name).expect("a unit").not_before;
        backoffs.push(not_before.since(now));
        now = now.max(not_before) + 1;
    }
    backoffs
}

#[test]
fn unit_lost_soon_after_each_start_backs_off_longer_each_time() {
    for unit in [job("crashing"), service("crashing", 1)] {
        assert_eq!(backoffs(unit, 2_000, 5), [0, 1_000, 2_000, 4_000, 8_000]);
    }
}

#[test]
fn unit_lost_after_a_long_run_is_placed_again_at_once() {
    for unit in [job("sound"), service("sound", 1)] {
        assert_eq!(backoffs(unit, 120_000, 4), [0; 4]);
    }
}
