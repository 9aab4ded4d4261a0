//! After the last fault no job waits for long with nothing of it running while there is room for it
//! twice over; and at no time does a task run twice or a worker hold more than its room.
//!
//! Each seed gives a pool, its jobs and its faults. `BOUND_SEEDS=first..end` runs other seeds than
//! those of CI, as in `BOUND_SEEDS=100..1100 cargo test -p pond-job --test bound -- --nocapture`.

mod simulation;
mod support;

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::LazyLock;

use pond_proto::{Millis, Span};
use rand::Rng;
use simulation::cases::outcomes;
use simulation::fault::Fault;
use simulation::{STEP_MS, World};

/// The longest that a job may wait with nothing running, in milliseconds: what users bear.
const WAIT_BOUND_MS: Span = 3_000;

/// Waits count from this long after the last fault on, in milliseconds.
const SETTLING_MS: Span = 4_000;

/// The pool is watched for this long after that, in milliseconds.
const WATCHED_MS: Span = 25_000;

/// Time before the first fault, in milliseconds.
const WARM_MS: Span = 4_000;

/// Seeds that CI runs.
const SEEDS: Range<u64> = 0..24;

/// What came of a seed.
struct Outcome {
    seed: u64,
    /// The kind and the longest wait of each job that waited.
    waits: Vec<(&'static str, Span)>,
    findings: Vec<(String, String)>,
    broken: Vec<String>,
}

/// All seeds, run once for all tests.
static OUTCOMES: LazyLock<Vec<Outcome>> = LazyLock::new(|| outcomes("BOUND_SEEDS", SEEDS, play));

fn play(seed: u64) -> Outcome {
    let mut world = World::new(seed);
    world.watch.bound_ms = WAIT_BOUND_MS;
    let faults_from = world.now + WARM_MS;
    let faults_until = faults_from + world.rng.random_range(10_000..=20_000);
    let fault_rate = world.rng.random_range(0.01..0.06);
    pass_until(&mut world, faults_from, None);
    pass_until(&mut world, faults_until, Some(fault_rate));
    last_fault(&mut world);
    while !world.mends.is_empty() || world.leader.is_none() {
        world.pass();
    }
    let counted_from = world.now + SETTLING_MS;
    world.watch.from = Some(counted_from);
    while world.now < counted_from + WATCHED_MS {
        press(&mut world);
        let until = world.now + STEP_MS;
        pass_until(&mut world, until, None);
    }
    let longest = world.watch.longest.iter();
    let waits = longest.map(|(waiter, wait)| (world.kind(*waiter), *wait)).collect();
    let findings = world.watch.findings.into_values();
    Outcome {
        seed,
        waits,
        findings: findings.map(|finding| (finding.cause, finding.text)).collect(),
        broken: world.watch.broken,
    }
}

/// Time passes with jobs coming in, and with faults at this rate a step.
fn pass_until(world: &mut World, until: Millis, fault_rate: Option<f64>) {
    while world.now < until {
        world.arrive();
        if fault_rate.is_some_and(|rate| world.rng.random_bool(rate)) {
            world.disturb(until);
        }
        world.pass();
    }
}

fn last_fault(world: &mut World) {
    let end = world.now;
    match world.rng.random_range(0..3) {
        0 => world.begin(Fault::Blackout, end),
        1 => world.begin(Fault::Leader, end),
        _ => {}
    }
}

/// What is no fault: many jobs at once, and many that are cancelled.
fn press(world: &mut World) {
    match world.rng.random_range(0..400) {
        0 => world.burst(),
        1 => world.cancel_many(),
        _ => {}
    }
}

#[test]
fn no_job_waits_beyond_the_bound_after_the_last_fault() {
    let mut causes: BTreeMap<&str, usize> = BTreeMap::new();
    let mut waits: BTreeMap<&str, Vec<Span>> = BTreeMap::new();
    let mut red = Vec::new();
    for outcome in OUTCOMES.iter() {
        for (kind, wait) in &outcome.waits {
            waits.entry(kind).or_default().push(*wait);
        }
        for (cause, text) in &outcome.findings {
            *causes.entry(cause).or_default() += 1;
            println!("seed {}: {text}", outcome.seed);
        }
        if !outcome.findings.is_empty() {
            red.push(outcome.seed);
        }
    }
    for (kind, waits) in &mut waits {
        println!("{kind}: {}", spread(waits));
    }
    println!("causes: {causes:?}");
    assert!(red.is_empty(), "waits beyond {WAIT_BOUND_MS} ms with seeds {red:?}: {causes:?}");
}

#[test]
fn no_task_runs_twice_and_no_worker_holds_more_than_its_room() {
    let broken: Vec<String> = OUTCOMES
        .iter()
        .flat_map(|outcome| {
            outcome.broken.iter().map(|what| format!("seed {} {what}", outcome.seed))
        })
        .collect();
    assert!(
        broken.is_empty(),
        "{} broken, first {:#?}",
        broken.len(),
        &broken[..broken.len().min(9)]
    );
}

/// How the longest waits of jobs are spread.
fn spread(waits: &mut [Span]) -> String {
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
