//! Forecast of a job, and the decision that follows from it.

use pond_proto::Span;
use pond_proto::job::Step;

use super::Reason;
use crate::job::critical_path_ms;
use crate::lead::ready::WORTHLESS_SPANS;

/// Largest forecast, in milliseconds. A pool without room has no finite one.
const MAX_FORECAST_MS: f64 = 3_600_000.0;

/// What the decision about a job depends on, apart from the job itself. Processors are in
/// thousandths, work is in thousandths of a processor times milliseconds, and only such pieces of
/// the workers count as a task of the job fits into.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Inputs {
    /// Processors of the usable workers of the pool.
    pub capacity: f64,
    /// Processors that run-to-completion tasks may use.
    pub room: f64,
    /// Processors that neither placed tasks nor accepted jobs of the same or a higher priority
    /// occupy.
    pub free: f64,
    /// Expected work of the pending tasks of the same or a higher priority.
    pub waiting_work: f64,
    /// Offered load of the queues of the same or a higher priority.
    pub offered: f64,
    /// Factor by which the wait of wide jobs is corrected.
    pub correction: f64,
}

/// Steps of a job that can run at the same time.
#[derive(Clone, Copy, Debug, Default)]
struct Level {
    /// Processors that their tasks reserve, in thousandths.
    width: f64,
    /// Work of their tasks.
    work: f64,
}

/// What a job asks for.
#[derive(Clone, Debug)]
pub struct Shape {
    levels: Vec<Level>,
    /// Expected length of the critical path, in milliseconds.
    pub path_ms: Span,
}

impl Shape {
    /// Creates the shape of a job whose tasks take the given times, in milliseconds.
    pub fn new(steps: &[Step], takes_ms: impl Fn(&Step) -> Span) -> Shape {
        let mut levels: Vec<Level> = Vec::new();
        let mut level_of: Vec<usize> = Vec::with_capacity(steps.len());
        for step in steps {
            let before = step.after.iter().filter_map(|i| level_of.get(*i as usize));
            let index = before.max().map_or(0, |level| level + 1);
            level_of.push(index);
            levels.resize(levels.len().max(index + 1), Level::default());
            let width = f64::from(step.tasks) * f64::from(step.size().milli_cpu);
            levels[index].width += width;
            levels[index].work += width * takes_ms(step) as f64;
        }
        Shape { levels, path_ms: critical_path_ms(steps, |_, step| takes_ms(step)) }
    }

    /// Returns the work of the job.
    pub fn work(&self) -> f64 {
        self.levels.iter().map(|level| level.work).sum()
    }

    /// Returns the most processors that the job reserves at the same time, in thousandths.
    pub fn width(&self) -> f64 {
        self.levels.iter().map(|level| level.width).fold(0.0, f64::max)
    }

    /// Returns the part of the work that does not fit into the free processors at once, for a job
    /// with `scale` times as many tasks. A level runs in the processors of the one before it.
    fn excess(&self, free: f64, scale: f64) -> f64 {
        let of_level = |level: &Level| {
            let width = level.width * scale;
            if width <= free { 0.0 } else { level.work * scale * (1.0 - free / width) }
        };
        self.levels.iter().map(of_level).sum()
    }

    /// Returns the wait before the job runs if `processors` do the waiting work and the excess, in
    /// milliseconds. A job that fits into free processors does not wait: they are left after all
    /// waiting tasks that could be placed.
    fn wait_ms(&self, inputs: &Inputs, scale: f64, processors: f64) -> f64 {
        if self.width() <= inputs.free {
            return 0.0;
        }
        let work = inputs.waiting_work + self.excess(inputs.free, scale);
        if processors > 0.0 { (work / processors).min(MAX_FORECAST_MS) } else { MAX_FORECAST_MS }
    }
}

/// A job to be judged.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// What it asks for.
    pub shape: Shape,
    /// Work that it is judged with; at least its own.
    pub judged_work: f64,
    /// Its objective as a duration, in milliseconds.
    pub span_ms: Span,
    /// Time since the caller's first attempt, in milliseconds.
    pub elapsed_ms: Span,
}

/// The outcome for a job.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It will be done in time, or late but still be of value.
    Accepted {
        /// Wait of the job itself without correction, in milliseconds.
        wait_ms: f64,
    },
    /// It will not be of value.
    Rejected {
        /// The reason.
        reason: Reason,
        /// Forecast with which it was judged, in milliseconds.
        forecast_ms: Span,
    },
}

impl Candidate {
    /// Judges the job.
    pub fn judge(&self, inputs: &Inputs) -> Verdict {
        let shape = &self.shape;
        let path_ms = shape.path_ms as f64;
        let (elapsed_ms, span_ms) = (self.elapsed_ms as f64, self.span_ms as f64);
        let latest_ms = span_ms * WORTHLESS_SPANS as f64;
        let scale = (self.judged_work / shape.work().max(1.0)).max(1.0);
        let forecast_ms = shape.wait_ms(inputs, scale, inputs.room) * inputs.correction + path_ms;
        let fits = shape.width() <= inputs.free && path_ms <= latest_ms;
        let left = inputs.room - inputs.offered;
        let late_ms = shape.wait_ms(inputs, 1.0, left) * inputs.correction + path_ms;
        let accepted = fits
            || elapsed_ms + forecast_ms <= span_ms
            || (left > 0.0 && elapsed_ms + late_ms <= latest_ms);
        if accepted {
            return Verdict::Accepted { wait_ms: shape.wait_ms(inputs, 1.0, inputs.room) };
        }
        let empty = Inputs { free: inputs.capacity, waiting_work: 0.0, ..*inputs };
        let alone_ms = shape.wait_ms(&empty, 1.0, inputs.capacity) + path_ms;
        let reason = if alone_ms > latest_ms { Reason::Unservable } else { Reason::Overload };
        Verdict::Rejected { reason, forecast_ms: forecast_ms.min(MAX_FORECAST_MS) as Span }
    }
}
