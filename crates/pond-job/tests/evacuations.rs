//! Property test of evacuations. Data centres are evacuated and readmitted at random, alone and
//! together, while acknowledgements and proposals are lost, leaders change, links are cut, workers
//! and agents crash, and everything loses power. From 1 s after the acknowledgement nothing starts
//! there on a reachable machine, no acknowledged order is lost, and no task runs twice. Once all
//! data centres are readmitted, nothing waits.
//!
//! `EVACUATION_SEEDS=first..end` runs other seeds than those of CI, as in
//! `EVACUATION_SEEDS=100..1100 cargo test -p pond-job --test evacuations -- --nocapture`.

mod simulation;
mod support;

use std::ops::Range;
use std::sync::LazyLock;

use pond_proto::{Millis, Span};
use rand::Rng;
use simulation::Simulation;
use simulation::cases::outcomes;
use simulation::evacuation::DATA_CENTRES;
use simulation::fault::Fault;

/// The accepted limit for a job that waits with nothing running once all data centres are
/// readmitted, in milliseconds.
const MAX_WAIT_MS: Span = 3_000;

/// Waits are measured from this long after the last fault and order, in milliseconds.
const SETTLING_MS: Span = 4_000;

/// The pool is then observed for this long, in milliseconds.
const OBSERVED_MS: Span = 10_000;

/// Time before the first fault and order, in milliseconds.
const WARM_UP_MS: Span = 3_000;

/// Time with faults and orders, in milliseconds.
const FAULTS_MS: Span = 40_000;

/// The chance that an order is given in a time step: about every 7 s for each data centre.
const ORDER_CHANCE: f64 = 0.02;

/// Seeds that CI runs.
const SEEDS: Range<u64> = 0..24;

/// The results of one seed.
struct Outcome {
    seed: u64,
    acks: usize,
    waits: Vec<String>,
    violations: Vec<String>,
}

/// The results of all seeds, computed once for all tests.
static OUTCOMES: LazyLock<Vec<Outcome>> =
    LazyLock::new(|| outcomes("EVACUATION_SEEDS", SEEDS, simulate));

fn simulate(seed: u64) -> Outcome {
    let mut simulation = Simulation::new(seed);
    let faults_until = simulation.now + WARM_UP_MS + FAULTS_MS;
    let fault_rate = simulation.rng.random_range(0.0..0.04);
    advance_until(&mut simulation, faults_until, fault_rate);
    while !is_calm(&simulation) {
        // An order to evacuate may still have been unacknowledged.
        DATA_CENTRES.iter().for_each(|name| readmit(&mut simulation, name));
        simulation.advance();
    }
    simulation.monitor.max_wait_ms = MAX_WAIT_MS;
    simulation.monitor.from = Some(simulation.now + SETTLING_MS);
    let observed_until = simulation.now + SETTLING_MS + OBSERVED_MS;
    while simulation.now < observed_until {
        simulation.submit_arrivals();
        simulation.advance();
    }
    let findings = simulation.monitor.findings.into_values();
    Outcome {
        seed,
        acks: simulation.evacuations.acks,
        waits: findings.map(|finding| finding.text).collect(),
        violations: simulation.monitor.violations,
    }
}

/// Returns whether faults and orders are over and nothing is evacuated.
fn is_calm(simulation: &Simulation) -> bool {
    let evacuated = DATA_CENTRES.iter().any(|name| simulation.state.is_evacuated(name));
    !evacuated
        && !simulation.has_pending_orders()
        && simulation.repairs.is_empty()
        && simulation.leader.is_some()
}

fn readmit(simulation: &mut Simulation, name: &'static str) {
    if simulation.state.is_evacuated(name) {
        simulation.submit_order(name, false);
    }
}

/// Advances the time with arriving jobs, orders, and faults at this rate per time step.
fn advance_until(simulation: &mut Simulation, until: Millis, fault_rate: f64) {
    let from = simulation.now + WARM_UP_MS;
    while simulation.now < until {
        simulation.submit_arrivals();
        if simulation.now >= from && simulation.rng.random_bool(fault_rate) {
            simulation.inject_random(until);
        }
        if simulation.now >= from && simulation.rng.random_bool(0.002) {
            simulation.inject(Fault::PowerLoss, until);
        }
        if simulation.now >= from && simulation.rng.random_bool(ORDER_CHANCE) {
            let name = DATA_CENTRES[simulation.rng.random_range(0..DATA_CENTRES.len())];
            let evacuate = simulation.rng.random_bool(0.6);
            simulation.submit_order(name, evacuate);
        }
        simulation.advance();
    }
}

#[test]
fn nothing_starts_in_an_evacuated_data_centre_and_no_order_is_lost() {
    let violations: Vec<String> = OUTCOMES
        .iter()
        .flat_map(|outcome| {
            outcome.violations.iter().map(|what| format!("seed {} {what}", outcome.seed))
        })
        .collect();
    let shown = &violations[..violations.len().min(9)];
    assert!(violations.is_empty(), "{} violations, first {shown:#?}", violations.len());
}

#[test]
fn no_job_waits_for_long_once_all_data_centres_are_readmitted() {
    let waits: Vec<String> = OUTCOMES
        .iter()
        .flat_map(|outcome| {
            outcome.waits.iter().map(|text| format!("seed {} {text}", outcome.seed))
        })
        .collect();
    let shown = &waits[..waits.len().min(5)];
    assert!(waits.is_empty(), "{} waits beyond {MAX_WAIT_MS} ms, first {shown:#?}", waits.len());
}

#[test]
fn every_seed_has_orders_that_are_acknowledged() {
    let few = OUTCOMES.iter().filter(|outcome| outcome.acks < 5);
    let few: Vec<(u64, usize)> = few.map(|outcome| (outcome.seed, outcome.acks)).collect();
    assert!(few.is_empty(), "few acknowledged orders: {few:?}");
}
