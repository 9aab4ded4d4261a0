//! Quantiles of recent latencies.

/// Number of histogram buckets. Their bounds are powers of the fourth root of two, from 1 microsecond.
const BUCKETS: usize = 128;

/// Number of samples after which all counts are halved, so that old samples lose weight.
const HALVE_AFTER: u32 = 4096;

/// Histogram of recent latencies in microseconds, with coarse quantiles.
#[derive(Clone, Debug)]
pub struct Latency {
    buckets: Box<[u32; BUCKETS]>,
    count: u32,
}

impl Default for Latency {
    fn default() -> Latency {
        Latency { buckets: Box::new([0; BUCKETS]), count: 0 }
    }
}

impl Latency {
    /// Records a latency, in microseconds.
    pub fn record(&mut self, us: u64) {
        self.buckets[bucket(us)] += 1;
        self.count += 1;
        if self.count >= HALVE_AFTER {
            self.buckets.iter_mut().for_each(|count| *count /= 2);
            self.count = self.buckets.iter().sum();
        }
    }

    /// Returns the latency at `quantile` (0 to 1), in microseconds, if there are at least
    /// `min_samples` samples.
    pub fn quantile(&self, quantile: f64, min_samples: u32) -> Option<u64> {
        if self.count < min_samples.max(1) {
            return None;
        }
        let rank = (f64::from(self.count) * quantile) as u32;
        let mut seen = 0;
        for (i, count) in self.buckets.iter().enumerate() {
            seen += count;
            if seen > rank {
                return Some(upper_bound(i));
            }
        }
        Some(upper_bound(BUCKETS - 1))
    }
}

fn bucket(us: u64) -> usize {
    let index = (us.max(1) as f64).log2() * 4.0;
    (index as usize).min(BUCKETS - 1)
}

fn upper_bound(bucket: usize) -> u64 {
    2f64.powf((bucket + 1) as f64 / 4.0) as u64
}
