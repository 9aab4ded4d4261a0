//! Measures the overhead of a request through pondbay, compared with direct requests to the
//! endpoint in the same run.
//!
//! `cargo bench -p pond-local --bench requests` prints the tables of docs/MEASUREMENTS.md.

use std::collections::BTreeMap;
use std::fs;
use std::time::{Duration, Instant};

use pond_load::{Outcome, Plan, Report, Sample, Target, check, run};
use pond_local::{Installation, Options};
use pond_proto::{Job, Kind, Labels, Selector, Service, Size, Unit};
use pond_settings::{DataCentre, Installation as File, Lease, Log, LogFormat, VmGroup};

const SERVICE: &str = "till";
const RUN_TIME: Duration = Duration::from_secs(5);

/// Describes an installation with `vms` VMs and one service with an endpoint on each.
fn installation_file(vms: u32, service_us: u64) -> File {
    let service = Service {
        replicas: vms,
        slots: 8,
        connections: 64,
        p99_ms: None,
        concurrency: 4096,
        rate: 0,
    };
    let unit = Unit {
        name: SERVICE.to_owned(),
        kind: Kind::Service(service),
        labels: Labels::new(),
        size: Size::new(1000, 1000, 0),
        priority: 100,
        team: "team".to_owned(),
        selector: Selector::default(),
        affinity: None,
        anti_affinity: None,
        program: format!("check service_us={service_us}"),
    };
    // Gives the scheduler other work besides the service.
    let job = Unit {
        name: "job".to_owned(),
        kind: Kind::Job(Job { run_ms: 1000, deadline_ms: None, retries: 0 }),
        priority: 0,
        ..unit.clone()
    };
    File {
        name: "requests".to_owned(),
        data_centres: vec![DataCentre { name: "here".to_owned() }],
        control: 3,
        entries: 2,
        lease: Lease::default(),
        list_lag_ms: 0,
        usage_lag_ms: 1000,
        vms: vec![VmGroup {
            name: "vm".to_owned(),
            count: vms,
            per_rack: 3,
            size: Size::new(4000, 8000, 0),
            labels: Labels::new(),
        }],
        units: vec![unit, job],
    }
}

/// Starts an installation and waits until all endpoints listen. Also returns the address of one
/// endpoint, for direct requests.
fn start(file: &File) -> (Installation, String) {
    let options =
        Options { log: Log { format: LogFormat::Silent, debug: false }, ..Options::default() };
    let running =
        Installation::start(file, &options, pond_log::silent()).expect("the installation starts");
    create_units(&running, file);
    let endpoints = || -> Vec<String> {
        let hosts = running.hosts().values();
        hosts
            .flat_map(|host| {
                let worker = host.worker();
                worker.tasks().values().filter_map(|h| h.endpoint.clone()).collect::<Vec<_>>()
            })
            .collect()
    };
    let expected = file.vms[0].count as usize;
    while endpoints().len() < expected {
        std::thread::sleep(Duration::from_millis(50));
    }
    std::thread::sleep(Duration::from_millis(500));
    let endpoint = endpoints()[0].clone();
    (running, endpoint)
}

fn create_units(running: &Installation, file: &File) {
    use pond_http::{Call, Client, HeaderValue, Method};
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let body = serde_json::json!({
        "origin": {"who": "bench", "request": "bench"}, "units": file.units,
    });
    let client = Client::new();
    runtime.block_on(async {
        loop {
            for address in running.operator_addresses() {
                let mut call = Call::new(Method::POST, "/v1/units", body.to_string());
                let json = HeaderValue::from_static("application/json");
                call.headers.insert("content-type", json);
                let reply = client.call(&address.to_string(), call, Duration::from_secs(5)).await;
                if reply.is_ok_and(|reply| reply.status.is_success()) {
                    return;
                }
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    });
}

/// Returns the processor time used so far by the threads of each name, in seconds.
fn cpu_seconds() -> BTreeMap<String, f64> {
    let mut times = BTreeMap::new();
    for entry in fs::read_dir("/proc/self/task").into_iter().flatten().flatten() {
        let stat = fs::read_to_string(entry.path().join("stat")).unwrap_or_default();
        let Some((head, tail)) = stat.rsplit_once(')') else { continue };
        let name = head.split_once('(').map(|(_, name)| name.to_owned()).unwrap_or_default();
        let fields: Vec<&str> = tail.split_whitespace().collect();
        let ticks = |i: usize| fields.get(i).and_then(|t| t.parse::<f64>().ok()).unwrap_or(0.0);
        *times.entry(name).or_insert(0.0) += (ticks(11) + ticks(12)) / 100.0;
    }
    times
}

fn measure(name: &str, plan: &Plan) -> (Vec<Sample>, Report) {
    let started = Instant::now();
    let samples = run(plan).expect("the load runs");
    let report = Report::new(name, &samples, started.elapsed());
    println!("| {} |", report.row().join(" | "));
    (samples, report)
}

fn print_heading() {
    println!("| {} |", Report::HEADINGS.join(" | "));
    println!("|{}", "---|".repeat(Report::HEADINGS.len()));
}

fn measure_overhead() {
    println!("\n### What pondbay adds to a request\n");
    println!("Two entries, ten endpoints that answer at once, everything on one machine.\n");
    let (running, endpoint) = start(&installation_file(10, 0));
    let entries: Vec<String> = running.caller_addresses().iter().map(ToString::to_string).collect();
    print_heading();
    let through = |rate| Plan::new(Target::Entries(entries.clone()), SERVICE, rate, RUN_TIME);
    measure("warming up", &through(1000.0));
    for rate in [500.0, 2000.0, 5000.0] {
        let direct = Plan::new(Target::Endpoint(endpoint.clone()), SERVICE, rate, RUN_TIME);
        measure(&format!("direct, {rate:.0}/s"), &direct);
        let before = cpu_seconds();
        let (_, report) = measure(&format!("pondbay, {rate:.0}/s"), &through(rate));
        if rate == 5000.0 {
            print_cpu(&before, report.answered);
        }
    }
    let unkeyed = through(1000.0).with_shares(0.0, 0.0);
    measure("not repeatable, no key, 1000/s", &unkeyed);
    let keyed = through(1000.0).with_shares(0.0, 1.0);
    measure("not repeatable, key, 1000/s", &keyed);
    running.stop();
}

fn print_cpu(before: &BTreeMap<String, f64>, answered: usize) {
    let after = cpu_seconds();
    let spent = |name: &str| {
        let at = |times: &BTreeMap<String, f64>| times.get(name).copied().unwrap_or(0.0);
        at(&after) - at(before)
    };
    let rate = |seconds: f64| answered as f64 / seconds.max(0.001);
    println!(
        "\nRequests a second and core: entry {:.0}, endpoint process {:.0}.\n",
        rate(spent("callers") + spent("route")),
        rate(spent("serve"))
    );
    print_heading();
}

fn measure_overload() {
    println!("\n### Overload\n");
    println!("Two endpoints of 8 slots that take 5 ms; deadline 1 s.\n");
    let (running, _) = start(&installation_file(2, 5000));
    let entries: Vec<String> = running.caller_addresses().iter().map(ToString::to_string).collect();
    print_heading();
    let plan = |rate| {
        Plan::new(Target::Entries(entries.clone()), SERVICE, rate, RUN_TIME).with_deadline_ms(1000)
    };
    let (_, saturated) = measure("far beyond capacity", &plan(8000.0));
    let capacity = saturated.answered_per_s;
    for share in [0.7, 1.0, 3.0] {
        let name = format!("{:.0} % of {capacity:.0}/s", share * 100.0);
        measure(&name, &plan(capacity * share));
    }
    running.stop();
}

fn measure_with_failures() {
    println!("\n### An endpoint process killed, one slowed, one drained in mid-run\n");
    let (mut running, _) = start(&installation_file(10, 2000));
    let entries: Vec<String> = running.caller_addresses().iter().map(ToString::to_string).collect();
    print_heading();
    let plan = Plan::new(Target::Entries(entries), SERVICE, 2000.0, Duration::from_secs(12))
        .with_shares(0.5, 0.5)
        .with_deadline_ms(2000);
    let load = std::thread::spawn(move || run(&plan).expect("the load runs"));
    std::thread::sleep(Duration::from_secs(3));
    running.kill_process("endpoint-vm-1");
    std::thread::sleep(Duration::from_secs(2));
    if let Some(host) = running.host("vm-2") {
        host.slow_down(1000);
    }
    running.vm_list().change(|vm| {
        if vm.name == "vm-3" {
            vm.presence = pond_proto::Presence::Leaving;
        }
    });
    std::thread::sleep(Duration::from_secs(2));
    running.restart_process("endpoint-vm-1").expect("the process restarts");
    let samples = load.join().expect("the load thread ends");
    let report = Report::new("2000/s, half repeatable", &samples, Duration::from_secs(12));
    println!("| {} |", report.row().join(" | "));
    let record = serde_json::to_string(&running.record().all()).expect("the record serializes");
    let violations = check(&samples, &record).expect("the record parses");
    let lost = samples.iter().filter(|sample| sample.outcome == Outcome::Lost).count();
    println!(
        "\nAgainst the endpoints' record: {} wrong, {} doubly run, {} run although reported not \
         run, {} answered although not run, {lost} without an answer.",
        violations.wrong,
        violations.doubly_run,
        violations.not_run_but_ran,
        violations.answered_but_not_run
    );
    running.stop();
}

fn main() {
    measure_overhead();
    measure_overload();
    measure_with_failures();
}
