//! Compares schedulers on the two example installations, in virtual time.
//!
//! `cargo bench -p pond-sched --bench colocation [-- CASE]` writes the tables of docs/MEASUREMENTS.md.

use std::collections::BTreeMap;

use pond_proto::{Job, Kind, Labels, Selector, Size, Unit, Vm};
use pond_sched::{ThrottleTuning, Tuning};
use pond_test::{Colocation, JobProfile, Scenario, job, service, vm};

/// Virtual duration of a run, in milliseconds: two hours.
const RUN_MS: u64 = 2 * 3600 * 1000;

fn vms(count: usize, size: Size) -> Vec<Vm> {
    let one = |i: usize| {
        let rack = format!("rack-{}", i / 3);
        let labels = Labels::from([
            (Vm::DATA_CENTRE.to_owned(), format!("dc-{}", i / 3 % 3)),
            (Vm::RACK.to_owned(), rack),
        ]);
        Vm { labels, size, ..vm(&format!("vm-{i}")) }
    };
    (0..count).map(one).collect()
}

fn a_service(name: &str, replicas: u32, size: Size, p99_ms: u32) -> Unit {
    let mut unit = service(name, replicas);
    if let Kind::Service(service) = &mut unit.kind {
        service.p99_ms = Some(p99_ms);
    }
    unit.labels = Labels::from([(Unit::KIND.to_owned(), name.to_owned())]);
    Unit { size, ..unit }
}

/// Gives a service an anti-affinity to units of another kind.
fn with_anti_affinity(service: Unit, from: &str) -> Unit {
    Unit { anti_affinity: Some(Selector::equals(Unit::KIND, from)), ..service }
}

fn a_job(name: &str, size: Size, run_ms: u64, deadline_ms: Option<u64>) -> Unit {
    let kind = Kind::Job(Job { run_ms, deadline_ms, retries: 20 });
    Unit { kind, size, ..job(name) }
}

fn truth(run_ms: u64) -> JobProfile {
    JobProfile { run_ms: run_ms as f64, usage: 0.8, fails: false }
}

const MINUTE: u64 = 60_000;

/// Found Property Matching: ten VMs of 32 processors, half with counter queries, half with status
/// queries. Decoding photos slows down the first, comparing them the second; combinations without
/// interference exist.
fn matching() -> Scenario {
    let harm = [
        (("counter-query", "decode"), 0.35),
        (("counter-query", "compare"), 0.02),
        (("counter-query", "index"), 0.01),
        (("status", "decode"), 0.02),
        (("status", "compare"), 0.25),
        (("status", "index"), 0.01),
    ];
    Scenario {
        vms: vms(10, Size::new(32_000, 125_000, 0)),
        services: vec![
            with_anti_affinity(
                a_service("counter-query", 5, Size::new(4_000, 8_000, 0), 20),
                "status",
            ),
            with_anti_affinity(
                a_service("status", 5, Size::new(4_000, 8_000, 0), 11),
                "counter-query",
            ),
        ],
        jobs: vec![
            (
                a_job("decode", Size::new(8_000, 24_000, 0), 8 * MINUTE, Some(60 * MINUTE)),
                truth(8 * MINUTE),
                12,
            ),
            (
                a_job("compare", Size::new(8_000, 30_000, 0), 12 * MINUTE, Some(90 * MINUTE)),
                truth(12 * MINUTE),
                12,
            ),
            (
                a_job("index", Size::new(4_000, 10_000, 0), 5 * MINUTE, Some(60 * MINUTE)),
                truth(5 * MINUTE),
                12,
            ),
        ],
        interference: owned_pairs(&harm),
        baseline_us: BTreeMap::from([
            ("counter-query".to_owned(), 15_000.0),
            ("status".to_owned(), 8_000.0),
        ]),
        lag_ms: 5_000,
        load: |_| 1.0,
        noise: |_| 1.0,
        faulty_vm: None,
        lost_rack: None,
        seed: 5,
    }
}

/// Ledgerline: ten VMs of 16 processors, each with checkouts, which schedule rebuilds slow down. No
/// VM is free of checkouts, so moving work does not help.
fn ledgerline() -> Scenario {
    let harm = [
        (("checkout", "rebuild"), 0.30),
        (("checkout", "report"), 0.10),
        (("checkout", "export"), 0.03),
    ];
    Scenario {
        vms: vms(10, Size::new(16_000, 60_000, 0)),
        services: vec![a_service("checkout", 10, Size::new(2_000, 6_000, 0), 14)],
        jobs: vec![
            (
                a_job("rebuild", Size::new(6_000, 20_000, 0), 10 * MINUTE, Some(60 * MINUTE)),
                truth(10 * MINUTE),
                8,
            ),
            (
                a_job("report", Size::new(4_000, 10_000, 0), 6 * MINUTE, Some(60 * MINUTE)),
                truth(6 * MINUTE),
                10,
            ),
            (
                a_job("export", Size::new(2_000, 8_000, 0), 4 * MINUTE, Some(60 * MINUTE)),
                truth(4 * MINUTE),
                10,
            ),
        ],
        interference: owned_pairs(&harm),
        baseline_us: BTreeMap::from([("checkout".to_owned(), 10_000.0)]),
        ..matching()
    }
}

fn owned_pairs(harm: &[((&str, &str), f64)]) -> BTreeMap<(String, String), f64> {
    let pair = |((service, job), harm): &((&str, &str), f64)| {
        ((service.to_string(), job.to_string()), *harm)
    };
    harm.iter().map(pair).collect()
}

/// Load that rises and falls by a tenth with a period of half an hour.
fn day(ms: u64) -> f64 {
    1.0 + 0.1 * (ms as f64 / (30.0 * MINUTE as f64) * std::f64::consts::TAU).sin()
}

/// Interference that is three times as strong for two of every ten minutes.
fn noise(ms: u64) -> f64 {
    if ms % (10 * MINUTE) < 2 * MINUTE { 3.0 } else { 1.0 }
}

fn cases(scene: &Scenario) -> Vec<(&'static str, Scenario)> {
    let scale = |factor: f64| {
        let mut scene = scene.clone();
        for (_, truth, _) in &mut scene.jobs {
            truth.run_ms *= factor;
            truth.usage = (truth.usage * factor).min(1.0);
        }
        scene
    };
    let lost = Some(("rack-1".to_owned(), 40 * MINUTE));
    vec![
        ("quiet", scene.clone()),
        ("day load", Scenario { load: day, ..scene.clone() }),
        ("noisy waves", Scenario { noise, ..scene.clone() }),
        ("run times 4x too short", scale(0.25)),
        ("run times 4x too long", scale(4.0)),
        ("reports 30 s late", Scenario { lag_ms: 30_000, ..scene.clone() }),
        ("reports 60 s late", Scenario { lag_ms: 60_000, ..scene.clone() }),
        ("a VM fails everything", Scenario { faulty_vm: Some("vm-3".to_owned()), ..scene.clone() }),
        ("a rack is lost", Scenario { lost_rack: lost.clone(), ..scene.clone() }),
        (
            "all at once",
            Scenario {
                load: day,
                noise,
                lag_ms: 30_000,
                faulty_vm: Some("vm-3".to_owned()),
                lost_rack: lost,
                ..scene.clone()
            },
        ),
    ]
}

fn schedulers() -> Vec<(&'static str, Tuning)> {
    let off = ThrottleTuning { enabled: false, ..ThrottleTuning::default() };
    let bare = Tuning {
        avoid_interference: false,
        learn_interference: false,
        throttle: off,
        first_fit: false,
    };
    vec![
        ("first fit", Tuning { first_fit: true, ..bare }),
        ("best fit", bare),
        ("throttling, no learning", Tuning { throttle: ThrottleTuning::default(), ..bare }),
        ("everything", Tuning::default()),
    ]
}

fn main() {
    // An argument selects the cases whose names contain it; without one, all cases run.
    let wanted = std::env::args().skip(1).find(|word| !word.starts_with('-'));
    let wanted = wanted.unwrap_or_default();
    for (name, scene) in [("Found Property Matching", matching()), ("Ledgerline", ledgerline())] {
        println!("\n### {name}\n");
        println!(
            "| case | scheduler | p50 | p99 | within objective | batch h/h | evictions | work \
             lost min | deadlines met | failed runs |"
        );
        println!("|---|---|---|---|---|---|---|---|---|---|");
        for (case, scene) in cases(&scene) {
            if !case.contains(&wanted) {
                continue;
            }
            for (scheduler, tuning) in schedulers() {
                row(case, scheduler, scene.clone(), tuning);
            }
        }
    }
}

fn row(case: &str, scheduler: &str, scene: Scenario, tuning: Tuning) {
    let mut run = Colocation::new(scene, tuning);
    run.run(RUN_MS);
    let mut outcome = run.outcome.clone();
    assert_eq!(outcome.overcommitted, 0, "a VM was given too much");
    let ended = (outcome.met_deadlines + outcome.missed_deadlines).max(1);
    println!(
        "| {case} | {scheduler} | {:.2} | {:.2} | {:.1} % | {:.1} | {} | {:.0} | {:.0} % | {} |",
        outcome.latency_ratio(0.5),
        outcome.latency_ratio(0.99),
        outcome.within_objective as f64 * 100.0 / outcome.steps as f64,
        outcome.worked_ms / RUN_MS as f64,
        outcome.evictions,
        outcome.lost_ms / 60_000.0,
        outcome.met_deadlines as f64 * 100.0 / ended as f64,
        outcome.failures,
    );
}
