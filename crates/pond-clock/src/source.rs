//! Where a clock's time comes from.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

/// Tells the time.
pub trait Source: Send + Sync {
    /// Time since some moment in the past; it never goes back, and counts the time of suspensions.
    fn boot(&self) -> Duration;

    /// Time of day since 1970.
    fn wall(&self) -> Duration;
}

/// The clocks of the machine.
#[derive(Clone, Copy, Debug)]
pub struct System;

impl Source for System {
    fn boot(&self) -> Duration {
        // Without it (a kernel of before 2011) the steady clock has to do.
        read(ClockId::CLOCK_BOOTTIME)
            .or_else(|_| read(ClockId::CLOCK_MONOTONIC))
            .unwrap_or_default()
    }

    fn wall(&self) -> Duration {
        // A time of day before 1970 is none at all; jobs then keep the order of their ids.
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
    }
}

fn read(clock: ClockId) -> nix::Result<Duration> {
    clock_gettime(clock).map(Duration::from)
}

/// A clock that is set by hand.
#[derive(Debug, Default)]
pub struct Manual {
    boot_ms: AtomicU64,
    wall_ms: AtomicU64,
}

impl Manual {
    /// Lets time pass on both clocks.
    pub fn pass(&self, ms: u64) {
        self.boot_ms.fetch_add(ms, Ordering::Relaxed);
        self.wall_ms.fetch_add(ms, Ordering::Relaxed);
    }
}

impl Source for Manual {
    fn boot(&self) -> Duration {
        Duration::from_millis(self.boot_ms.load(Ordering::Relaxed))
    }

    fn wall(&self) -> Duration {
        Duration::from_millis(self.wall_ms.load(Ordering::Relaxed))
    }
}
