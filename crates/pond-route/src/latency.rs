//! Quantiles of recent latencies.

/// Buckets of the histogram: powers of the fourth root of two from 1 microsecond on.
const BUCKETS: usize = 128;

/// After this many samples all counts are halved, so that old ones fade.
const FADE: u32 = 4096;

/// Coarse quantiles of recent latencies in microseconds.
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
    /// Takes in a sample.
    pub fn add(&mut self, us: u64) {
        self.buckets[bucket(us)] += 1;
        self.count += 1;
        if self.count >= FADE {
            self.buckets.iter_mut().for_each(|count| *count /= 2);
            self.count = self.buckets.iter().sum();
        }
    }

    /// A quantile, between 0 and 1, if there are at least `least` samples.
    pub fn quantile(&self, quantile: f64, least: u32) -> Option<u64> {
        if self.count < least.max(1) {
            return None;
        }
        let rank = (f64::from(self.count) * quantile) as u32;
        let mut seen = 0;
        for (i, count) in self.buckets.iter().enumerate() {
            seen += count;
            if seen > rank {
                return Some(upper(i));
            }
        }
        Some(upper(BUCKETS - 1))
    }
}

fn bucket(us: u64) -> usize {
    let place = (us.max(1) as f64).log2() * 4.0;
    (place as usize).min(BUCKETS - 1)
}

fn upper(bucket: usize) -> u64 {
    2f64.powf((bucket + 1) as f64 / 4.0) as u64
}
