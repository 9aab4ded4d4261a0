//! After the last fault no job waits for long with nothing of it running while twice the room that
//! it needs is free. At no time does a task run twice or a worker hold more than its room.
//!
//! Each seed determines a pool, its jobs and its faults. `BOUND_SEEDS=first..end` runs other seeds
//! than those of CI, as in
//! `BOUND_SEEDS=100..1100 cargo test -p pond-job --test bound -- --nocapture`.

mod simulation;
mod support;

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::LazyLock;

use pond_proto::{Millis, Span};
use rand::Rng;
use simulation::cases::outcomes;
use simulation::fault::Fault;
use simulation::{STEP_MS, Simulation};

/// The accepted limit for a job that waits with nothing running, in milliseconds.
const MAX_WAIT_MS: Span = 3_000;

/// Waits are measured from this long after the last fault, in milliseconds.
const SETTLING_MS: Span = 4_000;

/// The pool is then observed for this long, in milliseconds.
const OBSERVED_MS: Span = 25_000;

/// Time before the first fault, in milliseconds.
const WARM_UP_MS: Span = 4_000;

/// Seeds that CI runs.
const SEEDS: Range<u64> = 0..24;

/// The results of one seed.
struct Outcome {
    seed: u64,
    /// The kind and the longest wait of each job that waited, in milliseconds.
    waits: Vec<(&'static str, Span)>,
    findings: Vec<(String, String)>,
    violations: Vec<String>,
}

/// The results of all seeds, computed once for all tests.
static OUTCOMES: LazyLock<Vec<Outcome>> =
    LazyLock::new(|| outcomes("BOUND_SEEDS", SEEDS, simulate));

fn simulate(seed: u64) -> Outcome {
    let mut simulation = Simulation::new(seed);
    simulation.monitor.max_wait_ms = MAX_WAIT_MS;
    let faults_from = simulation.now + WARM_UP_MS;
    let faults_until = faults_from + simulation.rng.random_range(10_000..=20_000);
    let fault_rate = simulation.rng.random_range(0.01..0.06);
    advance_until(&mut simulation, faults_from, None);
    advance_until(&mut simulation, faults_until, Some(fault_rate));
    inject_last_fault(&mut simulation);
    while !simulation.repairs.is_empty() || simulation.leader.is_none() {
        simulation.advance();
    }
    let counted_from = simulation.now + SETTLING_MS;
    simulation.monitor.from = Some(counted_from);
    while simulation.now < counted_from + OBSERVED_MS {
        vary_load(&mut simulation);
        let until = simulation.now + STEP_MS;
        advance_until(&mut simulation, until, None);
    }
    let longest = simulation.monitor.longest.iter();
    let waits = longest.map(|(waiter, wait)| (simulation.kind(*waiter), *wait)).collect();
    let findings = simulation.monitor.findings.into_values();
    Outcome {
        seed,
        waits,
        findings: findings.map(|finding| (finding.cause, finding.text)).collect(),
        violations: simulation.monitor.violations,
    }
}

/// Advances the time with arriving jobs, and with faults at this rate per time step.
fn advance_until(simulation: &mut Simulation, until: Millis, fault_rate: Option<f64>) {
    while simulation.now < until {
        simulation.submit_arrivals();
        if fault_rate.is_some_and(|rate| simulation.rng.random_bool(rate)) {
            simulation.inject_random(until);
        }
        simulation.advance();
    }
}

fn inject_last_fault(simulation: &mut Simulation) {
    let end = simulation.now;
    match simulation.rng.random_range(0..3) {
        0 => simulation.inject(Fault::PowerLoss, end),
        1 => simulation.inject(Fault::Leader, end),
        _ => {}
    }
}

/// Varies the load without faults: submits many jobs at once, or cancels many.
fn vary_load(simulation: &mut Simulation) {
    match simulation.rng.random_range(0..400) {
        0 => simulation.burst(),
        1 => simulation.cancel_many(),
        _ => {}
    }
}

#[test]
fn no_job_waits_beyond_the_bound_after_the_last_fault() {
    let mut causes: BTreeMap<&str, usize> = BTreeMap::new();
    let mut waits: BTreeMap<&str, Vec<Span>> = BTreeMap::new();
    let mut failing = Vec::new();
    for outcome in OUTCOMES.iter() {
        for (kind, wait) in &outcome.waits {
            waits.entry(kind).or_default().push(*wait);
        }
        for (cause, text) in &outcome.findings {
            *causes.entry(cause).or_default() += 1;
            println!("seed {}: {text}", outcome.seed);
        }
        if !outcome.findings.is_empty() {
            failing.push(outcome.seed);
        }
    }
    for (kind, waits) in &mut waits {
        println!("{kind}: {}", distribution(waits));
    }
    println!("causes: {causes:?}");
    assert!(failing.is_empty(), "waits beyond {MAX_WAIT_MS} ms with seeds {failing:?}: {causes:?}");
}

#[test]
fn no_task_runs_twice_and_no_worker_exceeds_its_room() {
    let violations: Vec<String> = OUTCOMES
        .iter()
        .flat_map(|outcome| {
            outcome.violations.iter().map(|what| format!("seed {} {what}", outcome.seed))
        })
        .collect();
    assert!(
        violations.is_empty(),
        "{} violations, first {:#?}",
        violations.len(),
        &violations[..violations.len().min(9)]
    );
}

/// Formats the distribution of the longest waits of jobs.
fn distribution(waits: &mut [Span]) -> String {
    waits.sort_unstable();
    let at = |permille: usize| waits.get(waits.len().saturating_sub(1) * permille / 1_000);
    let over = |bound: Span| waits.iter().filter(|wait| **wait > bound).count();
    format!(
        "{} waits, in ms: half {:?}, 90 % {:?}, 99 % {:?}, longest {:?}; over 2 s {}, 3 s {}, 5 s {}",
        waits.len(),
        at(500),
        at(900),
        at(990),
        at(1_000),
        over(2_000),
        over(3_000),
        over(5_000)
    )
}
