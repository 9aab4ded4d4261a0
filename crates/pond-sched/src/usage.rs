//! What units of a kind really use of what they declared, from late reports.

use std::collections::HashMap;

use pond_proto::Size;

use crate::kind::Kind;

/// Weight of a new report.
const WEIGHT: f64 = 0.05;

/// Reports after which an estimate counts fully.
const CONFIDENT: f64 = 20.0;

/// Shares of the declared size: a smoothed mean and a smoothed high mark.
#[derive(Clone, Copy, Debug)]
struct Share {
    mean: f64,
    deviation: f64,
}

impl Share {
    fn learn(&mut self, sample: f64) {
        self.deviation += WEIGHT * ((sample - self.mean).abs() - self.deviation);
        self.mean += WEIGHT * (sample - self.mean);
    }

    /// About the 95th percentile.
    fn high(&self) -> f64 {
        self.mean + 2.0 * self.deviation
    }
}

#[derive(Clone, Copy, Debug)]
struct Known {
    cpu: Share,
    memory: Share,
    reports: f64,
}

/// What is known of all kinds.
#[derive(Debug, Default)]
pub struct Usage {
    kinds: HashMap<Kind, Known>,
}

impl Usage {
    /// Takes in a report on one task.
    pub fn learn(&mut self, kind: Kind, declared: Size, milli_cpu: u32, memory_mib: u32) {
        let share = |used: u32, declared: u32| f64::from(used) / f64::from(declared.max(1));
        let cpu = share(milli_cpu, declared.milli_cpu);
        let memory = share(memory_mib, declared.memory_mib);
        let first = |mean| Share { mean, deviation: 0.0 };
        let known = self.kinds.entry(kind).or_insert(Known {
            cpu: first(cpu),
            memory: first(memory),
            reports: 0.0,
        });
        known.cpu.learn(cpu);
        known.memory.learn(memory);
        known.reports += 1.0;
    }

    /// What a task of this kind is expected to use at most, most of the time.
    ///
    /// Few reports count only in part against the declared size.
    pub fn expected(&self, kind: Option<Kind>, declared: Size) -> Size {
        let Some(known) = kind.and_then(|kind| self.kinds.get(&kind)) else { return declared };
        let trust = (known.reports / CONFIDENT).min(1.0);
        let blend = |share: f64, declared: u32| {
            let factor = 1.0 + trust * (share - 1.0);
            (f64::from(declared) * factor.max(0.0)) as u32
        };
        Size {
            milli_cpu: blend(known.cpu.high(), declared.milli_cpu),
            memory_mib: blend(known.memory.high(), declared.memory_mib),
            accelerators: declared.accelerators,
        }
    }
}
