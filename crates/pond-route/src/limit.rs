//! Rates: a limit on arrivals, and a measure of how fast requests drain.

use pond_proto::Micros;

/// A limit of requests a second, with a tenth of a second saved up.
#[derive(Clone, Debug)]
pub struct Bucket {
    per_second: u32,
    tokens: f64,
    at: Micros,
}

impl Bucket {
    /// A full bucket.
    pub fn new(per_second: u32, now: Micros) -> Bucket {
        Bucket { per_second, tokens: Bucket::burst(per_second), at: now }
    }

    fn burst(per_second: u32) -> f64 {
        (f64::from(per_second) / 10.0).max(1.0)
    }

    /// The limit.
    pub fn per_second(&self) -> u32 {
        self.per_second
    }

    /// Whether one more is allowed; it is then counted.
    pub fn take(&mut self, now: Micros) -> bool {
        let earned = now.since(self.at) as f64 / 1e6 * f64::from(self.per_second);
        self.at = now;
        self.tokens = (self.tokens + earned).min(Bucket::burst(self.per_second));
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Length of a window in which ends are counted, in microseconds.
const WINDOW_US: u64 = 100_000;

/// Weight of a new window.
const WEIGHT: f64 = 0.3;

/// How many requests end in a second, smoothed.
#[derive(Clone, Debug, Default)]
pub struct Drain {
    since: Micros,
    count: u32,
    rate: f64,
}

impl Drain {
    /// One request ended.
    pub fn count(&mut self, now: Micros) {
        let passed = now.since(self.since);
        if passed >= WINDOW_US {
            let rate = f64::from(self.count) * 1e6 / passed as f64;
            self.rate += WEIGHT * (rate - self.rate);
            self.since = now;
            self.count = 0;
        }
        self.count += 1;
    }

    /// Requests a second.
    pub fn per_second(&self) -> f64 {
        self.rate
    }
}
