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
