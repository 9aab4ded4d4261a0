//! Points and lengths of time, in milliseconds.

use std::ops::{Add, Sub};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A length of time in milliseconds.
pub type Span = u64;

/// A point in time in milliseconds on the clock of whoever passes it in.
///
/// Decision cores never read a clock: they are given `Millis`. A monotonic clock's zero is the
/// start of the process; the operators' clock counts from 1970.
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
    /// How long after `earlier` this is; zero if it is not later.
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

/// A point in time in microseconds on a monotonic clock, for the path of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(pub u64);

impl Micros {
    /// How long after `earlier` this is, in microseconds; zero if it is not later.
    pub fn since(self, earlier: Micros) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// This many milliseconds later.
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
