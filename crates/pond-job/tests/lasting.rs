//! A long-running task that was lost is placed again within seconds wherever twice the room that it
//! needs is free, however full the pool is.
//!
//! Serving work takes most of the pool and best-effort work the rest; tasks crash their workers,
//! leaders change and everything loses power. The pool is observed after that.
//!
//! `LASTING_SEEDS=first..end` runs other seeds than those of CI, as in
//! `LASTING_SEEDS=100..1100 cargo test -p pond-job --test lasting -- --nocapture`.

mod simulation;
mod support;

use std::ops::Range;

use pond_proto::Span;
use rand::Rng;
use simulation::cases::outcomes;
use simulation::fault::Fault;
use simulation::{Simulation, workload};

/// The accepted limit for a long-running task that waits for a worker, in milliseconds, in addition
/// to the 6 s after its last run.
const MAX_WAIT_MS: Span = 3_000;

/// Waits are measured from this long after the last fault, in milliseconds.
const SETTLING_MS: Span = 4_000;

/// The pool is then observed for this long, in milliseconds.
const OBSERVED_MS: Span = 25_000;

/// Time before the first fault, in milliseconds.
const WARM_UP_MS: Span = 4_000;

/// Time with faults, in milliseconds.
const FAULTS_MS: Span = 20_000;

/// The chance that a job that crashes workers is submitted in a time step.
const CRASHING_JOB_CHANCE: f64 = 0.01;

/// Seeds that CI runs.
const SEEDS: Range<u64> = 0..40;

/// Seeds in which a long-running task was starved although there was room for it.
const STARVED_SEEDS: [u64; 11] = [0, 79, 230, 343, 587, 634, 685, 745, 783, 886, 916];

/// Seeds in which a long-running task is starved unless it may start next to a suspect.
const CLOSED_SEEDS: [u64; 4] = [217, 226, 252, 275];

/// Runs a seed and returns the tasks that waited for too long.
fn simulate(seed: u64) -> (u64, Vec<String>) {
    let mut simulation = Simulation::new(seed);
    simulation.monitor.max_wait_ms = MAX_WAIT_MS;
    simulation.monitor.long_running_only = true;
    let share = simulation.rng.random_range(0.2..0.7);
    simulation.serve_more(share);
    let faults_from = simulation.now + WARM_UP_MS;
    let faults_until = faults_from + FAULTS_MS;
    let fault_rate = simulation.rng.random_range(0.0..0.04);
    while simulation.now < faults_until {
        simulation.submit_arrivals();
        if simulation.now >= faults_from && simulation.rng.random_bool(fault_rate) {
            simulation.inject_random(faults_until);
        }
        if simulation.rng.random_bool(0.004) {
            simulation.inject(Fault::Leader, faults_until);
        }
        if simulation.rng.random_bool(CRASHING_JOB_CHANCE) {
            let submission = workload::crashing(&mut simulation.rng);
            simulation.submit(submission);
        }
        simulation.advance();
    }
    while !simulation.repairs.is_empty() || simulation.leader.is_none() {
        simulation.advance();
    }
    let counted_from = simulation.now + SETTLING_MS;
    simulation.monitor.from = Some(counted_from);
    while simulation.now < counted_from + OBSERVED_MS {
        simulation.submit_arrivals();
        simulation.advance();
    }
    let findings = simulation.monitor.findings.into_values();
    (seed, findings.map(|finding| finding.text).collect())
}

/// Fails if tasks waited for too long with any seed.
fn check(outcomes: &[(u64, Vec<String>)]) {
    let failing: Vec<&(u64, Vec<String>)> =
        outcomes.iter().filter(|(_, waits)| !waits.is_empty()).collect();
    for (seed, waits) in &failing {
        waits.iter().for_each(|text| println!("seed {seed}: {text}"));
    }
    let seeds: Vec<u64> = failing.iter().map(|(seed, _)| *seed).collect();
    assert!(
        failing.is_empty(),
        "long-running tasks wait beyond {MAX_WAIT_MS} ms with seeds {seeds:?}"
    );
}

/// Guards against a long-running task that is starved for many seconds although there is room for
/// it: the pool is nearly full, and the workers with room are reserved for suspects.
#[test]
fn lost_long_running_task_is_started_again_within_seconds() {
    check(&outcomes("LASTING_SEEDS", SEEDS, simulate));
}

/// The same with the seeds that showed the fault.
#[test]
fn lost_long_running_task_is_started_again_with_the_seeds_in_which_one_was_starved() {
    check(&STARVED_SEEDS.map(simulate));
}

/// Guards against a long-running task that waits for a worker without suspects, of which there is
/// none.
#[test]
fn lost_long_running_task_is_started_again_next_to_suspects() {
    check(&CLOSED_SEEDS.map(simulate));
}
