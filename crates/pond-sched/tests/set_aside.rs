//! A unit that was set aside is tried again once its obstacle is gone.

use pond_proto::{Labels, Millis, Selector, Unit, VmKey};
use pond_sched::Scheduler;
use pond_state::{Change, Liveness, Meta, Order, State};
use pond_test::{job, service, vm};

fn plan(state: &mut State, scheduler: &mut Scheduler, now: u64) {
    for change in scheduler.plan(state, Millis(now)) {
        state.apply(change);
    }
}

fn apply(state: &mut State, units: Vec<Unit>) {
    let meta = Meta { at: Millis(1), ..Meta::default() };
    state.apply(Change::Order { meta, order: Order::Apply { units } });
}

#[test]
fn unit_with_an_affinity_is_placed_once_the_required_unit_is() {
    let mut state = State::new();
    state.apply(Change::Listed { at: Millis(1), vms: vec![vm("x")] });
    let (at, vm, why) = (Millis(1), VmKey(0), String::new());
    state.apply(Change::Judged { at, vm, liveness: Liveness::Live, why });
    let mut scheduler = Scheduler::new();
    let neighbour = Selector::equals("role", "db");
    apply(&mut state, vec![Unit { affinity: Some(neighbour), ..job("near") }]);
    plan(&mut state, &mut scheduler, 10);
    assert!(state.unit("near").unwrap().tasks.is_empty());
    let labels = Labels::from([("role".to_owned(), "db".to_owned())]);
    apply(&mut state, vec![Unit { labels, ..service("db", 1) }]);
    for now in 1..600 {
        plan(&mut state, &mut scheduler, now * 1_000);
    }
    assert!(!state.unit("db").unwrap().tasks.is_empty());
    assert!(!state.unit("near").unwrap().tasks.is_empty(), "set aside for ten minutes");
}
