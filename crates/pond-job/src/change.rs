//! Changes to the replicated state and their outcomes.

use pond_proto::Millis;
use pond_proto::job::{EndReason, Phase, RunName, Spec};
use serde::{Deserialize, Serialize};

use crate::{Blame, Configuration, Estimates, Loss};

/// A change to the replicated state; each is an entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// Replaces the configuration; has no effect unless the version is higher than the current one.
    Configure(Configuration),
    /// Submits a job.
    Submit {
        /// The host that the caller named.
        host: String,
        /// The path that the caller named.
        path: String,
        /// The job's id.
        id: u64,
        /// The job's specification.
        spec: Spec,
        /// When the leader received the job, on its operators' clock.
        at: Millis,
    },
    /// Cancels a job, or keeps its id as cancelled if there is no job yet.
    Cancel {
        /// The host that the caller named.
        host: String,
        /// The path that the caller named.
        path: String,
        /// The job's id.
        id: u64,
    },
    /// Places runs on workers. Only runs that the reply lists as accepted may be ordered.
    Start(Vec<Start>),
    /// Records that runs have ended on a worker.
    Ended {
        /// The worker incarnation.
        worker: String,
        /// The ends in ascending order of their numbers.
        ends: Vec<End>,
        /// Runs that never started on the worker.
        unstarted: Vec<RunName>,
    },
    /// Records that nothing runs on a worker incarnation any more: it has ended, or its lease has expired.
    WorkerLost {
        /// The worker incarnation.
        worker: String,
        /// The runs that are known to have begun there, each with its newest known checkpoint.
        #[serde(rename = "saves")]
        checkpoints: Vec<(RunName, String)>,
        /// Whether the incarnation has ended, so that the worker will not return under this name.
        #[serde(rename = "over")]
        ended: bool,
        /// How the loss counts against the runs that were there. (Entries of earlier versions lack this field.)
        #[serde(default)]
        blame: Vec<Blame>,
        /// What the loss reveals about the tasks that ran there; `None` if nothing. (Entries of earlier versions
        /// lack this field.)
        #[serde(default)]
        evidence: Option<Loss>,
    },

    /// Removes jobs that ended long ago, and ids that were cancelled long ago.
    Forget(Vec<u64>),
    /// Stores the leader's interference estimates for the next leader.
    Learned(Estimates),
    /// Clears the tasks of these runs: their workers have survived them for long enough.
    Cleared(Vec<RunName>),
    /// Evacuates a data centre: nothing more is started in it.
    Evacuate {
        /// The data centre.
        data_centre: String,
        /// When the leader received the order, on its operators' clock.
        at: Millis,
    },
    /// Ends the evacuation of a data centre.
    Readmit {
        /// The data centre.
        data_centre: String,
    },
    /// Withdraws placed runs whose worker is about to be recorded as lost: it, or its next incarnation, may hold a call
    /// to start them. A change of its own, so that replicas of earlier versions still understand the loss.
    Withdrawn {
        /// The agent of the worker.
        agent: String,
        /// The runs.
        runs: Vec<RunName>,
    },
    /// Records that withdrawn runs have ended or will never start.
    Resolved {
        /// The agent of the worker that may have held calls to start them.
        agent: String,
        /// The runs.
        runs: Vec<RunName>,
    },
}

/// The placement of a run on a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// The run.
    pub run: RunName,
    /// The worker incarnation.
    pub worker: String,
    /// The agent of the worker.
    pub agent: String,
}

/// The end of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct End {
    /// Sequence number among the ends of the worker incarnation.
    pub number: u64,
    /// The run.
    pub run: RunName,
    /// How the run ended.
    pub how: EndReason,
    /// The newest checkpoint; empty if there is none.
    #[serde(rename = "save")]
    pub checkpoint: String,
}

/// The outcome of a change.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The change is in force, or was already, as for a job that is submitted again.
    Accepted,
    /// No queue matches the host and path.
    NoQueue,
    /// There is no configuration yet.
    NotConfigured,
    /// There is no such job. If the change cancels it, its id is kept, so that no job runs that is submitted under it
    /// later.
    NoJob,
    /// There is no such job, and its id is not kept because too many are.
    TooManyCancelled,
    /// These runs were accepted.
    Started(Vec<RunName>),
    /// A configuration is in force that changes what the previous one said about accepted jobs.
    Configured {
        /// Number of jobs that have another queue or pool now.
        reassigned: usize,
        /// Jobs that have ended because the configuration leaves them no attempts.
        ended: Vec<(u64, Phase)>,
    },
    /// The change was applied; these jobs have ended.
    Ended(Vec<(u64, Phase)>),
}

impl Reply {
    /// Returns the jobs that have ended by the change.
    pub fn ended(&self) -> &[(u64, Phase)] {
        match self {
            Reply::Ended(ended) | Reply::Configured { ended, .. } => ended,
            _ => &[],
        }
    }
}

impl Change {
    /// Returns the kind as a label for metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Change::Configure(_) => "configure",
            Change::Submit { .. } => "submit",
            Change::Cancel { .. } => "cancel",
            Change::Start(_) => "start",
            Change::Ended { .. } => "ended",
            Change::WorkerLost { .. } => "worker_lost",
            Change::Forget(_) => "forget",
            Change::Learned(_) => "learned",
            Change::Cleared(_) => "cleared",
            Change::Evacuate { .. } => "evacuate",
            Change::Readmit { .. } => "readmit",
            Change::Withdrawn { .. } => "withdrawn",
            Change::Resolved { .. } => "resolved",
        }
    }

    /// Returns the starts of this change that `reply` reports as accepted. Others may be refused because their job
    /// was cancelled in the meantime.
    pub fn started(&self, reply: &Reply) -> Vec<&Start> {
        match (self, reply) {
            (Change::Start(starts), Reply::Started(runs)) => {
                starts.iter().filter(|start| runs.contains(&start.run)).collect()
            }
            _ => Vec::new(),
        }
    }

    /// Encodes the change for the log.
    ///
    /// # Errors
    /// Returns the encoder's message; encoding these types is not expected to fail.
    pub fn encode(&self) -> Result<Vec<u8>, String> {
        rmp_serde::to_vec(self).map_err(|error| error.to_string())
    }

    /// Decodes a change from the log.
    ///
    /// # Errors
    /// Returns the decoder's message if the bytes are malformed.
    pub fn decode(bytes: &[u8]) -> Result<Change, String> {
        rmp_serde::from_slice(bytes).map_err(|error| error.to_string())
    }
}
