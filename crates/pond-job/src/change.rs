//! What changes the replicated state, and what comes of it.

use pond_proto::Millis;
use pond_proto::job::{How, Phase, RunName, Spec};
use serde::{Deserialize, Serialize};

use crate::{Blame, Configuration, Estimates};

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// A new configuration; without effect if its version is not above the one held.
    Configure(Configuration),
    /// A job is handed in.
    Submit {
        /// The host that the caller named.
        host: String,
        /// The path that the caller named.
        path: String,
        /// The job's id.
        id: u64,
        /// What it consists of.
        spec: Spec,
        /// When the leader took it in, on its operators' clock.
        at: Millis,
    },
    /// A job is cancelled.
    Cancel {
        /// The host that the caller named.
        host: String,
        /// The path that the caller named.
        path: String,
        /// The job's id.
        id: u64,
    },
    /// Runs are given to workers. Only runs that are accepted here may be ordered.
    Start(Vec<Start>),
    /// Runs have ended at a worker.
    Ended {
        /// The life of the worker.
        worker: String,
        /// The ends, by their numbers.
        ends: Vec<End>,
        /// Runs that never started there.
        unstarted: Vec<RunName>,
    },
    /// Nothing runs on a life of a worker any more: it is over, or its lease has run out.
    WorkerLost {
        /// The life of the worker.
        worker: String,
        /// What is known to have run there, with its newest known saves.
        #[serde(rename = "saves")]
        checkpoints: Vec<(RunName, String)>,
        /// Whether the worker will not come back under this name.
        #[serde(rename = "over")]
        ended: bool,
        /// How the loss counts against what ran there. (Entries of earlier versions have none.)
        #[serde(default)]
        blame: Vec<Blame>,
    },

    /// Jobs that ended long ago are dropped.
    Forget(Vec<u64>),
    /// What the leader has learned of harm, for the next one.
    Learned(Estimates),
    /// Workers have lived on with these runs for long enough to clear their tasks.
    Cleared(Vec<RunName>),
    /// Nothing more is started in a data centre.
    Evacuate {
        /// The data centre.
        data_centre: String,
        /// When the leader took the order in, on its operators' clock.
        at: Millis,
    },
    /// Work is started in an evacuated data centre again.
    Readmit {
        /// The data centre.
        data_centre: String,
    },
}

/// A run for a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// The run.
    pub run: RunName,
    /// The life of the worker.
    pub worker: String,
    /// The agent beside it.
    pub agent: String,
}

/// The end of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct End {
    /// Counts the ends of this life of the worker.
    pub number: u64,
    /// The run.
    pub run: RunName,
    /// How it ended.
    pub how: How,
    /// The newest save of its progress.
    #[serde(rename = "save")]
    pub checkpoint: String,
}

/// What came of a change.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// It is in force; for a job also if it was there already.
    Accepted,
    /// No queue is at that target.
    NoQueue,
    /// There is no configuration yet.
    NotConfigured,
    /// No such job exists.
    NoJob,
    /// These runs were accepted.
    Started(Vec<RunName>),
    /// The ends were taken in; these jobs ended with it.
    Ended(Vec<(u64, Phase)>),
}

impl Change {
    /// Its kind in one word, for figures.
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
        }
    }

    /// The starts of this change that its reply tells to be in force; a job may have been cancelled
    /// while they were on their way.
    pub fn started(&self, reply: &Reply) -> Vec<&Start> {
        match (self, reply) {
            (Change::Start(starts), Reply::Started(runs)) => {
                starts.iter().filter(|start| runs.contains(&start.run)).collect()
            }
            _ => Vec::new(),
        }
    }

    /// As bytes for the log.
    ///
    /// # Errors
    /// What the encoder says; it has no reason to fail on these types.
    pub fn encode(&self) -> Result<Vec<u8>, String> {
        rmp_serde::to_vec(self).map_err(|error| error.to_string())
    }

    /// From the log's bytes.
    ///
    /// # Errors
    /// What is wrong with them.
    pub fn decode(bytes: &[u8]) -> Result<Change, String> {
        rmp_serde::from_slice(bytes).map_err(|error| error.to_string())
    }
}
