//! The border to a worker.

use std::future::Future;
use std::pin::Pin;

use pond_proto::Span;
use pond_proto::fleet::{EndRow, RunRow};
use pond_proto::job::RunName;

/// What an agent asks of its worker.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Start a run; one that is there already stays as it is.
    Start {
        /// The run.
        run: RunName,
        /// The job's text.
        text: String,
        /// The save to go on from; empty for none.
        checkpoint: String,
        /// The adviser's ticket; empty for none.
        ticket: String,
        /// Everything at the worker may run until then, on its clock in milliseconds.
        lease_end_ms: u64,
    },
    /// Stop a run; one that is not there yet is refused from then on.
    Stop {
        /// The run.
        run: RunName,
    },
    /// List runs and ends, and extend the lease.
    List {
        /// Everything at the worker may run until then; zero to leave it as it is.
        lease_end_ms: u64,
        /// Ends up to this number may be forgotten.
        committed: u64,
        /// Time to wait for an end, in milliseconds.
        wait_ms: Span,
    },
    /// Slow a run down.
    Pace {
        /// The run.
        run: RunName,
        /// Its share of its usual speed, in percent.
        percent: u32,
    },
}

/// How long an answer may take beyond what the worker was asked to wait, in milliseconds. Agent and
/// worker stand on one machine; a worker answers within a few milliseconds unless it is unwell.
const ANSWER_TIMEOUT_MS: Span = 800;

impl Call {
    /// After this time without an answer there will be none, in milliseconds.
    pub fn timeout_ms(&self) -> Span {
        match self {
            Call::List { wait_ms, .. } => wait_ms + ANSWER_TIMEOUT_MS,
            _ => ANSWER_TIMEOUT_MS,
        }
    }
}

/// Why a worker refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The fencing token is lower than one it has seen.
    Fenced,
    /// The run is not above one that ended there.
    Old,
    /// The lease is already over.
    Late,
    /// There is no room.
    NoRoom,
    /// It wants another ticket.
    NoTicket,
    /// It is not well and has done nothing.
    Unwell,
    /// It does not understand the call, or refuses for a reason of its own.
    Other,
}

/// What came of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// It is done.
    Done,
    /// The lists.
    Listed {
        /// What runs.
        runs: Vec<RunRow>,
        /// What has ended and is not forgotten.
        ends: Vec<EndRow>,
    },
    /// It was refused.
    Refused(Refusal),
    /// Another worker answered, and did nothing; the life that was meant is over.
    OtherLife,
    /// A later life of the same worker answered; the one that was meant is over. Calls that were meant for it may have
    /// been carried out by the later one.
    Restarted,
    /// There is no answer; it may have been done, or may still be.
    Unknown,
    /// Nothing of the call reached the worker, as nobody takes calls at its address.
    NotSent,
}

/// A worker's answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The worker's clock, if it told it, in milliseconds.
    pub clock_ms: Option<u64>,
    /// What came of the call.
    pub reply: Reply,
}

/// Calls to a worker.
pub trait Worker: Send + Sync + 'static {
    /// Makes one call to the life of the worker that stands at `address`, with a fencing token.
    fn call(
        &self,
        address: &str,
        incarnation: &str,
        token: u64,
        call: Call,
    ) -> Pin<Box<dyn Future<Output = Answer> + Send + '_>>;
}
