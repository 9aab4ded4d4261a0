//! The clock for leases, timeouts and ages.
//!
//! It includes the time during which the machine was suspended. `std::time::Instant` does not: with it, a
//! leader that resumes after five seconds would act for another second as if no other could have taken over.

mod source;

use std::sync::Arc;
use std::time::Duration;

use pond_proto::Millis;

pub use source::{Manual, Source, System};

/// Clock of a process.
#[derive(Clone)]
pub struct Clock {
    source: Arc<dyn Source>,
    start: Duration,
}

impl Clock {
    /// Creates a clock from the system clocks that starts now.
    pub fn new() -> Clock {
        Clock::with_source(Arc::new(System))
    }

    /// Creates a clock from the given source that starts now.
    pub fn with_source(source: Arc<dyn Source>) -> Clock {
        let start = source.boot();
        Clock { source, start }
    }

    /// Returns the time since the start, including suspensions.
    pub fn elapsed(&self) -> Duration {
        self.source.boot().saturating_sub(self.start)
    }

    /// Returns the time since the start in milliseconds, including suspensions.
    pub fn now(&self) -> Millis {
        Millis(self.elapsed().as_millis() as u64)
    }

    /// Returns the time of day in milliseconds since 1970, or zero if it is set to an earlier date.
    pub fn wall(&self) -> Millis {
        Millis(self.source.wall().as_millis() as u64)
    }
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::new()
    }
}
