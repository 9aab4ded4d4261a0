//! Interface to a worker.

use std::future::Future;
use std::pin::Pin;

use pond_proto::Span;
use pond_proto::fleet::{EndRow, RunRow};
use pond_proto::job::RunName;

/// A call from the agent to its worker.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Starts a run. Has no effect on a run that is already there.
    Start {
        /// The run.
        run: RunName,
        /// The job's text.
        text: String,
        /// The checkpoint to resume from. Empty for none.
        checkpoint: String,
        /// The adviser's ticket. Empty for none.
        ticket: String,
        /// End of the lease for everything at the worker, on the worker's clock in milliseconds.
        lease_end_ms: u64,
    },
    /// Stops a run. The worker refuses later starts of a run that is not there yet.
    Stop {
        /// The run.
        run: RunName,
    },
    /// Lists runs and ends, and extends the lease.
    List {
        /// New end of the lease for everything at the worker, on its clock in milliseconds. Zero
        /// leaves the lease unchanged.
        lease_end_ms: u64,
        /// The worker may forget ends up to this number.
        committed: u64,
        /// How long the worker may wait for an end before it answers, in milliseconds.
        wait_ms: Span,
    },
    /// Slows a run down.
    Pace {
        /// The run.
        run: RunName,
        /// Its share of full speed, in percent.
        percent: u32,
    },
}

/// How long an answer may take in addition to the requested wait, in milliseconds. Agent and worker
/// run on the same machine, and a healthy worker answers within a few milliseconds.
const ANSWER_TIMEOUT_MS: Span = 800;

impl Call {
    /// Returns the time after which the call counts as unanswered, in milliseconds.
    pub fn timeout_ms(&self) -> Span {
        match self {
            Call::List { wait_ms, .. } => wait_ms + ANSWER_TIMEOUT_MS,
            _ => ANSWER_TIMEOUT_MS,
        }
    }
}

/// Why a worker refused a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The fencing token is lower than one that the worker has seen.
    Fenced,
    /// The run's number is not higher than that of a run of the task that has ended there.
    Old,
    /// The lease has already expired.
    Late,
    /// The worker lacks capacity.
    NoRoom,
    /// The worker requires another ticket.
    NoTicket,
    /// The worker is unhealthy and has done nothing.
    Unwell,
    /// The worker does not understand the call, or has another reason.
    Other,
}

/// Result of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The call was carried out.
    Done,
    /// The worker's lists.
    Listed {
        /// The runs at the worker.
        runs: Vec<RunRow>,
        /// The ends that the worker has not forgotten.
        ends: Vec<EndRow>,
    },
    /// The call was refused.
    Refused(Refusal),
    /// A different worker answered and did nothing. The intended incarnation has ended.
    OtherLife,
    /// A later incarnation of the same worker answered, so the intended one has ended. The later
    /// one may have carried out calls that were meant for the earlier one.
    Restarted,
    /// There was no answer. The call may have been carried out, or may still be.
    Unknown,
    /// The call did not reach the worker: nothing accepts connections at its address. A call that
    /// was not sent for another reason is [`Reply::Unknown`].
    NotSent,
}

/// A worker's answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The worker's clock in milliseconds, if the answer contains it.
    pub clock_ms: Option<u64>,
    /// Result of the call.
    pub reply: Reply,
}

/// Makes calls to a worker.
pub trait Worker: Send + Sync + 'static {
    /// Makes one call to the given incarnation of the worker at `address`, with a fencing token.
    fn call(
        &self,
        address: &str,
        incarnation: &str,
        token: u64,
        call: Call,
    ) -> Pin<Box<dyn Future<Output = Answer> + Send + '_>>;
}
