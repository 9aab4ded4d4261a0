//! What a replica needs for the admission of new jobs: who decides, the decisions that must not be
//! revised, and the names of the metric.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use pond_job::{Admission, Leader, Queue, State};
use pond_log::Metrics;
use pond_proto::job::Spec;
use pond_proto::{Incarnation, Millis, Span};

/// Maximum number of queues with a name of their own in the metric; all others count as
/// [`OTHER_QUEUES`]. Names come and go with configurations, but counters stay.
const MAX_QUEUE_NAMES: usize = 64;

/// Name in the metric of the queues beyond [`MAX_QUEUE_NAMES`].
const OTHER_QUEUES: &str = "other";

/// Number of rejections that are kept: more than a second of them at the peak rate of 1,000 jobs per
/// second, in which frames of a lost link have been read.
const MAX_REJECTIONS: usize = 2_048;

/// Share of the machine's memory for jobs that have not ended, in percent. Snapshots hold them once more, and encode
/// them.
const JOBS_MEMORY_PERCENT: usize = 10;

/// Interval at which the memory of the jobs is summed up, in milliseconds. Jobs accepted since are added.
const COUNT_INTERVAL_MS: Span = 250;

/// Time after which to submit a job again for which there is no memory, in milliseconds: the longest that control names
/// for a rejected job.
pub(crate) const NO_MEMORY_RETRY_MS: Span = 5_000;

/// Memory of the jobs that have not ended.
#[derive(Debug)]
pub(crate) struct JobMemory {
    max_bytes: usize,
    bytes: usize,
    counted_at: Option<Millis>,
}

impl JobMemory {
    /// Creates the account of a machine with this memory.
    pub(crate) fn new(machine_bytes: usize) -> JobMemory {
        let max_bytes = machine_bytes / 100 * JOBS_MEMORY_PERCENT;
        JobMemory { max_bytes, bytes: 0, counted_at: None }
    }

    /// Reserves memory for a new job, in bytes. Returns false if there is none.
    pub(crate) fn reserve(&mut self, now: Millis, state: &State, job_bytes: usize) -> bool {
        if self.counted_at.is_none_or(|at| now.since(at) >= COUNT_INTERVAL_MS) {
            (self.bytes, self.counted_at) = (state.jobs_memory_bytes(), Some(now));
        }
        let needed = self.bytes.saturating_add(job_bytes);
        let fits = needed <= self.max_bytes;
        if fits {
            self.bytes = needed;
        }
        fits
    }
}

/// A new job that a caller submits.
#[derive(Clone, Copy, Debug)]
pub struct Submission<'a> {
    /// The job's id.
    pub id: u64,
    /// The job's specification.
    pub spec: &'a Spec,
    /// The queue that it is submitted to.
    pub queue: &'a Queue,
    /// Time on the leader's monotonic clock.
    pub now: Millis,
    /// Time on the operators' clock.
    pub wall: Millis,
}

/// Decides whether new jobs are accepted.
pub trait Admitter: Send {
    /// Decides about a job that is neither known nor proposed.
    fn admit(
        &mut self,
        leader: &mut Leader,
        state: &State,
        submission: Submission<'_>,
    ) -> Admission;
}

/// Has the leader decide.
pub(crate) struct LeaderAdmitter;

impl Admitter for LeaderAdmitter {
    fn admit(
        &mut self,
        leader: &mut Leader,
        state: &State,
        submission: Submission<'_>,
    ) -> Admission {
        let Submission { id, spec, queue, now, wall } = submission;
        leader.admit(state, now, wall, queue, id, spec)
    }
}

/// A request of an entry: the incarnation of the entry and its ticket.
pub(crate) type RequestKey = (Incarnation, u64);

/// The requests that were rejected recently, with the time after which to retry.
///
/// An entry that loses its link sends its waiting requests again, under the same tickets. The first copy
/// may be read after the second one, from the lost link. If it were judged anew it could be accepted,
/// after the caller was told that its job will not run.
#[derive(Debug, Default)]
pub(crate) struct Rejections {
    retry_after_ms: BTreeMap<RequestKey, Span>,
    order: VecDeque<RequestKey>,
}

impl Rejections {
    /// Returns the time after which to retry if this request was rejected.
    pub(crate) fn get(&self, request: RequestKey) -> Option<Span> {
        self.retry_after_ms.get(&request).copied()
    }

    /// Records the rejection of a request.
    pub(crate) fn insert(&mut self, request: RequestKey, retry_after_ms: Span) {
        if self.order.len() >= MAX_REJECTIONS
            && let Some(oldest) = self.order.pop_front()
        {
            self.retry_after_ms.remove(&oldest);
        }
        if self.retry_after_ms.insert(request, retry_after_ms).is_none() {
            self.order.push_back(request);
        }
    }
}

/// Counts decisions by queue and outcome.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    queues: BTreeSet<String>,
}

impl Counters {
    /// Counts a decision.
    pub(crate) fn count(&mut self, metrics: &Metrics, queue: &str, admission: &Admission) {
        if self.queues.len() < MAX_QUEUE_NAMES && !self.queues.contains(queue) {
            self.queues.insert(queue.to_owned());
        }
        let queue = if self.queues.contains(queue) { queue } else { OTHER_QUEUES };
        let outcome = match admission {
            Admission::Accepted { .. } => "accepted",
            Admission::Rejected(_) => "rejected",
        };
        metrics.count(&format!("admissions{{queue=\"{queue}\",outcome=\"{outcome}\"}}"), 1);
    }
}
