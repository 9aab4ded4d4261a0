//! Random histories of replicas that are replaced, cut off, frozen and restarted, on simulated disks and links.
//!
//! Guards against replicas that are gone but still vote, so that the loss of as many disks as the settings allow leaves
//! no majority for good, and against voters that are removed although they return and are missed then.

#[path = "replacements/host.rs"]
mod host;
#[path = "replacements/network.rs"]
mod network;
#[path = "replacements/world.rs"]
mod world;

use std::ops::Range;

use rand::Rng;

use world::{CATCH_UP_MS, End, MAX_EARLY_LEAD_MS, RECOVERY_MS, World};

/// Number of voters and number of losses that must be tolerated.
const QUORUMS: [(u64, usize); 7] = [(3, 1), (4, 1), (5, 2), (5, 1), (7, 2), (9, 4), (9, 2)];

/// Maximum number of events in a history.
const MAX_EVENTS: usize = 9;

/// Longest outage of a machine that returns with its disk, in milliseconds.
const MAX_OUTAGE_MS: u64 = 14_000;

/// Longest time for which the machines are cut into halves, in milliseconds.
const MAX_HALVES_MS: u64 = 6_000;

/// Maximum time between the loss of a machine and the start of its successor, in milliseconds.
const MAX_SUCCESSOR_DELAY_MS: u64 = 1_500;

/// Maximum time between the start of a successor and the planned stop of its predecessor, in milliseconds.
const MAX_LEAD_MS: u64 = 8_000;

/// Seeds that CI plays. Some of them fail if any one of the rules for removing voters is taken out.
const CI_SEEDS: Range<u64> = 70..140;

/// Maximum number of failing histories whose events are shown.
const MAX_SHOWN: usize = 5;

/// The first violation in a history, and its events.
struct Failure {
    violation: String,
    events: Vec<String>,
}

/// A random history of one quorum.
struct History {
    world: World,
    /// Disks that may still be lost, in a history with more faults than are tolerated at once.
    spare_disks: usize,
}

impl History {
    fn new(seed: u64) -> History {
        let (voters, losses) = QUORUMS[(seed % QUORUMS.len() as u64) as usize];
        let mut world = World::new(voters, losses, seed);
        world.promises_service = world.rng.random_bool(0.7);
        History { world, spare_disks: losses }
    }

    /// Plays the history. Returns the first violation, if any.
    fn play(mut self) -> Option<Failure> {
        // All members must have stored the first list of members.
        self.world.advance(4_000);
        for _ in 0..self.world.rng.random_range(2..=MAX_EVENTS) {
            self.event();
            // More faults than are tolerated at once have to overlap.
            let kinds = if self.world.promises_service { 4 } else { 2 };
            let pause = match self.world.rng.random_range(0..kinds) {
                0 => 0..300,
                1 => 300..2_500,
                2 => CATCH_UP_MS..CATCH_UP_MS + 1_000,
                _ => 2_500..9_000,
            };
            let pause = self.world.rng.random_range(pause);
            self.world.advance(pause);
        }
        self.finish();
        let violation = self.world.violation?;
        Some(Failure { violation, events: self.world.events })
    }

    /// Waits until no machine counts as lost, and lets as many disks be lost as must be tolerated.
    fn finish(&mut self) {
        self.world.advance_until(u64::MAX / 2, World::is_whole);
        if !self.world.promises_service {
            self.world.advance(RECOVERY_MS - CATCH_UP_MS);
            self.world.expect_leader_with_all_values();
            self.world.advance(CATCH_UP_MS);
            self.world.advance_until(u64::MAX / 2, World::is_whole);
            self.spare_disks = self.world.losses;
        }
        self.lose_disks();
        self.world.expect_leader_with_all_values();
    }

    /// Returns how many machines may fail now.
    fn allowance(&self) -> usize {
        let world = &self.world;
        match world.promises_service {
            true => world.losses.saturating_sub(world.counted()),
            false => self.spare_disks,
        }
    }

    /// Returns the machines that may fail next: in most cases the leader, the newest or the oldest one first.
    fn candidates(&mut self) -> Vec<usize> {
        let time = self.world.time();
        let may_fail = |index: &usize| {
            let host = &self.world.hosts[*index];
            match self.world.promises_service {
                true => host.is_healthy(time),
                false => !host.gone && !host.replaced,
            }
        };
        let mut order: Vec<usize> = (0..self.world.hosts.len()).filter(may_fail).collect();
        let leader = self.world.leader();
        match self.world.rng.random_range(0..5) {
            0 => {}
            1 => order.reverse(),
            2 => self.world.shuffle(&mut order),
            _ => {
                self.world.shuffle(&mut order);
                order.sort_by_key(|index| Some(*index) != leader);
            }
        }
        order
    }

    /// Lets as many disks be lost as the counted losses allow while all machines lose power.
    fn lose_disks(&mut self) {
        let lost = self.candidates();
        let count = self.allowance().min(lost.len());
        self.world.lose_power_and_disks(&lost[..count]);
    }

    fn event(&mut self) {
        if self.world.promises_service && self.world.rng.random() {
            // The earliest moment at which another fault is allowed.
            let is_allowed = |world: &World| world.counted() < world.losses;
            self.world.advance_until(2 * MAX_OUTAGE_MS, is_allowed);
        }
        match self.world.rng.random_range(0..20) {
            0..=7 => self.replace(),
            8..=9 => self.replace_as_planned(),
            10..=12 if !self.world.promises_service => self.halve(),
            10..=14 => self.interrupt(),
            15 if self.allowance() > 0 => self.world.add(),
            16 => self.halve(),
            17 => self.world.kill_all(),
            18 => self.lose_disk(),
            19 if !self.world.promises_service => {
                self.lose_disks();
                self.spare_disks = 0;
            }
            19 if self.world.counted() <= self.world.losses => {
                self.lose_disks();
                self.world.expect_leader_with_all_values();
            }
            _ => {}
        }
    }

    /// Replaces one machine or several at once.
    fn replace(&mut self) {
        let count = self.allowance();
        let count = if count > 1 { self.world.rng.random_range(1..=count) } else { count };
        let interval = if self.world.rng.random() { 0 } else { 600 };
        for _ in 0..count {
            let Some(index) = self.candidates().first().copied() else { return };
            if self.allowance() == 0 {
                return;
            }
            let ends = [End::PowerLoss, End::Kill, End::Stop];
            let end = ends[self.world.rng.random_range(0..ends.len())];
            let wait = self.world.rng.random_range(0..MAX_SUCCESSOR_DELAY_MS);
            self.world.replace(index, end, wait);
            self.spare_disks = self.spare_disks.saturating_sub(1);
            self.world.advance(interval);
        }
    }

    /// Starts successors of one machine or several, which stop later.
    fn replace_as_planned(&mut self) {
        for _ in 0..self.world.rng.random_range(1..=2) {
            let Some(index) = self.candidates().first().copied().filter(|_| self.allowance() > 0)
            else {
                return;
            };
            let longest = if self.world.rng.random() { MAX_LEAD_MS } else { MAX_EARLY_LEAD_MS };
            let lead = self.world.rng.random_range(300..longest);
            self.spare_disks = self.spare_disks.saturating_sub(1);
            self.world.replace_as_planned(index, lead);
        }
    }

    /// Lets a machine be unavailable for a while, after which it returns with its disk.
    fn interrupt(&mut self) {
        let is_allowed = self.allowance() > 0 || !self.world.promises_service;
        let Some(index) = self.candidates().first().copied().filter(|_| is_allowed) else {
            return;
        };
        let longest = if self.world.rng.random() { MAX_OUTAGE_MS } else { 2_500 };
        let wait = self.world.rng.random_range(100..longest);
        match self.world.rng.random_range(0..4) {
            0 => self.world.restart(index, wait),
            1 => self.world.freeze(index, wait),
            2 => self.world.cut_off(index, wait),
            _ => self.world.cut_from_leader(index, wait),
        }
    }

    /// Cuts the machines into halves, sometimes twice in a row.
    fn halve(&mut self) {
        if !self.world.promises_service {
            let wait = self.world.rng.random_range(500..2 * MAX_HALVES_MS);
            return self.world.halve(wait);
        }
        if self.world.counted() > 0 {
            return;
        }
        for _ in 0..self.world.rng.random_range(1..=2) {
            let wait = self.world.rng.random_range(500..MAX_HALVES_MS);
            self.world.halve(wait);
            let pause = self.world.rng.random_range(0..2_000);
            self.world.advance(wait + pause);
        }
    }

    fn lose_disk(&mut self) {
        let index = self.candidates().first().copied();
        if let Some(index) = index.filter(|_| self.allowance() > 0) {
            self.spare_disks = self.spare_disks.saturating_sub(1);
            self.world.lose_disk(index);
        }
    }
}

/// `REPLACEMENT_SEEDS=first..end` plays other seeds than those of CI.
#[test]
fn random_histories_of_replaced_replicas_tolerate_the_required_losses() {
    let seeds = std::env::var("REPLACEMENT_SEEDS").ok().and_then(|text| {
        let (first, end) = text.split_once("..")?;
        Some(first.parse().ok()?..end.parse().ok()?)
    });
    let seeds = seeds.unwrap_or(CI_SEEDS);
    let count = seeds.end - seeds.start;
    let play = |seed| Some((seed, History::new(seed).play()?));
    let failing: Vec<(u64, Failure)> = seeds.filter_map(play).collect();
    for (seed, failure) in &failing {
        eprintln!("seed {seed}: {}", failure.violation);
    }
    let events: Vec<String> = failing
        .iter()
        .take(MAX_SHOWN)
        .map(|(seed, failure)| format!("seed {seed}:\n{}", failure.events.join("\n")))
        .collect();
    assert!(failing.is_empty(), "{} of {count} seeds fail: {}", failing.len(), events.join("\n"));
}
