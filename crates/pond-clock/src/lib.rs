//! The clocks that decisions are made by.
//!
//! Leases, time-outs and ages are counted by a clock that goes on while the machine is suspended. The steady
//! clock of the standard library stands still meanwhile: a leader that wakes after five seconds would go on
//! for a second as if nobody could lead in its place.

mod source;

use std::sync::Arc;
use std::time::Duration;

use pond_proto::Millis;

pub use source::{Manual, Source, System};

/// The clock of a process.
#[derive(Clone)]
pub struct Clock {
    source: Arc<dyn Source>,
    start: Duration,
}

impl Clock {
    /// The machine's clock, counted from now.
    pub fn new() -> Clock {
        Clock::with_source(Arc::new(System))
    }

    /// Another clock, counted from now.
    pub fn with_source(source: Arc<dyn Source>) -> Clock {
        let start = source.boot();
        Clock { source, start }
    }

    /// Time since the start, that of suspensions included.
    pub fn elapsed(&self) -> Duration {
        self.source.boot().saturating_sub(self.start)
    }

    /// The same in milliseconds.
    pub fn now(&self) -> Millis {
        Millis(self.elapsed().as_millis() as u64)
    }

    /// Time of day in milliseconds since 1970; zero if it is set to before.
    pub fn wall(&self) -> Millis {
        Millis(self.source.wall().as_millis() as u64)
    }
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::new()
    }
}
