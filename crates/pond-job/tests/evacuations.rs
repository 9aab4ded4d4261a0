//! Data centres are evacuated and taken back at random, alone and together, while acknowledgements and proposals
//! are lost, leaders change, links are cut, workers and agents go down, and everything loses its power. From a
//! second after the acknowledgement on nothing begins there on a machine in touch, what was acknowledged is never
//! gone, no task runs twice; and once all data centres are taken back nothing waits.
//!
//! `EVACUATION_SEEDS=first..end` runs other seeds than those of CI, as in
//! `EVACUATION_SEEDS=100..1100 cargo test -p pond-job --test evacuations -- --nocapture`.

mod simulation;
mod support;

use std::ops::Range;
use std::sync::LazyLock;

use pond_proto::{Millis, Span};
use rand::Rng;
use simulation::World;
use simulation::cases::outcomes;
use simulation::evacuation::DATA_CENTRES;
use simulation::fault::Fault;

/// The longest that a job may wait with nothing running once all is taken back, in milliseconds: what users
/// bear.
const WAIT_BOUND_MS: Span = 3_000;

/// Waits count from this long after the last fault and order on, in milliseconds.
const SETTLING_MS: Span = 4_000;

/// The pool is watched for this long after that, in milliseconds.
const WATCHED_MS: Span = 10_000;

/// Time before the first fault and order, in milliseconds.
const WARM_MS: Span = 3_000;

/// Time with faults and orders, in milliseconds.
const FAULTS_MS: Span = 40_000;

/// An order is given in a step of time with this chance: each data centre's about every seven seconds.
const ORDERS_A_STEP: f64 = 0.02;

/// Seeds that CI runs.
const SEEDS: Range<u64> = 0..24;

/// What came of a seed.
struct Outcome {
    seed: u64,
    acks: usize,
    waits: Vec<String>,
    broken: Vec<String>,
}

/// All seeds, run once for all tests.
static OUTCOMES: LazyLock<Vec<Outcome>> =
    LazyLock::new(|| outcomes("EVACUATION_SEEDS", SEEDS, play));

fn play(seed: u64) -> Outcome {
    let mut world = World::new(seed);
    let faults_until = world.now + WARM_MS + FAULTS_MS;
    let fault_rate = world.rng.random_range(0.0..0.04);
    pass_until(&mut world, faults_until, fault_rate);
    while !at_rest(&world) {
        // An order to evacuate may still have been open.
        DATA_CENTRES.iter().for_each(|name| take_back(&mut world, name));
        world.pass();
    }
    world.watch.bound_ms = WAIT_BOUND_MS;
    world.watch.from = Some(world.now + SETTLING_MS);
    let watched_until = world.now + SETTLING_MS + WATCHED_MS;
    while world.now < watched_until {
        world.arrive();
        world.pass();
    }
    let findings = world.watch.findings.into_values();
    Outcome {
        seed,
        acks: world.evacuations.acks,
        waits: findings.map(|finding| finding.text).collect(),
        broken: world.watch.broken,
    }
}

/// Whether faults and orders are over and nothing is evacuated.
fn at_rest(world: &World) -> bool {
    let evacuated = DATA_CENTRES.iter().any(|name| world.state.is_evacuated(name));
    !evacuated && !world.orders_open() && world.mends.is_empty() && world.leader.is_some()
}

fn take_back(world: &mut World, name: &'static str) {
    if world.state.is_evacuated(name) {
        world.order(name, false);
    }
}

/// Time passes with jobs coming in, orders, and faults at this rate a step.
fn pass_until(world: &mut World, until: Millis, fault_rate: f64) {
    let from = world.now + WARM_MS;
    while world.now < until {
        world.arrive();
        if world.now >= from && world.rng.random_bool(fault_rate) {
            world.disturb(until);
        }
        if world.now >= from && world.rng.random_bool(0.002) {
            world.begin(Fault::Blackout, until);
        }
        if world.now >= from && world.rng.random_bool(ORDERS_A_STEP) {
            let name = DATA_CENTRES[world.rng.random_range(0..DATA_CENTRES.len())];
            let begins = world.rng.random_bool(0.6);
            world.order(name, begins);
        }
        world.pass();
    }
}

#[test]
fn nothing_begins_in_an_evacuated_data_centre_and_no_order_is_forgotten() {
    let broken: Vec<String> = OUTCOMES
        .iter()
        .flat_map(|outcome| {
            outcome.broken.iter().map(|what| format!("seed {} {what}", outcome.seed))
        })
        .collect();
    let shown = &broken[..broken.len().min(9)];
    assert!(broken.is_empty(), "{} broken, first {shown:#?}", broken.len());
}

#[test]
fn nothing_waits_for_long_once_all_is_taken_back() {
    let waits: Vec<String> = OUTCOMES
        .iter()
        .flat_map(|outcome| {
            outcome.waits.iter().map(|text| format!("seed {} {text}", outcome.seed))
        })
        .collect();
    let shown = &waits[..waits.len().min(5)];
    assert!(waits.is_empty(), "{} waits beyond {WAIT_BOUND_MS} ms, first {shown:#?}", waits.len());
}

#[test]
fn every_seed_has_orders_that_are_acknowledged() {
    let few = OUTCOMES.iter().filter(|outcome| outcome.acks < 5);
    let few: Vec<(u64, usize)> = few.map(|outcome| (outcome.seed, outcome.acks)).collect();
    assert!(few.is_empty(), "few acknowledged orders: {few:?}");
}
