//! Rates: a token bucket for arriving requests, and the throughput of completed ones.

use pond_proto::Micros;

/// A token bucket that limits requests a second, with bursts of up to a tenth of a second.
#[derive(Clone, Debug)]
pub struct Bucket {
    per_second: u32,
    tokens: f64,
    refilled_at: Micros,
}

impl Bucket {
    /// Creates a full bucket.
    pub fn new(per_second: u32, now: Micros) -> Bucket {
        Bucket { per_second, tokens: Bucket::burst(per_second), refilled_at: now }
    }

    fn burst(per_second: u32) -> f64 {
        (f64::from(per_second) / 10.0).max(1.0)
    }

    /// Returns the limit, in requests a second.
    pub fn per_second(&self) -> u32 {
        self.per_second
    }

    /// Takes one token; returns false if there is none.
    pub fn take(&mut self, now: Micros) -> bool {
        let refill = now.since(self.refilled_at) as f64 / 1e6 * f64::from(self.per_second);
        self.refilled_at = now;
        self.tokens = (self.tokens + refill).min(Bucket::burst(self.per_second));
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Minimum length of a window in which completed requests are counted, in microseconds.
const WINDOW_US: u64 = 100_000;

/// Weight of a new window in the moving average.
const WEIGHT: f64 = 0.3;

/// Completed requests a second, as an exponential moving average.
#[derive(Clone, Debug, Default)]
pub struct Throughput {
    window_start: Micros,
    count: u32,
    rate: f64,
}

impl Throughput {
    /// Records a completed request.
    pub fn record(&mut self, now: Micros) {
        let passed = now.since(self.window_start);
        if passed >= WINDOW_US {
            let rate = f64::from(self.count) * 1e6 / passed as f64;
            self.rate += WEIGHT * (rate - self.rate);
            self.window_start = now;
            self.count = 0;
        }
        self.count += 1;
    }

    /// Returns the completed requests a second.
    pub fn per_second(&self) -> f64 {
        self.rate
    }
}
