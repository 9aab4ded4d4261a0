//! Workers that start again under the id that they had, over random histories: leaders change, proposals are lost, agents
//! are replaced or cut off, workers leave orders unanswered and carry them out late, power goes.
//!
//! No task runs twice, no worker holds more than its room, and nothing waits for long once the faults are over.
//! `RESTART_SEEDS=first..end` runs other seeds than those of CI.

mod simulation;
mod support;

use std::sync::LazyLock;

use pond_proto::{Millis, Span};
use rand::Rng;
use simulation::World;
use simulation::cases::outcomes;
use simulation::fault::Fault;

/// The longest that a job may wait with nothing running once faults are over, in milliseconds: what users bear.
const WAIT_BOUND_MS: Span = 3_000;

/// Time before the first fault, in milliseconds.
const WARM_MS: Span = 4_000;

/// Time with faults, in milliseconds.
const FAULTS_MS: Span = 20_000;

/// Waits count from this long after the last fault on, in milliseconds.
const SETTLING_MS: Span = 4_000;

/// The pool is watched for this long after that, in milliseconds.
const WATCHED_MS: Span = 10_000;

/// A worker goes down in a step of time with this chance.
const CRASHES_A_STEP: f64 = 0.02;

struct Outcome {
    seed: u64,
    lives: u32,
    waits: Vec<String>,
    broken: Vec<String>,
}

static OUTCOMES: LazyLock<Vec<Outcome>> = LazyLock::new(|| outcomes("RESTART_SEEDS", 0..24, play));

fn play(seed: u64) -> Outcome {
    let mut world = World::new(seed);
    world.same_ids = true;
    world.watch.bound_ms = WAIT_BOUND_MS;
    pass(&mut world, WARM_MS, |_, _| {});
    let fault_rate = world.rng.random_range(0.0..0.04);
    pass(&mut world, FAULTS_MS, |world, until| {
        if world.rng.random_bool(CRASHES_A_STEP) {
            let i = world.rng.random_range(0..world.machines.len());
            world.begin(Fault::Crash(i), until);
        }
        if world.rng.random_bool(fault_rate) {
            world.disturb(until);
        }
    });
    while !world.mends.is_empty() || world.leader.is_none() {
        world.pass();
    }
    world.watch.from = Some(world.now + SETTLING_MS);
    pass(&mut world, SETTLING_MS + WATCHED_MS, |_, _| {});
    let lives = world.machines.iter().map(|machine| machine.lives - 1).sum();
    let waits = world.watch.findings.into_values().map(|finding| finding.text).collect();
    Outcome { seed, lives, waits, broken: world.watch.broken }
}

/// Time passes with jobs that come in, and with what `befalls` in each step.
fn pass(world: &mut World, span: Span, mut befalls: impl FnMut(&mut World, Millis)) {
    let until = world.now + span;
    while world.now < until {
        world.arrive();
        befalls(world, until);
        world.pass();
    }
}

#[test]
fn no_task_runs_twice_and_no_worker_holds_more_than_its_room() {
    let lives: u32 = OUTCOMES.iter().map(|outcome| outcome.lives).sum();
    println!("workers that came back: {lives}");
    let named = |outcome: &Outcome| {
        (!outcome.broken.is_empty()).then(|| (outcome.seed, outcome.broken.clone()))
    };
    let red: Vec<(u64, Vec<String>)> = OUTCOMES.iter().filter_map(named).collect();
    assert!(red.is_empty(), "{} seeds: {:#?}", red.len(), &red[..red.len().min(5)]);
}

#[test]
fn nothing_waits_for_long_once_faults_are_over() {
    let named = |outcome: &Outcome| {
        (!outcome.waits.is_empty()).then(|| (outcome.seed, outcome.waits.clone()))
    };
    let red: Vec<(u64, Vec<String>)> = OUTCOMES.iter().filter_map(named).collect();
    assert!(red.is_empty(), "{} seeds: {red:#?}", red.len());
}
