//! Work of the recent jobs of each queue, of which the widest tenth decides how much is left for
//! wide jobs.

use std::collections::VecDeque;

use crate::configuration::QueueKey;
use crate::queue_map::QueueMap;

/// Number of jobs that count as recent; the widest tenth are ten.
const RECENT_JOBS: usize = 100;

/// Work of recent jobs by queue.
#[derive(Clone, Debug, Default)]
pub struct Widths {
    queues: QueueMap<VecDeque<f64>>,
}

impl Widths {
    /// Records the work of an arrived job.
    pub fn record(&mut self, queue: QueueKey<'_>, work: f64) {
        let recent = self.queues.entry(queue);
        if recent.len() >= RECENT_JOBS {
            recent.pop_front();
        }
        recent.push_back(work);
    }

    /// Returns the mean work of the widest tenth of the recent jobs of a queue that have at most
    /// `limit`. Reserving for jobs above it would be in vain: not even alone are they in time.
    pub fn widest_tenth(&self, queue: QueueKey<'_>, limit: f64) -> f64 {
        let recent = self.queues.get(queue).into_iter().flatten();
        let mut recent: Vec<f64> = recent.copied().filter(|work| *work <= limit).collect();
        recent.sort_by(|a, b| b.total_cmp(a));
        let count = recent.len().div_ceil(10);
        if count == 0 { 0.0 } else { recent[..count].iter().sum::<f64>() / count as f64 }
    }
}
