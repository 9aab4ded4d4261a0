//! Slows down best-effort runs while a co-located serving run misses its latency target.
//!
//! Best-effort runs of the same image behave alike, so they share one pace. The images with the
//! largest blame are slowed down first. Without any blame recorded, all images are slowed down.

use std::collections::BTreeMap;

use pond_proto::{Millis, Span};

/// Paces of best-effort runs in percent, from full speed to halted. Each is about a third of the
/// one before, because interference is not proportional to the work done.
const PACES: [u32; 4] = [100, 40, 12, 0];

/// A tail latency of at least this share of its target is too high, in percent.
const HIGH_PERCENT: u32 = 95;

/// A tail latency below this share of its target is low, in percent. Between the two limits the
/// last classification holds, because the figures are rough and a tail near its target fluctuates.
const LOW_PERCENT: u32 = 80;

/// Time that a tail latency must be too high before anything is slowed down, in milliseconds.
/// Slowing down costs both best-effort and serving work, and most peaks end by themselves.
const SLOW_DOWN_AFTER_MS: Span = 800;

/// Time of high tail latency after which all best-effort images are slowed down regardless of their
/// blame, in milliseconds.
const SLOW_ALL_AFTER_MS: Span = 1_700;

/// Time of high tail latency after which all best-effort work is halted, in milliseconds. Platforms
/// tolerate about 4 s. Up to 1 s of it passes before a high tail is first seen, and 0.5 s before
/// the effect of the halt is visible.
const HALT_AFTER_MS: Span = 2_200;

/// Time between two steps down, in milliseconds: one new figure arrives in between.
const STEP_DOWN_MS: Span = 400;

/// Time of low tail latency before a step up, in milliseconds: two figures.
const STEP_UP_MS: Span = 900;

/// An image with a smaller share of the total blame is not slowed down at first, in percent.
const MIN_BLAME_PERCENT: u64 = 25;

/// The best-effort runs of one image.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Group {
    /// How much they add to tail latencies at full pace, in thousandths of the target. Zero if
    /// unknown.
    pub blame_permille: u64,
}

/// The paces of all best-effort runs of a worker.
#[derive(Debug, Default)]
pub struct Pacing {
    levels: BTreeMap<String, usize>,
    stepped_at: Millis,
    /// Since when a tail latency has been too high.
    high_since: Option<Millis>,
    /// When a tail latency was last not low.
    last_elevated: Millis,
}

impl Pacing {
    /// Returns the pace of an image in percent.
    pub fn pace(&self, image: &str) -> u32 {
        PACES[self.levels.get(image).copied().unwrap_or(0)]
    }

    /// Updates the paces from the tail latencies and targets of serving runs, and from the
    /// co-located best-effort images.
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

    /// Speeds up all images with little blame first, and the others only when none of those is
    /// slowed down.
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
