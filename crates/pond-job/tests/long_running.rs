//! A lasting task that was lost has a place again within some seconds wherever there is room for it twice over,
//! however full the pool is.
//!
//! Most of the pool serves, the rest is filled, tasks crash their workers, leaders change and everything loses its power.
//! After that the pool is watched. `LASTING_SEEDS=first..end` runs other seeds than those of CI, as in
//! `LASTING_SEEDS=100..1100 cargo test -p pond-job --test long_running -- --nocapture`.

mod simulation;
mod support;

use std::ops::Range;

use pond_proto::Span;
use rand::Rng;
use simulation::cases::outcomes;
use simulation::fault::Fault;
use simulation::{World, workload};

/// The longest that a lasting task may wait for a place, in milliseconds, beyond the six seconds after its last run: what
/// users bear.
const WAIT_BOUND_MS: Span = 3_000;

/// Waits count from this long after the last fault on, in milliseconds.
const SETTLING_MS: Span = 4_000;

/// The pool is watched for this long after that, in milliseconds.
const WATCHED_MS: Span = 25_000;

/// Time before the first fault, in milliseconds.
const WARM_MS: Span = 4_000;

/// Time with faults, in milliseconds.
const FAULTS_MS: Span = 20_000;

/// A job that crashes workers comes in a step of time with this chance.
const CRASHING_A_STEP: f64 = 0.01;

/// Seeds that CI runs.
const SEEDS: Range<u64> = 0..40;

/// Seeds in which a lasting task stood still beside room for it.
const STANDING_SEEDS: [u64; 11] = [0, 79, 230, 343, 587, 634, 685, 745, 783, 886, 916];

/// The tasks that waited for too long with a seed.
fn play(seed: u64) -> (u64, Vec<String>) {
    let mut world = World::new(seed);
    world.watch.bound_ms = WAIT_BOUND_MS;
    world.watch.lasting_only = true;
    let part = world.rng.random_range(0.2..0.7);
    world.serve_more(part);
    let faults_from = world.now + WARM_MS;
    let faults_until = faults_from + FAULTS_MS;
    let fault_rate = world.rng.random_range(0.0..0.04);
    while world.now < faults_until {
        world.arrive();
        if world.now >= faults_from && world.rng.random_bool(fault_rate) {
            world.disturb(faults_until);
        }
        if world.rng.random_bool(0.004) {
            world.begin(Fault::Leader, faults_until);
        }
        if world.rng.random_bool(CRASHING_A_STEP) {
            let work = workload::crashing(&mut world.rng);
            world.submit(work);
        }
        world.pass();
    }
    while !world.mends.is_empty() || world.leader.is_none() {
        world.pass();
    }
    let counted_from = world.now + SETTLING_MS;
    world.watch.from = Some(counted_from);
    while world.now < counted_from + WATCHED_MS {
        world.arrive();
        world.pass();
    }
    let findings = world.watch.findings.into_values();
    (seed, findings.map(|finding| finding.text).collect())
}

/// Fails if tasks waited for too long with any seed.
fn check(outcomes: &[(u64, Vec<String>)]) {
    let red: Vec<&(u64, Vec<String>)> =
        outcomes.iter().filter(|(_, waits)| !waits.is_empty()).collect();
    for (seed, waits) in &red {
        waits.iter().for_each(|text| println!("seed {seed}: {text}"));
    }
    let seeds: Vec<u64> = red.iter().map(|(seed, _)| *seed).collect();
    assert!(red.is_empty(), "lasting tasks wait beyond {WAIT_BOUND_MS} ms with seeds {seeds:?}");
}

/// Guards against a lasting task that stands still for many seconds beside room for it, because the pool is nearly full and
/// the workers with room are kept for suspects.
#[test]
fn a_lost_lasting_task_is_started_again_within_seconds() {
    check(&outcomes("LASTING_SEEDS", SEEDS, play));
}

/// The same, with the histories that showed it.
#[test]
fn a_lost_lasting_task_is_started_again_with_the_seeds_in_which_one_stood_still() {
    check(&STANDING_SEEDS.map(play));
}
