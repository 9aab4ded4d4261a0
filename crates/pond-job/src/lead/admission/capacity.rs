//! Capacity of the usable workers, as a plan or a query left it.

use std::collections::BTreeMap;

use pond_proto::Size;
use pond_proto::job::Step;

use crate::lead::candidate::Candidate;

/// Maximum number of labels that are told apart.
const MAX_LABELS: usize = 64;

/// Capacity of one worker.
#[derive(Clone, Copy, Debug)]
struct Place {
    /// All of it. Memory and accelerators count as unlimited.
    total: Size,
    /// What run-to-completion tasks may use.
    room: Size,
    /// What no task occupies.
    free: Size,
    /// Number of tasks that may be started.
    allowance: u64,
    /// Which of the known labels the worker has, one bit for each.
    labels: u64,
}

/// Capacity of the usable workers by pool.
#[derive(Clone, Debug, Default)]
pub struct Capacity {
    pools: BTreeMap<String, Vec<Place>>,
    /// Labels that are told apart.
    labels: Vec<String>,
}

/// Labels that jobs require.
#[derive(Clone, Debug, Default)]
pub struct Labels(Vec<String>);

impl Labels {
    /// Adds the label that a step requires. Beyond the maximum, labels stay unknown.
    pub fn add(&mut self, step: &Step) {
        let label = &step.required_label;
        if !label.is_empty() && self.0.len() < MAX_LABELS && !self.0.contains(label) {
            self.0.push(label.clone());
        }
    }
}

/// Processors in pieces into which a task fits, in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usable {
    /// Of all workers.
    pub capacity: f64,
    /// Of what run-to-completion tasks may use.
    pub room: f64,
    /// Of what no task occupies.
    pub free: f64,
}

impl Usable {
    /// Adds a share of other processors.
    pub fn add(&mut self, other: Usable, share: f64) {
        self.capacity += other.capacity * share;
        self.room += other.room * share;
        self.free += other.free * share;
    }
}

impl Capacity {
    /// Summarizes the candidates of a plan and tells these labels apart. Workers in backoff and
    /// those in evacuated data centres get no tasks.
    pub fn new(candidates: &[Candidate], labels: &Labels) -> Capacity {
        let labels = labels.0.clone();
        let mut capacity = Capacity { labels, ..Capacity::default() };
        let usable = |candidate: &&Candidate| !candidate.in_backoff && !candidate.evacuated;
        for candidate in candidates.iter().filter(usable) {
            let place = Place::new(candidate, &capacity.labels);
            match capacity.pools.get_mut(&candidate.pool) {
                Some(places) => places.push(place),
                None => {
                    capacity.pools.insert(candidate.pool.clone(), vec![place]);
                }
            }
        }
        capacity
    }

    /// Returns the processors of a pool that tasks of a step may use; `None` if the pool has no
    /// usable worker for them, or if it is not known which workers have the required label.
    pub fn usable(&self, pool: &str, step: &Step) -> Option<Usable> {
        let size = step.size();
        let required = match step.required_label.as_str() {
            "" => 0,
            label => 1 << self.labels.iter().position(|known| known == label)?,
        };
        let suitable = |place: &&Place| place.labels & required == required;
        let mut places = self.pools.get(pool)?.iter().filter(suitable).peekable();
        places.peek()?;
        let milli_cpu = f64::from(size.milli_cpu);
        let mut usable = Usable::default();
        for place in places {
            usable.capacity += tasks(place.total, size) as f64 * milli_cpu;
            usable.room += tasks(place.room, size) as f64 * milli_cpu;
            usable.free += tasks(place.free, size).min(place.allowance) as f64 * milli_cpu;
        }
        Some(usable)
    }
}

impl Place {
    fn new(candidate: &Candidate, labels: &[String]) -> Place {
        let unreserved = candidate.unreserved_milli_cpu();
        let finite = candidate.finite_size;
        let not_negative = |milli_cpu: i64| u32::try_from(milli_cpu.max(0)).unwrap_or(u32::MAX);
        let room = candidate.free.plus(finite);
        let room_milli_cpu = not_negative(unreserved + i64::from(finite.milli_cpu));
        let allowance = if candidate.closed() { 0 } else { candidate.finite_allowance as u64 };
        Place {
            total: Size::new(candidate.total_milli_cpu, u32::MAX, u32::MAX),
            room: Size { milli_cpu: room_milli_cpu, ..room },
            free: Size { milli_cpu: not_negative(unreserved), ..candidate.free },
            allowance,
            labels: labels.iter().enumerate().fold(0, |bits, (i, label)| {
                bits | u64::from(candidate.labels.contains(label)) << i
            }),
        }
    }
}

/// Returns how many tasks of a size fit into an amount.
fn tasks(amount: Size, size: Size) -> u64 {
    let fit = |amount: u32, size: u32| amount.checked_div(size).map_or(u64::MAX, u64::from);
    fit(amount.milli_cpu, size.milli_cpu)
        .min(fit(amount.memory_mib, size.memory_mib))
        .min(fit(amount.accelerators, size.accelerators))
}
