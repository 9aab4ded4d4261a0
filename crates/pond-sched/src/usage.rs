//! Estimates, from delayed reports, of the share of their declared size that units of a kind use.

use std::collections::HashMap;

use pond_proto::Size;

use crate::kind::Kind;

/// Weight of a new report in the smoothed mean and deviation.
const SMOOTHING: f64 = 0.05;

/// Number of reports after which an estimate is fully trusted.
const FULL_TRUST_REPORTS: f64 = 20.0;

/// The used share of a declared resource: a smoothed mean and a smoothed absolute deviation.
#[derive(Clone, Copy, Debug)]
struct Share {
    mean: f64,
    deviation: f64,
}

impl Share {
    fn record(&mut self, sample: f64) {
        self.deviation += SMOOTHING * ((sample - self.mean).abs() - self.deviation);
        self.mean += SMOOTHING * (sample - self.mean);
    }

    /// Returns approximately the 95th percentile.
    fn high(&self) -> f64 {
        self.mean + 2.0 * self.deviation
    }
}

#[derive(Clone, Copy, Debug)]
struct Estimate {
    cpu: Share,
    memory: Share,
    reports: f64,
}

/// The usage estimates of all kinds.
#[derive(Debug, Default)]
pub struct Usage {
    kinds: HashMap<Kind, Estimate>,
}

impl Usage {
    /// Updates the estimates with a report on one task.
    pub fn record(&mut self, kind: Kind, declared: Size, milli_cpu: u32, memory_mib: u32) {
        let share = |used: u32, declared: u32| f64::from(used) / f64::from(declared.max(1));
        let cpu = share(milli_cpu, declared.milli_cpu);
        let memory = share(memory_mib, declared.memory_mib);
        let first = |mean| Share { mean, deviation: 0.0 };
        let estimate = self.kinds.entry(kind).or_insert(Estimate {
            cpu: first(cpu),
            memory: first(memory),
            reports: 0.0,
        });
        estimate.cpu.record(cpu);
        estimate.memory.record(memory);
        estimate.reports += 1.0;
    }

    /// Returns a high estimate, about the 95th percentile, of what a task of this kind uses.
    ///
    /// With few reports the estimate is blended with the declared size.
    pub fn expected(&self, kind: Option<Kind>, declared: Size) -> Size {
        let Some(estimate) = kind.and_then(|kind| self.kinds.get(&kind)) else { return declared };
        let trust = (estimate.reports / FULL_TRUST_REPORTS).min(1.0);
        let blend = |share: f64, declared: u32| {
            let factor = 1.0 + trust * (share - 1.0);
            (f64::from(declared) * factor.max(0.0)) as u32
        };
        Size {
            milli_cpu: blend(estimate.cpu.high(), declared.milli_cpu),
            memory_mib: blend(estimate.memory.high(), declared.memory_mib),
            accelerators: declared.accelerators,
        }
    }
}
