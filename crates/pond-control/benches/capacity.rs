//! Measures the cost per VM, task and claim that docs/CAPACITY.md is derived from, for several
//! sizes.
//!
//! `cargo bench -p pond-control --bench capacity`

use std::fs;
use std::hint::black_box;
use std::time::Instant;

use pond_control::{Answer, Call, CallResult, Reconciler, Step, Times};
use pond_platform::{LeaseAnswer, Stamp, TaskState, TaskStatus};
use pond_proto::wire::Frame;
use pond_proto::{Labels, Millis, Size, Vm, VmKey};
use pond_sched::{Measured, Scheduler};
use pond_state::{Change, Holder, Liveness, Meta, Order, State};
use pond_test::{job, service, vm};
use prost::Message;

/// Numbers of VMs; each VM runs five endpoints and ten batch tasks. The largest installation has
/// 1,200.
const SIZES: [u32; 4] = [100, 300, 600, 1_200];

fn memory_mib() -> f64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = text.split_whitespace().nth(1).and_then(|p| p.parse().ok()).unwrap_or(0.0);
    pages * 4096.0 / 1048576.0
}

fn times() -> Times {
    Times {
        lease_ms: 10_000,
        lease_expiry_ms: 10_501,
        renew_ms: 2_000,
        drain_ms: 30_000,
        grace_ms: 1_000,
        missing_ms: 30_000,
    }
}

/// Returns the state of a fleet with all tasks running.
fn fleet(vms: u32) -> State {
    let mut state = State::new();
    let at = Millis(1);
    let one = |i: u32| Vm {
        labels: Labels::from([
            (Vm::DATA_CENTRE.to_owned(), format!("dc-{}", i % 14)),
            (Vm::RACK.to_owned(), format!("rack-{}", i / 20)),
        ]),
        size: Size::new(64_000, 256_000, 2),
        endpoint_process: Some(format!("10.0.{}.{}:7701", i / 250, i % 250)),
        ..vm(&format!("vm-{i}"))
    };
    state.apply(Change::Listed { at, vms: (0..vms).map(one).collect() });
    for vm in 0..vms {
        let (vm, why) = (VmKey(vm), String::new());
        state.apply(Change::Judged { at, vm, liveness: Liveness::Live, why });
    }
    let services = (0..vms / 2).map(|i| service(&format!("service-{i}"), 10));
    let jobs = (0..vms * 10).map(|i| job(&format!("job-{i}")));
    let units = services.chain(jobs).collect();
    let meta = Meta { at, ..Meta::default() };
    state.apply(Change::Order { meta, order: Order::Apply { units } });
    let mut scheduler = Scheduler::new();
    loop {
        let plan = scheduler.plan(&state, Millis(10));
        let placed = plan.iter().any(|change| matches!(change, Change::Place { .. }));
        plan.into_iter().for_each(|change| {
            state.apply(change);
        });
        if !placed {
            break;
        }
    }
    let tasks: Vec<_> = state.tasks().map(|task| task.key).collect();
    for task in tasks {
        let endpoint = Some(format!("127.0.0.1:{}", 10_000 + task.0 % 50_000));
        state.apply(Change::Started { at: Millis(10), task, endpoint });
    }
    state
}

fn micros(begun: Instant) -> f64 {
    begun.elapsed().as_secs_f64() * 1e6
}

fn replicated_state() {
    println!(
        "\n| VMs | tasks | MiB of state | KiB of snapshot | ms to write it | KiB of a complete view for an entry | bytes for one changed endpoint |"
    );
    println!("|---|---|---|---|---|---|---|");
    for size in SIZES {
        let before = memory_mib();
        let mut state = fleet(size);
        let memory = memory_mib() - before;
        let begun = Instant::now();
        let bytes = state.encode();
        let write_ms = micros(begun) / 1000.0;
        let frame = |delta| Frame::new(pond_proto::wire::Body::View(delta)).encoded_len();
        let view = frame(state.delta(0, 1));
        let from = state.version();
        let task = state.tasks().find(|task| task.unit.starts_with("service")).map(|t| t.key);
        if let Some(task) = task {
            let endpoint = Some("127.0.0.1:9".to_owned());
            state.apply(Change::Started { at: Millis(11), task, endpoint });
        }
        println!(
            "| {size} | {} | {memory:.1} | {:.0} | {write_ms:.1} | {:.0} | {} |",
            state.tasks().count(),
            bytes.len() as f64 / 1024.0,
            view as f64 / 1024.0,
            frame(state.delta(from, 1))
        );
        black_box(state);
    }
}

/// Measures the steady work of a leader: leases are renewed and answered, usage reports are
/// processed, and nothing needs to change.
fn steady_leader() {
    println!(
        "\n| VMs | us a tick of the reconciler | us to take in one lease answer | us to take in one usage report of a VM | us a plan with nothing to place | share of a core |"
    );
    println!("|---|---|---|---|---|---|");
    for size in SIZES {
        let state = fleet(size);
        let mut reconciler = Reconciler::new(times(), 1, Millis(1000));
        let vms: Vec<Vm> = state.vms().map(|vm| vm.vm.clone()).collect();
        reconciler.listed(&state, Millis(1000), Millis(1000), vms);
        let (mut ticking, mut taking, mut ticks, mut answers) = (0.0, 0.0, 0u32, 0u32);
        let mut now = 1000;
        while ticks < 300 {
            now += 20;
            ticks += 1;
            let begun = Instant::now();
            reconciler.tick(&state, Millis(now), Millis(now), true, &|_, _| None);
            ticking += micros(begun);
            for step in reconciler.take_steps() {
                let Step::Call { vm, call: call @ Call::Lease(_), .. } = step else { continue };
                let call_result =
                    CallResult { vm, call, sent: Millis(now), result: Ok(lease(&state, vm, now)) };
                let begun = Instant::now();
                reconciler.call_ended(&state, Millis(now), Millis(now), call_result);
                taking += micros(begun);
                answers += 1;
            }
        }
        let mut scheduler = Scheduler::new();
        scheduler.plan(&state, Millis(now));
        let begun = Instant::now();
        for vm in state.vms().take(100) {
            scheduler.measure(&state, &usage(&state, vm.key, now));
        }
        let measuring = micros(begun) / 100.0;
        let begun = Instant::now();
        for step in 1..=10 {
            black_box(scheduler.plan(&state, Millis(now + step * 600)));
        }
        let planning = micros(begun) / 10.0;
        let (tick, answer) = (ticking / f64::from(ticks), taking / f64::from(answers.max(1)));
        // There are 50 ticks and 2 throttling rounds a second; each VM answers a lease and a usage
        // call every two seconds.
        let per_vm = f64::from(size) / 2.0;
        let share = (tick * 50.0 + planning * 2.0 + (answer + measuring) * per_vm) / 1e6;
        println!(
            "| {size} | {tick:.0} | {answer:.1} | {measuring:.1} | {planning:.0} | {:.1} % |",
            share * 100.0
        );
    }
}

fn lease(state: &State, vm: VmKey, now: u64) -> Answer {
    let status = |task: &pond_state::Task| TaskStatus {
        task: task.key,
        state: TaskState::Running,
        share: 100,
        checkpoint: None,
        endpoint: None,
    };
    let tasks = state.tasks_on(vm).map(status).collect();
    Answer::Lease(LeaseAnswer { stamp: Stamp { incarnation: 1, ms: now }, tasks })
}

fn usage(state: &State, vm: VmKey, now: u64) -> Vec<Measured> {
    let measured = |task: &pond_state::Task| Measured {
        task: task.key,
        at: Millis(now),
        milli_cpu: 500,
        memory_mib: 500,
        p99_us: Some(5_000),
        rate: None,
    };
    state.tasks_on(vm).map(measured).collect()
}

fn claims() {
    println!("\n| claims | MiB | us a claim | bytes of log a claim |\n|---|---|---|---|");
    for count in [50_000u64, 150_000, 450_000] {
        let before = memory_mib();
        let mut state = State::new();
        let mut bytes = 0;
        let mut spent = 0.0;
        for number in 0..count {
            let change = Change::Claim {
                at: Millis(1),
                service: "checkout".to_owned(),
                key: format!("purchase-{number:012}"),
                digest: 7,
                holder: Holder { incarnation: 1, number },
            };
            if number % 1000 == 0 {
                bytes += change.encode().len();
            }
            let begun = Instant::now();
            state.apply(change);
            spent += micros(begun);
        }
        println!(
            "| {count} | {:.0} | {:.1} | {:.0} |",
            memory_mib() - before,
            spent / count as f64,
            bytes as f64 / (count as f64 / 1000.0)
        );
    }
}

/// Measures the bytes that a worker with fifteen tasks exchanges with the leader, without HTTP
/// headers.
fn worker_bytes() {
    let state = fleet(100);
    let vm = VmKey(0);
    let tasks: Vec<_> = state.tasks_on(vm).map(|task| task.key).collect();
    let stamp = Stamp { incarnation: u64::MAX / 3, ms: 1_000_000_000 };
    let json = |value: &dyn Fn() -> serde_json::Result<String>| value().map_or(0, |t| t.len());
    let order = pond_platform::Lease { term: 12, stamp: Some(stamp), lease_ms: 10_000, tasks };
    let Answer::Lease(answer) = lease(&state, vm, 1_000_000_000) else { return };
    let report = |task: &pond_state::Task| pond_platform::Report {
        task: task.key,
        age_ms: 5_000,
        milli_cpu: 500,
        memory_mib: 500,
        p99_us: Some(5_000),
        rate: Some(100.0),
        progress_ms: Some(100_000),
    };
    let usage = pond_platform::Usage { reports: state.tasks_on(vm).map(report).collect() };
    println!(
        "\n| tasks | bytes of a lease call | of its answer | of a usage answer |\n|---|---|---|---|"
    );
    println!(
        "| {} | {} | {} | {} |",
        order.tasks.len(),
        json(&|| serde_json::to_string(&order)),
        json(&|| serde_json::to_string(&answer)),
        json(&|| serde_json::to_string(&usage))
    );
}

fn main() {
    worker_bytes();
    replicated_state();
    steady_leader();
    claims();
}
