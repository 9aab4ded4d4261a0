//! Explains why a unit fits on no VM, by how close the VMs come to accepting it.

use pond_proto::{Size, Unit};

/// Why a unit cannot run on one VM, from the most general reason to the most specific one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The VM's labels do not match the selector.
    Selector,
    /// The VM accepts no new work.
    Closed,
    /// Its data centre is evacuated.
    Evacuated,
    /// The VM runs no unit that the affinity requires.
    Affinity,
    /// The VM runs a unit that the anti-affinity excludes.
    AntiAffinity,
    /// The VM is too small even when it is empty.
    TooSmall,
    /// The free resources of the VM are too small.
    Taken,
}

/// The number of VMs for each reason, with the largest VM and the largest free resources.
#[derive(Debug, Default)]
pub struct Misses {
    counts: [usize; 7],
    largest: Size,
    largest_free: Size,
}

impl Misses {
    /// Counts the reason why one VM cannot run the unit.
    pub fn add(&mut self, reason: Reason, size: Size, free: Size) {
        self.counts[reason as usize] += 1;
        if matches!(reason, Reason::TooSmall | Reason::Taken) {
            self.largest = larger(self.largest, size);
            self.largest_free = larger(self.largest_free, free);
        }
    }

    fn count(&self, reason: Reason) -> usize {
        self.counts[reason as usize]
    }

    /// Explains in one sentence why no VM can run the unit.
    pub fn explain(&self, unit: &Unit) -> String {
        let all: usize = self.counts.iter().sum();
        let matching = all - self.count(Reason::Selector);
        if all == 0 {
            return "no VM is known yet".to_owned();
        }
        if matching == 0 {
            return format!("none of {all} VMs matches the selector {}", unit.selector);
        }
        let evacuated = self.count(Reason::Evacuated);
        let open = matching - self.count(Reason::Closed) - evacuated;
        let mut text = format!("{matching} of {all} VMs match the selector");
        if evacuated > 0 {
            text.push_str(&format!(", {evacuated} of them stand in evacuated data centres"));
        }
        if open == 0 {
            text.push_str(", none of them takes new work now");
            return text;
        }
        if open < matching {
            text.push_str(&format!(", {open} of them take new work"));
        }
        text.push_str(&self.explain_open(unit));
        text
    }

    fn explain_open(&self, unit: &Unit) -> String {
        let mut parts = Vec::new();
        if self.count(Reason::Affinity) > 0 {
            let count = self.count(Reason::Affinity);
            parts.push(format!("{count} hold no unit that the affinity asks for"));
        }
        if self.count(Reason::AntiAffinity) > 0 {
            let count = self.count(Reason::AntiAffinity);
            parts.push(format!("{count} hold a unit that the anti-affinity excludes"));
        }
        if self.count(Reason::Taken) > 0 {
            let lack = lack(unit.size, self.largest_free, "free");
            parts.push(format!("{} are too full: {lack}", self.count(Reason::Taken)));
        } else if self.count(Reason::TooSmall) > 0 {
            let lack = lack(unit.size, self.largest, "there");
            parts.push(format!("{} are too small: {lack}", self.count(Reason::TooSmall)));
        }
        parts.iter().map(|part| format!(", {part}")).collect()
    }
}

fn larger(a: Size, b: Size) -> Size {
    Size {
        milli_cpu: a.milli_cpu.max(b.milli_cpu),
        memory_mib: a.memory_mib.max(b.memory_mib),
        accelerators: a.accelerators.max(b.accelerators),
    }
}

/// Describes which resources are lacking, with the largest amount that one VM has.
fn lack(need: Size, largest: Size, word: &str) -> String {
    let mut parts = Vec::new();
    if need.accelerators > largest.accelerators {
        let (n, l) = (need.accelerators, largest.accelerators);
        parts.push(format!("none has {n} accelerators {word}, the largest has {l}"));
    }
    if need.milli_cpu > largest.milli_cpu {
        let (n, l) = (f64::from(need.milli_cpu) / 1e3, f64::from(largest.milli_cpu) / 1e3);
        parts.push(format!("none has {n} processors {word}, the largest has {l}"));
    }
    if need.memory_mib > largest.memory_mib {
        let (n, l) = (need.memory_mib, largest.memory_mib);
        parts.push(format!("none has {n} MiB {word}, the largest has {l}"));
    }
    if parts.is_empty() {
        return format!("none has {need} {word} together");
    }
    parts.join("; ")
}
