//! The clocks of the shell.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use pond_proto::Millis;

/// A monotonic clock for decisions and the operators' clock for records.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock whose zero is a little before now, so that "long ago" can be told.
    pub fn new() -> Clock {
        Clock { start: Instant::now() }
    }

    /// Milliseconds on the monotonic clock.
    pub fn now(&self) -> Millis {
        Millis(self.start.elapsed().as_millis() as u64)
    }

    /// Milliseconds since 1970.
    pub fn wall(&self) -> Millis {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Millis(since.as_millis() as u64)
    }
}
