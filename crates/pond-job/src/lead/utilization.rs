//! Relation between the tail latency of a serving task and the utilization of its worker.
//!
//! Tail latencies grow as in a queue: the tail latency of a task is that on an idle worker divided
//! by the spare share of time, `1 - utilization`. So tail latencies reveal little while there is
//! spare time and rise steeply when hardly any is left. Utilizations, however, add up: the task's
//! own load and a part from each best-effort run on the worker.

/// Tail latencies cannot distinguish utilizations above this.
pub const SATURATED_UTILIZATION: f64 = 0.95;

/// Initial assumption for the tail latency on an idle worker, as a share of the target: targets are
/// a few times what a task needs.
const IDLE_TAIL_SHARE: f64 = 0.25;

/// Spare share that is assumed for the shortest measured tail latency, which was still affected by
/// some load of the task itself.
const MIN_LOAD_SPARE: f64 = 0.8;

/// Standard deviation of a tail latency, as a share of it.
const TAIL_DEVIATION_SHARE: f64 = 0.08;

/// Minimum standard deviation of a tail latency, in milliseconds: half of the unit in which it is
/// reported.
const MIN_TAIL_DEVIATION_MS: f64 = 0.5;

/// Minimum standard deviation of a utilization: each tail latency covers half a second in which the
/// utilization changes.
const MIN_UTILIZATION_DEVIATION: f64 = 0.03;

/// Conversion between tail latencies and utilizations for the serving tasks of one image.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Scale {
    /// Tail latency on an idle worker, in milliseconds.
    idle_ms: f64,
}

impl Scale {
    /// Creates a scale without measurements.
    pub fn new(target_ms: u32) -> Scale {
        Scale { idle_ms: IDLE_TAIL_SHARE * f64::from(target_ms.max(1)) }
    }

    /// Restores a scale with that tail latency on an idle worker, in milliseconds.
    pub fn restore(idle_ms: f64) -> Scale {
        Scale { idle_ms }
    }

    /// Returns the tail latency on an idle worker, in milliseconds.
    pub fn idle_ms(&self) -> f64 {
        self.idle_ms
    }

    /// Records a measured tail latency, in milliseconds. A shorter one than any before corrects the
    /// scale.
    pub fn learn(&mut self, tail_ms: u32) {
        self.idle_ms = self.idle_ms.min(MIN_LOAD_SPARE * f64::from(tail_ms.max(1)));
    }

    /// Returns the utilization at which the tail latency is that long, in milliseconds.
    pub fn utilization(&self, tail_ms: u32) -> f64 {
        1.0 - self.idle_ms / f64::from(tail_ms.max(1)).max(self.idle_ms)
    }

    /// Returns the variance of a utilization that was derived from a tail latency, in milliseconds.
    pub fn noise(&self, tail_ms: u32) -> f64 {
        let tail = f64::from(tail_ms.max(1));
        let deviation = (TAIL_DEVIATION_SHARE * tail).max(MIN_TAIL_DEVIATION_MS);
        let deviation = (self.idle_ms / (tail * tail) * deviation).max(MIN_UTILIZATION_DEVIATION);
        deviation * deviation
    }
}
