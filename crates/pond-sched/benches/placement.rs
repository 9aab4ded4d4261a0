//! Measures the cost of a placement for several numbers of VMs and tasks.
//!
//! `cargo bench -p pond-sched --bench placement` prints the table of docs/MEASUREMENTS.md.

use std::time::Instant;

use pond_proto::{Labels, Millis, Size, Vm, VmKey};
use pond_sched::Scheduler;
use pond_state::{Change, Liveness, Meta, Order, State};
use pond_test::{job, service, vm};

/// Numbers of VMs and of tasks that already run.
const SIZES: [(u32, u32); 4] = [(10, 150), (100, 1_500), (400, 6_000), (1_200, 18_000)];

/// Number of jobs whose placement is measured.
const PLACED: u32 = 1_000;

fn fleet(vms: u32, tasks: u32) -> State {
    let mut state = State::new();
    let at = Millis(1);
    let one = |i: u32| Vm {
        labels: Labels::from([
            (Vm::DATA_CENTRE.to_owned(), format!("dc-{}", i % 14)),
            (Vm::RACK.to_owned(), format!("rack-{}", i / 20)),
        ]),
        size: Size::new(64_000, 256_000, 2 * u32::from(i.is_multiple_of(2))),
        ..vm(&format!("vm-{i}"))
    };
    state.apply(Change::Listed { at, vms: (0..vms).map(one).collect() });
    for vm in 0..vms {
        let (vm, why) = (VmKey(vm), String::new());
        state.apply(Change::Judged { at, vm, liveness: Liveness::Live, why });
    }
    let services = (0..tasks / 30).map(|i| service(&format!("service-{i}"), 10));
    let jobs = (0..tasks * 2 / 3).map(|i| job(&format!("job-{i}")));
    apply(&mut state, services.chain(jobs).collect());
    let mut scheduler = Scheduler::new();
    while place(&mut state, &mut scheduler) > 0 {}
    state
}

fn apply(state: &mut State, units: Vec<pond_proto::Unit>) {
    let meta = Meta { at: Millis(2), ..Meta::default() };
    state.apply(Change::Order { meta, order: Order::Apply { units } });
}

/// Makes and applies one plan; returns the number of placed tasks.
fn place(state: &mut State, scheduler: &mut Scheduler) -> u32 {
    let mut placed = 0;
    for change in scheduler.plan(state, Millis(10)) {
        placed += u32::from(matches!(change, Change::Place { .. }));
        state.apply(change);
    }
    let starting: Vec<_> =
        state.tasks().filter(|task| task.started.is_none()).map(|task| task.key).collect();
    for task in starting {
        state.apply(Change::Started { at: Millis(10), task, endpoint: None });
    }
    placed
}

fn main() {
    println!("| VMs | tasks | us a placement | us to apply it | placements a second |");
    println!("|---|---|---|---|---|");
    for (vms, tasks) in SIZES {
        let mut state = fleet(vms, tasks);
        let running = state.tasks().count();
        apply(&mut state, (0..PLACED).map(|i| job(&format!("new-{i}"))).collect());
        let mut scheduler = Scheduler::new();
        let (mut planning, mut applying, mut placed) = (0.0, 0.0, 0u32);
        while placed < PLACED {
            let begun = Instant::now();
            let changes = scheduler.plan(&state, Millis(10));
            planning += begun.elapsed().as_secs_f64();
            if changes.is_empty() {
                break;
            }
            let begun = Instant::now();
            for change in changes {
                placed += u32::from(matches!(change, Change::Place { .. }));
                state.apply(change);
            }
            applying += begun.elapsed().as_secs_f64();
        }
        let each = |seconds: f64| seconds * 1e6 / f64::from(placed.max(1));
        println!(
            "| {vms} | {running} | {:.1} | {:.1} | {:.0} |",
            each(planning),
            each(applying),
            1e6 / (each(planning) + each(applying))
        );
    }
}
