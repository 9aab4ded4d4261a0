//! Mitigation of slow workers: which workers take much longer than the others, where tasks go
//! instead, and which runs are stopped to start elsewhere.
//!
//! Decided from the progress and the ends of runs that end by themselves and reserve processors.
//! Best-effort runs progress with what others leave unused, so they are no evidence and stay.

mod estimate;

use std::collections::BTreeMap;

use pond_proto::fleet::{Report, RunRow};
use pond_proto::job::{RunName, Step};
use pond_proto::{Millis, Span};

use super::candidate::Candidate;
use super::evict::MAX_MOVES;
use super::{Decision, Leader, Output};
use crate::change::Start;
use crate::state::State;

pub use estimate::{Speeds, Transition};

/// A run is restarted only if that ends it sooner by more than half: the remaining time must be
/// this many times the duration elsewhere.
const MIN_GAIN: f64 = 2.0;

/// Time for the stop, its confirmation and the new start, in milliseconds. It is an assumption:
/// two calls and two commits, and a stop that takes about 200 ms.
const RESTART_MS: Span = 300;

/// The fastest report of the last one or two of these intervals relates the clocks, in
/// milliseconds. Lists and reports of an idle worker drift past each other within ten seconds, and
/// in that time a clock that is slow by two percent falls behind by 0.2 s.
const OFFSET_MS: Span = 5_000;

/// Reports further apart than this leave a gap, in milliseconds. They arrive every second.
const GAP_MS: Span = 1_500;

/// Relation of a worker's clock to the leader's, from the fastest report. The figures of a report
/// may be a second older than the report itself.
#[derive(Clone, Copy, Debug)]
struct Clock {
    /// The worker's clock in the last report.
    clock_ms: u64,
    /// When that report arrived.
    reported_at: Millis,
    /// Leader's clock less worker's clock in the fastest report of the present interval and of the
    /// one before, in milliseconds.
    offset_ms: i64,
    former_offset_ms: i64,
    /// When the present interval began.
    since: Millis,
}

impl Clock {
    fn new(now: Millis, clock_ms: u64) -> Clock {
        let offset_ms = now.0 as i64 - clock_ms as i64;
        let former_offset_ms = offset_ms;
        Clock { clock_ms, reported_at: now, offset_ms, former_offset_ms, since: now }
    }

    /// Records a report. Returns whether reports were missing before it.
    fn advance(&mut self, now: Millis, clock_ms: u64) -> bool {
        let passed_ms = clock_ms.saturating_sub(self.clock_ms);
        if passed_ms > GAP_MS || now.since(self.reported_at) > GAP_MS {
            // The clock may have stood still.
            *self = Clock::new(now, clock_ms);
            return true;
        }
        let offset_ms = now.0 as i64 - clock_ms as i64;
        if now.since(self.since) >= OFFSET_MS {
            (self.former_offset_ms, self.offset_ms) = (self.offset_ms, offset_ms);
            self.since = now;
        }
        self.offset_ms = self.offset_ms.min(offset_ms);
        (self.clock_ms, self.reported_at) = (clock_ms, now);
        false
    }

    /// Returns when the figures of the last report were read, in the leader's time.
    fn read_at(&self) -> Millis {
        let offset_ms = self.offset_ms.min(self.former_offset_ms);
        Millis((self.clock_ms as i64 + offset_ms).max(0) as u64)
    }
}

/// Speeds of the workers with their inputs.
#[derive(Debug, Default)]
pub(super) struct Monitor {
    pub speeds: Speeds,
    clocks: BTreeMap<String, Clock>,
    /// Progress and measurements in the last report that had new ones.
    figures: BTreeMap<String, BTreeMap<RunName, (u32, u32)>>,
}

impl Monitor {
    /// Records that a run has succeeded. Returns whether its worker was slow while it ran.
    pub fn record_end(&mut self, now: Millis, incarnation: &str, run: RunName) -> bool {
        let hindered = self.speeds.record_end(now, incarnation, run);
        hindered || self.speeds.slow().any(|slow| slow == incarnation)
    }

    /// Returns when the figures of a report were read; `None` if they are those of an earlier one.
    fn read_at(&mut self, now: Millis, report: &Report) -> Option<Millis> {
        let clock = self.clocks.entry(report.worker.clone());
        let clock = clock.or_insert_with(|| Clock::new(now, report.clock_ms));
        if clock.advance(now, report.clock_ms) || !report.responsive {
            self.speeds.record_gap(&report.worker);
        }
        let read_at = clock.read_at();
        let figures = |row: &RunRow| (row.run, (row.percent, row.measurement));
        let figures: BTreeMap<RunName, (u32, u32)> =
            report.runs.iter().filter(|row| !row.unlisted).map(figures).collect();
        // Every run on a worker that works has progressed, if only by a percent.
        let before = self.figures.insert(report.worker.clone(), figures);
        let changed = before != self.figures.get(&report.worker).cloned();
        (report.responsive && changed).then_some(read_at)
    }
}

/// Returns whether tasks of a step take longer on a slow worker, so that they are placed elsewhere.
pub(super) fn depends_on_speed(step: &Step) -> bool {
    !step.long_running && !step.best_effort && step.milli_cpu > 0
}

impl Leader {
    /// Returns the number of workers that are slow.
    pub fn slow_workers(&self) -> usize {
        self.monitor.speeds.slow().count()
    }

    /// Returns the expected duration of a run in milliseconds if it is evidence of its worker's
    /// speed. The tasks of a gang wait for each other.
    fn evident_ms(&self, state: &State, run: RunName) -> Option<Span> {
        let (job, step) = (state.job(run.task.job)?, state.step(run.task)?);
        (depends_on_speed(step) && !step.gang)
            .then(|| self.durations.expected_ms(job.queue_key(), step))
    }

    /// Records the start of a run that was committed.
    pub(super) fn record_speed_start(&mut self, state: &State, now: Millis, start: &Start) {
        let task = state.job(start.run.task.job).and_then(|job| job.task(start.run.task));
        // Progress from a checkpoint is not known before the first report.
        let whole = task.is_some_and(|task| task.checkpoint.is_empty());
        let expected_ms = self.evident_ms(state, start.run).filter(|_| whole);
        if let Some(expected_ms) = expected_ms {
            self.monitor.speeds.record_start(now, &start.worker, start.run, expected_ms);
        }
    }

    /// Records the progress of the runs in a report.
    pub(super) fn record_speed(&mut self, state: &State, now: Millis, report: &Report) {
        let Some(read_at) = self.monitor.read_at(now, report) else { return };
        for row in report.runs.iter().filter(|row| !row.unlisted) {
            let Some(expected_ms) = self.evident_ms(state, row.run) else { continue };
            let speeds = &mut self.monitor.speeds;
            speeds.record_progress(read_at, &report.worker, row.run, row.percent, expected_ms);
        }
    }

    /// Judges the speeds of all workers and restarts runs of slow ones elsewhere.
    pub(super) fn mitigate_slow_workers(&mut self, state: &State, now: Millis) {
        let workers = &self.workers;
        self.monitor.clocks.retain(|incarnation, _| workers.contains_key(incarnation));
        self.monitor.figures.retain(|incarnation, _| workers.contains_key(incarnation));
        self.monitor.speeds.forget(
            |incarnation| workers.contains_key(incarnation),
            |incarnation, run| {
                let task = state.job(run.task.job).and_then(|job| job.task(run.task));
                task.is_some_and(|task| {
                    task.run == run.number && task.worker.as_deref() == Some(incarnation)
                })
            },
        );
        for transition in self.monitor.speeds.update(now) {
            let Transition { incarnation, slow, factor, observations } = transition;
            let factor_permille = (factor * 1000.0) as u32;
            let decision =
                Decision::Speed { worker: incarnation, slow, factor_permille, observations };
            self.outputs.push(Output::Decided(decision));
        }
        let slow: Vec<String> = self.monitor.speeds.slow().map(str::to_owned).collect();
        if !slow.is_empty() {
            self.restart_elsewhere(state, now, &slow);
        }
    }

    /// Stops runs on slow workers that end sooner if they are started on another worker now.
    fn restart_elsewhere(&mut self, state: &State, now: Millis, slow: &[String]) {
        let runs: Vec<(&String, RunName)> = slow
            .iter()
            .flat_map(|incarnation| state.placed(incarnation).map(move |run| (incarnation, run)))
            .filter(|(incarnation, run)| self.gains_by_restart(state, incarnation, *run))
            .collect();
        if runs.is_empty() {
            return;
        }
        let mut candidates = self.candidates(state, now);
        for (incarnation, run) in runs {
            let Some((job, step)) = state.job(run.task.job).zip(state.step(run.task)) else {
                continue;
            };
            let sound = |candidate: &&mut Candidate| {
                !self.monitor.speeds.is_slow(&candidate.incarnation)
                    && !self.monitor.speeds.is_on_probation(&candidate.incarnation)
                    && candidate.fits(&job.pool, run.task, step)
            };
            let Some(other) = candidates.iter_mut().find(sound) else { continue };
            // The capacity counts once for all runs that are stopped now.
            other.reserve_for_restart(run.task, step);
            *self.moves.entry(run.task).or_default() += 1;
            self.unwanted.insert(run);
            self.unreconciled.insert(incarnation.clone());
            self.dirty.insert(incarnation.clone());
            let factor_permille = (self.monitor.speeds.factor(incarnation) * 1000.0) as u32;
            let worker = incarnation.clone();
            self.outputs.push(Output::Decided(Decision::TooSlow { run, worker, factor_permille }));
        }
        self.cache.keep(candidates);
    }

    /// Returns whether a run on a slow worker would end sooner by more than half elsewhere. What a
    /// checkpoint saves is not known, so the whole duration counts. A gang would lose the work of
    /// all its tasks.
    fn gains_by_restart(&self, state: &State, incarnation: &str, run: RunName) -> bool {
        let Some(worker) = self.workers.get(incarnation) else { return false };
        let moves = self.moves.get(&run.task).copied().unwrap_or(0);
        if moves >= MAX_MOVES || !self.wanted(state, run) || worker.ended.contains(&run) {
            return false;
        }
        let Some(expected_ms) = self.evident_ms(state, run) else { return false };
        let Some(row) = worker.rows.get(&run) else { return false };
        let remaining = f64::from(100 - row.percent.min(100)) / 100.0;
        let remaining_ms = remaining * expected_ms as f64 * self.monitor.speeds.factor(incarnation);
        remaining_ms > MIN_GAIN * (expected_ms + RESTART_MS) as f64
    }
}
