//! Property test of workers that restart under the same id. Over random histories leaders change,
//! proposals are lost, agents are replaced or cut off, workers leave orders unanswered and carry
//! them out late, and power fails.
//!
//! No task runs twice, no worker holds more than its room, and nothing waits for long after the
//! last fault. `RESTART_SEEDS=first..end` runs other seeds than those of CI.

mod simulation;
mod support;

use std::sync::LazyLock;

use pond_proto::{Millis, Span};
use rand::Rng;
use simulation::Simulation;
use simulation::cases::outcomes;
use simulation::fault::Fault;

/// The accepted limit for a job that waits with nothing running after the last fault, in
/// milliseconds.
const MAX_WAIT_MS: Span = 3_000;

/// Time before the first fault, in milliseconds.
const WARM_UP_MS: Span = 4_000;

/// Time with faults, in milliseconds.
const FAULTS_MS: Span = 20_000;

/// Waits are measured from this long after the last fault, in milliseconds.
const SETTLING_MS: Span = 4_000;

/// The pool is then observed for this long, in milliseconds.
const OBSERVED_MS: Span = 10_000;

/// The chance that a worker crashes in a time step.
const CRASH_CHANCE: f64 = 0.02;

struct Outcome {
    seed: u64,
    restarts: u32,
    waits: Vec<String>,
    violations: Vec<String>,
}

static OUTCOMES: LazyLock<Vec<Outcome>> =
    LazyLock::new(|| outcomes("RESTART_SEEDS", 0..24, simulate));

fn simulate(seed: u64) -> Outcome {
    let mut simulation = Simulation::new(seed);
    simulation.same_ids = true;
    simulation.monitor.max_wait_ms = MAX_WAIT_MS;
    advance(&mut simulation, WARM_UP_MS, |_, _| {});
    let fault_rate = simulation.rng.random_range(0.0..0.04);
    advance(&mut simulation, FAULTS_MS, |simulation, until| {
        if simulation.rng.random_bool(CRASH_CHANCE) {
            let i = simulation.rng.random_range(0..simulation.machines.len());
            simulation.inject(Fault::Crash(i), until);
        }
        if simulation.rng.random_bool(fault_rate) {
            simulation.inject_random(until);
        }
    });
    while !simulation.repairs.is_empty() || simulation.leader.is_none() {
        simulation.advance();
    }
    simulation.monitor.from = Some(simulation.now + SETTLING_MS);
    advance(&mut simulation, SETTLING_MS + OBSERVED_MS, |_, _| {});
    let restarts = simulation.machines.iter().map(|machine| machine.incarnations - 1).sum();
    let waits = simulation.monitor.findings.into_values().map(|finding| finding.text).collect();
    Outcome { seed, restarts, waits, violations: simulation.monitor.violations }
}

/// Advances the time with arriving jobs, and calls `inject` in each time step.
fn advance(
    simulation: &mut Simulation,
    span: Span,
    mut inject: impl FnMut(&mut Simulation, Millis),
) {
    let until = simulation.now + span;
    while simulation.now < until {
        simulation.submit_arrivals();
        inject(simulation, until);
        simulation.advance();
    }
}

#[test]
fn no_task_runs_twice_and_no_worker_exceeds_its_room() {
    let restarts: u32 = OUTCOMES.iter().map(|outcome| outcome.restarts).sum();
    println!("worker restarts: {restarts}");
    let named = |outcome: &Outcome| {
        (!outcome.violations.is_empty()).then(|| (outcome.seed, outcome.violations.clone()))
    };
    let failing: Vec<(u64, Vec<String>)> = OUTCOMES.iter().filter_map(named).collect();
    assert!(failing.is_empty(), "{} seeds: {:#?}", failing.len(), &failing[..failing.len().min(5)]);
}

#[test]
fn no_job_waits_for_long_after_the_last_fault() {
    let named = |outcome: &Outcome| {
        (!outcome.waits.is_empty()).then(|| (outcome.seed, outcome.waits.clone()))
    };
    let failing: Vec<(u64, Vec<String>)> = OUTCOMES.iter().filter_map(named).collect();
    assert!(failing.is_empty(), "{} seeds: {failing:#?}", failing.len());
}
