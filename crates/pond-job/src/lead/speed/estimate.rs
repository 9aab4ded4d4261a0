//! Estimates of how slow workers are, relative to the median worker.
//!
//! Each run yields one observation: the logarithm of its duration relative to the expected one, over
//! the last interval between two reports. A single task may take several times as long for reasons
//! of its own, so an observation is weighed against that possibility, and several slow runs at the
//! same time are needed to call a worker slow. Observations are added up as in a CUSUM test, so
//! that a worker that was sound until a moment ago is recognized as fast as a new one.
//!
//! Nothing is placed on a slow worker if there is a choice, so its estimate expires without
//! observations. It is then on probation: one run at a time shows whether it is still slow.

use std::collections::BTreeMap;

use pond_proto::job::RunName;
use pond_proto::{Millis, Span};

/// Standard deviation of the logarithm of a duration relative to its estimate. Estimates that are
/// wrong by factors from 0.5 to 1.5 deviate by 0.31; processors and rounding add to that.
const ESTIMATE_DEVIATION: f64 = 0.4;

/// Standard deviation of a measured interval, in milliseconds: orders, calls, lists and commits
/// take some tens of milliseconds each.
const TIMING_DEVIATION_MS: f64 = 80.0;

/// Standard deviation of a difference of two percentages, which are whole numbers.
const ROUNDING_PERCENT: f64 = 0.5;

/// Shortest interval that is observed, in milliseconds. Shorter ones are mostly timing errors.
const MIN_INTERVAL_MS: Span = 250;

/// Smallest progress in percent that the end of a run must add to be observed: an end is seen only
/// after a commit.
const MIN_FINAL_PERCENT: f64 = 15.0;

/// Factor by which some tasks take longer for reasons of their own.
const TAIL_FACTOR: f64 = 7.0;

/// Share of such tasks among those that start.
const TAIL_SHARE: f64 = 0.03;

/// Their share among the runs that are older than most runs get: they stay seven times as long.
const OLD_TAIL_SHARE: f64 = 0.18;

/// Probability that a run that has progressed as expected before becomes slow by itself.
const LATE_TAIL_SHARE: f64 = 0.01;

/// Age relative to the expected duration from which a run counts as old. Estimates are wrong by up
/// to a half.
const OLD_AGE: f64 = 1.5;

/// Factors that a slow worker may have, each as probable as the others. An interval in which it
/// became slow shows a smaller one than the next.
const SLOW_FACTORS: [f64; 4] = [2.5, 4.5, 8.0, 14.0];

/// Limit for the evidence of one observation against slowness, as a logarithm of a likelihood
/// ratio. A single fast run may be a wrong estimate.
const MAX_OPPOSING_EVIDENCE: f64 = 3.0;

/// Fast runs this long before the last observation outweigh later slow ones, in milliseconds; older
/// ones only outweigh what was before them. The worker may have become slow since.
const OPPOSING_MS: Span = 400;

/// Logarithm of the odds that any worker is slow: 4 of 70.
const PRIOR_LN_ODDS: f64 = -2.9;

/// Logarithm of the odds that a worker that was slow is still slow after the expiry of its
/// estimate: workers are slow for about 8 s.
const PROBATION_LN_ODDS: f64 = 1.1;

/// Probability from which a worker counts as slow.
const SLOW_PROBABILITY: f64 = 0.95;

/// Probability below which a slow worker no longer counts as slow.
const SOUND_PROBABILITY: f64 = 0.5;

/// A worker is called slow only if it takes at least this many times as long as the median.
const MIN_SLOW_FACTOR: f64 = 2.0;

/// Number of slow runs that make a worker slow. One may take longer for reasons of its own.
const MIN_SLOW_RUNS: usize = 2;

/// A single run on probation shows that the worker is still slow only if it takes at least this many
/// times as long. If the worker recovers during the run, the run takes two to four times as long, and
/// with a limit of 2 one recovered worker in twenty stayed unused for over 3 s.
const MIN_PROBE_FACTOR: f64 = 4.0;

/// Time without observations after which an estimate expires, in milliseconds. With one more report
/// interval a recovered worker is used again within 3 s.
const EXPIRY_MS: Span = 1_800;

/// Longest probation, in milliseconds. A run that shows nothing by then does not report.
const PROBATION_MS: Span = 5_000;

/// Time for which a worker counts towards the median after its last observation, in milliseconds.
/// Workers are idle for seconds.
const MEDIAN_MS: Span = 10_000;

/// Most observations that are kept for a worker. Runs take at least some hundreds of milliseconds.
const MAX_OBSERVATIONS: usize = 32;

/// A run in progress.
#[derive(Clone, Copy, Debug)]
struct Track {
    expected_ms: Span,
    /// When it was started or first seen.
    since: Millis,
    /// Last observed progress, and when that was.
    percent: f64,
    at: Millis,
    /// Whether it has progressed as expected in an interval.
    was_fast: bool,
    /// Whether its worker was slow while it ran.
    hindered: bool,
    /// Whether reports were missing since, so that the next one only continues from where it is.
    interrupted: bool,
}

/// The last observed interval of a run.
#[derive(Clone, Copy, Debug)]
struct Observation {
    at: Millis,
    /// Logarithm of the duration relative to the expected one.
    excess: f64,
    deviation: f64,
    /// Probability that the run is slow for reasons of its own.
    tail_share: f64,
}

impl Observation {
    /// Returns the logarithm of the likelihood ratio of a slow worker and a sound one.
    fn evidence(&self, median: f64) -> f64 {
        let excess = self.excess - median;
        let density = |mean: f64| {
            let deviations = (excess - mean) / self.deviation;
            (-0.5 * deviations * deviations).exp()
        };
        let likelihood = |factor: f64| {
            (1.0 - self.tail_share) * density(factor.ln())
                + self.tail_share * density((factor * TAIL_FACTOR).ln())
        };
        let slow = SLOW_FACTORS.iter().map(|factor| likelihood(*factor)).sum::<f64>();
        let slow = slow / SLOW_FACTORS.len() as f64;
        // A floor keeps values that no hypothesis explains from deciding alone.
        const FLOOR: f64 = 1e-3;
        ((slow + FLOOR) / (likelihood(1.0) + FLOOR)).ln().max(-MAX_OPPOSING_EVIDENCE)
    }
}

/// Whether a worker is considered slow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    Sound,
    Slow,
    /// It was slow until then, and nothing was observed since.
    Probation(Millis),
}

/// What is known about the speed of one incarnation of a worker.
#[derive(Clone, Debug)]
struct Estimate {
    tracks: BTreeMap<RunName, Track>,
    observations: BTreeMap<RunName, Observation>,
    observed_at: Millis,
    /// Whether something was observed since it was last judged.
    changed: bool,
    /// Mean of the logarithms of relative durations.
    mean: Option<f64>,
    verdict: Verdict,
    factor: f64,
}

impl Estimate {
    fn new() -> Estimate {
        Estimate {
            tracks: BTreeMap::new(),
            observations: BTreeMap::new(),
            observed_at: Millis(0),
            changed: false,
            mean: None,
            verdict: Verdict::Sound,
            factor: 1.0,
        }
    }

    fn is_slow(&self) -> bool {
        match self.verdict {
            Verdict::Sound => false,
            Verdict::Slow => true,
            // One run at a time shows whether it still is.
            Verdict::Probation(_) => !self.tracks.is_empty(),
        }
    }

    /// Records an interval of a run.
    fn observe(&mut self, now: Millis, run: RunName, track: Track, percent: f64) {
        let interval_ms = now.since(track.at) as f64;
        let progress = (percent - track.percent).max(ROUNDING_PERCENT);
        let expected_ms = progress / 100.0 * track.expected_ms as f64;
        let timing = TIMING_DEVIATION_MS / interval_ms;
        let rounding = ROUNDING_PERCENT / progress;
        let variance = ESTIMATE_DEVIATION.powi(2) + timing.powi(2) + rounding.powi(2);
        let age = now.since(track.since) as f64 / track.expected_ms as f64;
        let tail_share = match () {
            () if track.was_fast => LATE_TAIL_SHARE,
            () if age >= OLD_AGE => OLD_TAIL_SHARE,
            () => TAIL_SHARE,
        };
        let excess = (interval_ms / expected_ms).ln();
        let observation = Observation { at: now, excess, deviation: variance.sqrt(), tail_share };
        self.observations.insert(run, observation);
        if self.observations.len() > MAX_OBSERVATIONS {
            let oldest = self.observations.iter().min_by_key(|(_, other)| other.at);
            let oldest = oldest.map(|(run, _)| *run);
            oldest.map(|run| self.observations.remove(&run));
        }
        self.observed_at = self.observed_at.max(now);
        self.changed = true;
    }

    /// Drops expired observations and updates the mean.
    fn refresh(&mut self, now: Millis) {
        self.observations.retain(|_, observation| now.since(observation.at) < EXPIRY_MS);
        if let Some(mean) = mean(&self.observations, 0.0) {
            self.mean = Some(mean);
        } else if now.since(self.observed_at) >= MEDIAN_MS {
            self.mean = None;
        }
    }

    /// Returns the evidence that the worker is slow, as a logarithm of a likelihood ratio, and the
    /// number of runs that show it.
    fn evidence(&self, median: f64) -> (f64, usize) {
        let mut ordered: Vec<&Observation> = self.observations.values().collect();
        ordered.sort_by_key(|observation| observation.at);
        let (mut sum, mut recent, mut slow) = (0.0f64, 0.0, 0);
        for observation in ordered {
            let evidence = observation.evidence(median);
            slow += usize::from(evidence > 0.0);
            if self.observed_at.since(observation.at) > OPPOSING_MS {
                sum = (sum + evidence).max(0.0);
            } else {
                recent += evidence;
            }
        }
        (sum + recent, slow)
    }

    /// Decides whether the worker is slow.
    fn judge(&mut self, now: Millis, median: f64) {
        self.changed = false;
        if self.observations.is_empty() {
            self.verdict = match self.verdict {
                Verdict::Slow => Verdict::Probation(now),
                Verdict::Probation(since) if now.since(since) >= PROBATION_MS => Verdict::Sound,
                other => other,
            };
            if self.verdict == Verdict::Sound {
                self.factor = 1.0;
            }
            return;
        }
        let (evidence, slow_runs) = self.evidence(median);
        let suspected = self.verdict != Verdict::Sound;
        let ln_odds = if suspected { PROBATION_LN_ODDS } else { PRIOR_LN_ODDS } + evidence;
        let probability = 1.0 / (1.0 + (-ln_odds).exp());
        self.factor = mean(&self.observations, median).unwrap_or(0.0).exp().max(1.0);
        let probe_fails = suspected && self.factor >= MIN_PROBE_FACTOR;
        let enough = probe_fails || slow_runs >= MIN_SLOW_RUNS;
        if probability >= SLOW_PROBABILITY && self.factor >= MIN_SLOW_FACTOR && enough {
            self.verdict = Verdict::Slow;
        } else if probability < SOUND_PROBABILITY {
            self.verdict = Verdict::Sound;
        }
        if self.verdict == Verdict::Slow {
            self.tracks.values_mut().for_each(|track| track.hindered = true);
        }
    }
}

/// Returns the mean of observations less the median, weighted by precision; `None` without any.
fn mean(observations: &BTreeMap<RunName, Observation>, median: f64) -> Option<f64> {
    let weight = |observation: &Observation| observation.deviation.powi(-2);
    let weights: f64 = observations.values().map(weight).sum();
    let sum: f64 = observations.values().map(|one| weight(one) * (one.excess - median)).sum();
    (weights > 0.0).then(|| sum / weights)
}

/// A worker that has become slow, or no longer is.
#[derive(Clone, Debug, PartialEq)]
pub struct Transition {
    /// Incarnation of the worker.
    pub incarnation: String,
    /// Whether it is slow now.
    pub slow: bool,
    /// Duration of its runs relative to the median worker.
    pub factor: f64,
    /// Number of observed runs.
    pub observations: usize,
}

/// Speeds of workers, by incarnation.
#[derive(Clone, Debug, Default)]
pub struct Speeds {
    workers: BTreeMap<String, Estimate>,
}

impl Speeds {
    /// Creates estimates without observations.
    pub fn new() -> Speeds {
        Speeds::default()
    }

    /// Records that a start was committed, of a run that is expected to take that long in
    /// milliseconds. It may begin much later if its agent cannot be reached, so the observation
    /// begins with the first list that has it.
    pub fn record_start(
        &mut self,
        now: Millis,
        incarnation: &str,
        run: RunName,
        expected_ms: Span,
    ) {
        self.track(now, incarnation, run, 0.0, expected_ms);
        let estimate = self.workers.get_mut(incarnation);
        let track = estimate.and_then(|estimate| estimate.tracks.get_mut(&run));
        track.into_iter().for_each(|track| track.interrupted = true);
    }

    /// Records the progress of a run in percent at that time. The first one of a run whose start
    /// was not recorded is where its observation begins.
    pub fn record_progress(
        &mut self,
        now: Millis,
        incarnation: &str,
        run: RunName,
        percent: u32,
        expected_ms: Span,
    ) {
        let percent = f64::from(percent.min(100));
        let estimate = self.workers.entry(incarnation.to_owned()).or_insert_with(Estimate::new);
        let Some(track) = estimate.tracks.get(&run).copied() else {
            self.track(now, incarnation, run, percent, expected_ms);
            return;
        };
        if track.interrupted {
            let track = Track { percent, at: now, interrupted: false, ..track };
            estimate.tracks.insert(run, track);
            return;
        }
        let done = track.percent >= 100.0;
        if done || now.since(track.at) < MIN_INTERVAL_MS {
            return;
        }
        estimate.observe(now, run, track, percent);
        let observed = estimate.observations.get(&run);
        let fast = observed.is_some_and(|observed| observed.excess < MIN_SLOW_FACTOR.ln());
        let was_fast = track.was_fast || fast;
        estimate.tracks.insert(run, Track { percent, at: now, was_fast, ..track });
    }

    /// Records that a run has succeeded. Returns whether its worker was slow while it ran.
    pub fn record_end(&mut self, now: Millis, incarnation: &str, run: RunName) -> bool {
        let Some(estimate) = self.workers.get_mut(incarnation) else { return false };
        let Some(track) = estimate.tracks.remove(&run) else { return false };
        let enough = 100.0 - track.percent >= MIN_FINAL_PERCENT;
        if enough && now > track.at && !track.interrupted {
            estimate.observe(now, run, track, 100.0);
        }
        track.hindered
    }

    /// Records that reports of a worker were missing. Starts may have been late as well, so what its
    /// runs did in the meantime is no evidence.
    pub fn record_gap(&mut self, incarnation: &str) {
        if let Some(estimate) = self.workers.get_mut(incarnation) {
            estimate.tracks.values_mut().for_each(|track| track.interrupted = true);
        }
    }

    /// Forgets runs and incarnations that are no longer there.
    pub fn forget(
        &mut self,
        present: impl Fn(&str) -> bool,
        placed: impl Fn(&str, RunName) -> bool,
    ) {
        self.workers.retain(|incarnation, _| present(incarnation));
        for (incarnation, estimate) in &mut self.workers {
            estimate.tracks.retain(|run, _| placed(incarnation, *run));
        }
    }

    /// Judges all workers and returns those that have become slow or no longer are.
    pub fn update(&mut self, now: Millis) -> Vec<Transition> {
        for estimate in self.workers.values_mut() {
            estimate.refresh(now);
        }
        let Some(median) = self.median() else { return Vec::new() };
        let mut transitions = Vec::new();
        for (incarnation, estimate) in &mut self.workers {
            if !estimate.changed && estimate.verdict == Verdict::Sound {
                continue;
            }
            let before = estimate.verdict == Verdict::Slow;
            estimate.judge(now, median);
            let slow = estimate.verdict == Verdict::Slow;
            if slow != before {
                transitions.push(Transition {
                    incarnation: incarnation.clone(),
                    slow,
                    factor: estimate.factor,
                    observations: estimate.observations.len(),
                });
            }
        }
        transitions
    }

    /// Returns whether tasks are better placed elsewhere: the worker is slow, or was so and is
    /// trying one run.
    pub fn is_slow(&self, incarnation: &str) -> bool {
        self.workers.get(incarnation).is_some_and(Estimate::is_slow)
    }

    /// Returns whether one more task would make [`Speeds::is_slow`] true.
    pub fn is_on_probation(&self, incarnation: &str) -> bool {
        let verdict = self.workers.get(incarnation).map(|estimate| estimate.verdict);
        matches!(verdict, Some(Verdict::Probation(_)))
    }

    /// Returns the duration of runs on a worker relative to the median worker.
    pub fn factor(&self, incarnation: &str) -> f64 {
        self.workers.get(incarnation).map_or(1.0, |estimate| estimate.factor)
    }

    /// Returns the incarnations that are slow.
    pub fn slow(&self) -> impl Iterator<Item = &str> {
        let slow = |(_, estimate): &(&String, &Estimate)| estimate.verdict == Verdict::Slow;
        self.workers.iter().filter(slow).map(|(incarnation, _)| incarnation.as_str())
    }

    fn track(
        &mut self,
        now: Millis,
        incarnation: &str,
        run: RunName,
        percent: f64,
        expected_ms: Span,
    ) {
        if expected_ms == 0 {
            return;
        }
        let estimate = self.workers.entry(incarnation.to_owned()).or_insert_with(Estimate::new);
        let hindered = estimate.verdict == Verdict::Slow;
        let track = Track {
            expected_ms,
            since: now,
            percent,
            at: now,
            was_fast: false,
            hindered,
            interrupted: false,
        };
        estimate.tracks.insert(run, track);
    }

    /// Returns the median of the workers' means, the lower one of two: of two workers, the slow one
    /// is compared with the other.
    fn median(&self) -> Option<f64> {
        let mut means: Vec<f64> =
            self.workers.values().filter_map(|estimate| estimate.mean).collect();
        means.sort_by(f64::total_cmp);
        means.get(means.len().saturating_sub(1) / 2).copied()
    }
}
