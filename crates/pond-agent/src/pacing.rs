//! Slows filling runs down while a serving run beside them misses its target.
//!
//! Filling runs of one image behave alike, so they are paced together. The image that is blamed
//! most is slowed down first; if nothing is known, all are.

use std::collections::BTreeMap;

use pond_proto::{Millis, Span};

/// Paces of filling runs in percent, from calm to harsh. Each step is about a third of the one
/// before, as harm is not proportional to work.
const PACES: [u32; 4] = [100, 40, 12, 0];

/// From this share of its target on, in percent, a tail is too long.
const HIGH_PERCENT: u32 = 95;

/// Below this share of its target, in percent, a tail is calm. Between the two it is what it was: the
/// figures are rough, and a tail about its target wavers.
const LOW_PERCENT: u32 = 80;

/// Tails may be too long for this time before anything is slowed down, in milliseconds: slowing
/// down costs the filling work and the serving work, and most peaks pass by themselves.
const SLOW_DOWN_AFTER_MS: Span = 800;

/// After this time, in milliseconds, all filling work is slowed down, whoever is blamed.
const SLOW_ALL_AFTER_MS: Span = 1_700;

/// After this time, in milliseconds, all filling work is halted. Platforms bear some four seconds,
/// of which up to one goes by until a long tail is first seen, and half a one until the halt shows.
const HALT_AFTER_MS: Span = 2_200;

/// Time between steps down, in milliseconds: one new figure.
const STEP_DOWN_MS: Span = 400;

/// Calm time before a step up, in milliseconds: two figures.
const STEP_UP_MS: Span = 900;

/// An image with less than this share of all blame is spared, in percent.
const MIN_BLAME_PERCENT: u64 = 25;

/// The filling runs of one image.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Group {
    /// How much they add to tails at full pace, in thousandths of the target; zero if unknown.
    pub blame_permille: u64,
}

/// The paces of all filling runs of a worker.
#[derive(Debug, Default)]
pub struct Pacing {
    levels: BTreeMap<String, usize>,
    stepped_at: Millis,
    /// Since when a tail is too long.
    high_since: Option<Millis>,
    /// When a tail was last not calm.
    last_elevated: Millis,
}

impl Pacing {
    /// The pace of an image in percent.
    pub fn pace(&self, image: &str) -> u32 {
        PACES[self.levels.get(image).copied().unwrap_or(0)]
    }

    /// Takes in the tails and targets of serving runs and the filling images beside them.
    pub fn update(
        &mut self,
        now: Millis,
        tails: impl Iterator<Item = (u32, u32)>,
        groups: &BTreeMap<String, Group>,
    ) {
        self.levels.retain(|image, _| groups.contains_key(image));
        let worst =
            tails.map(|(tail, target)| tail.saturating_mul(100) / target.max(1)).max().unwrap_or(0);
        if worst >= LOW_PERCENT {
            self.last_elevated = now;
        }
        if worst < LOW_PERCENT {
            self.high_since = None;
        } else if worst >= HIGH_PERCENT {
            self.high_since.get_or_insert(now);
        }
        let span = self.high_since.map_or(0, |since| now.since(since));
        if span >= HALT_AFTER_MS {
            self.halt(now, groups);
        } else if span >= SLOW_DOWN_AFTER_MS && now.since(self.stepped_at) >= STEP_DOWN_MS {
            self.slow_down(now, groups, span >= SLOW_ALL_AFTER_MS);
        }
        let can_speed_up =
            now.since(self.last_elevated) >= STEP_UP_MS && now.since(self.stepped_at) >= STEP_UP_MS;
        if can_speed_up {
            self.speed_up(now, groups);
        }
    }

    fn halt(&mut self, now: Millis, groups: &BTreeMap<String, Group>) {
        for image in groups.keys() {
            self.levels.insert(image.clone(), PACES.len() - 1);
        }
        self.stepped_at = now;
    }

    fn slow_down(&mut self, now: Millis, groups: &BTreeMap<String, Group>, all: bool) {
        let blame = |image: &String| {
            let full = groups.get(image).map_or(0, |group| group.blame_permille);
            full * u64::from(self.pace(image))
        };
        let slowest = PACES.len() - 1;
        let level = |image: &String| self.levels.get(image).copied().unwrap_or(0);
        let candidates: Vec<&String> =
            groups.keys().filter(|image| level(image) < slowest).collect();
        let total: u64 = candidates.iter().map(|image| blame(image)).sum();
        let is_blamed = |image: &&String| all || blame(image) * 100 >= total * MIN_BLAME_PERCENT;
        let chosen: Vec<String> = candidates.into_iter().filter(is_blamed).cloned().collect();
        for image in chosen {
            *self.levels.entry(image).or_default() += 1;
            self.stepped_at = now;
        }
    }

    /// Images that are hardly blamed speed up first, all of them; then the others.
    fn speed_up(&mut self, now: Millis, groups: &BTreeMap<String, Group>) {
        let blame = |image: &String| groups.get(image).map_or(0, |group| group.blame_permille);
        let slowed: Vec<String> = self
            .levels
            .iter()
            .filter(|(_, level)| **level > 0)
            .map(|(image, _)| image.clone())
            .collect();
        let total: u64 = groups.keys().map(blame).sum();
        let is_spared = |image: &&String| blame(image) * 100 < total * MIN_BLAME_PERCENT;
        let first: Vec<String> = slowed.iter().filter(is_spared).cloned().collect();
        for image in if first.is_empty() { slowed } else { first } {
            if let Some(level) = self.levels.get_mut(&image) {
                *level -= 1;
                self.stepped_at = now;
            }
        }
    }
}
