//! Time sources of clocks.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

/// Source of time for a clock.
pub trait Source: Send + Sync {
    /// Returns the time since an arbitrary origin. It never decreases and includes suspensions.
    fn boot(&self) -> Duration;

    /// Returns the time of day since 1970.
    fn wall(&self) -> Duration;
}

/// Clocks of the operating system.
#[derive(Clone, Copy, Debug)]
pub struct System;

impl Source for System {
    fn boot(&self) -> Duration {
        // Linux kernels before 2011 have no CLOCK_BOOTTIME; the fallback excludes suspensions.
        read(ClockId::CLOCK_BOOTTIME)
            .or_else(|_| read(ClockId::CLOCK_MONOTONIC))
            .unwrap_or_default()
    }

    fn wall(&self) -> Duration {
        // A time of day before 1970 counts as zero; jobs then keep the order of their ids.
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
    }
}

fn read(clock: ClockId) -> nix::Result<Duration> {
    clock_gettime(clock).map(Duration::from)
}

/// Time source for tests, which advances only on request.
#[derive(Debug, Default)]
pub struct Manual {
    boot_ms: AtomicU64,
    wall_ms: AtomicU64,
}

impl Manual {
    /// Advances both clocks by `ms` milliseconds.
    pub fn advance(&self, ms: u64) {
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
