//! Points in time and durations.

use std::ops::{Add, Sub};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A duration in milliseconds.
pub type Span = u64;

/// A point in time in milliseconds on the clock of the caller that passes it in.
///
/// Decision cores never read a clock; the current time is passed to them as `Millis`. A monotonic
/// clock starts at zero when the process starts; the clock for operators counts from 1970.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    JsonSchema,
)]
pub struct Millis(pub u64);

impl Millis {
    /// Returns the time elapsed since `earlier`; zero if `earlier` is later.
    pub fn since(self, earlier: Millis) -> Span {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Span> for Millis {
    type Output = Millis;
    fn add(self, span: Span) -> Millis {
        Millis(self.0.saturating_add(span))
    }
}

impl Sub<Span> for Millis {
    type Output = Millis;
    fn sub(self, span: Span) -> Millis {
        Millis(self.0.saturating_sub(span))
    }
}

/// A point in time in microseconds on a monotonic clock, used when handling requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(pub u64);

impl Micros {
    /// Returns the microseconds elapsed since `earlier`; zero if `earlier` is later.
    pub fn since(self, earlier: Micros) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the point in time that is `ms` milliseconds later.
    pub fn plus_ms(self, ms: u64) -> Micros {
        Micros(self.0.saturating_add(ms.saturating_mul(1000)))
    }
}

impl Add<u64> for Micros {
    type Output = Micros;
    fn add(self, us: u64) -> Micros {
        Micros(self.0.saturating_add(us))
    }
}
