//! How the tail of a serving task's answer times hangs together with how hard its worker is
//! pressed.
//!
//! Tails grow like those of a queue: a task whose share of spare time is `1 - pressure` answers
//! that much slower than on an idle worker. So tails say little while there is spare time and shoot
//! up when there is hardly any left, but pressures add up: the task's own load and a part from each
//! filling run beside it.

/// Pressures above this cannot be told apart by tails.
pub const SATURATED_UTILIZATION: f64 = 0.95;

/// The tail on an idle worker as a share of the target, while nothing is known: targets are some
/// times what a task needs.
const IDLE_TAIL_SHARE: f64 = 0.25;

/// Even the shortest tail seen was under some load of the task itself: this is the spare time then.
const MIN_LOAD_SPARE: f64 = 0.8;

/// Tails are rough: this is the deviation as a share of them, and at least half of the unit that
/// they are told in.
const TAIL_DEVIATION_SHARE: f64 = 0.08;

/// Least deviation of a tail in milliseconds, which are whole.
const MIN_TAIL_DEVIATION_MS: f64 = 0.5;

/// Least deviation of a pressure; the tails are those of a changing half second.
const MIN_UTILIZATION_DEVIATION: f64 = 0.03;

/// The scale between tails and pressures of the serving tasks of one image.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Scale {
    /// The tail on an idle worker, in milliseconds.
    idle_ms: f64,
}

impl Scale {
    /// The scale while nothing was measured.
    pub fn new(target_ms: u32) -> Scale {
        Scale { idle_ms: IDLE_TAIL_SHARE * f64::from(target_ms.max(1)) }
    }

    /// The scale with that tail on an idle worker.
    pub fn restore(idle_ms: f64) -> Scale {
        Scale { idle_ms }
    }

    /// The tail on an idle worker, in milliseconds.
    pub fn idle_ms(&self) -> f64 {
        self.idle_ms
    }

    /// A tail was measured, in milliseconds: a shorter one than any before corrects the scale.
    pub fn learn(&mut self, tail_ms: u32) {
        self.idle_ms = self.idle_ms.min(MIN_LOAD_SPARE * f64::from(tail_ms.max(1)));
    }

    /// The pressure at which tails are that long.
    pub fn utilization(&self, tail_ms: u32) -> f64 {
        1.0 - self.idle_ms / f64::from(tail_ms.max(1)).max(self.idle_ms)
    }

    /// The variance of a pressure that was measured by a tail.
    pub fn noise(&self, tail_ms: u32) -> f64 {
        let tail = f64::from(tail_ms.max(1));
        let deviation = (TAIL_DEVIATION_SHARE * tail).max(MIN_TAIL_DEVIATION_MS);
        let deviation = (self.idle_ms / (tail * tail) * deviation).max(MIN_UTILIZATION_DEVIATION);
        deviation * deviation
    }
}
