//! The operators' configuration: queues, VM pools and limits.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// One whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Only a higher version replaces it.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// The pools of VMs that queues run on.
    pub pools: Vec<Pool>,
    /// Limits of entries.
    pub limits: Limits,
    /// The operator's text that all of this was read from; given back as it came.
    pub source: String,
}

/// Jobs are handed in to a queue.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Its name.
    pub name: String,
    /// Callers name this host.
    pub host: String,
    /// Callers' paths start with this.
    pub prefix: String,
    /// The pool that runs its tasks.
    pub pool: String,
    /// Zero goes first.
    pub priority: u32,
    /// A job has failed when one of its tasks has failed this often.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// A job should be done within this many thousandths of its longest chain of tasks.
    pub stretch_permille: u64,
    /// Time that a job may take on top of that, in milliseconds.
    pub target_ms: u64,
    /// Longest time for a caller's request, in milliseconds.
    pub timeout_ms: u64,
    /// How the adviser decides which workers may run its jobs; none if all may.
    pub advice: Option<Advice>,
}

/// How an outside adviser decides which workers may run a step, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advice {
    /// What a question takes.
    pub decide_ms: u64,
    /// What each worker named in it takes on top.
    #[serde(rename = "each_ms")]
    pub per_worker_ms: u64,
    /// How long a ticket is good for.
    pub valid_ms: u64,
}

/// A group of VMs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Its name.
    pub name: String,
    /// Whether its workers refuse what does not fit. If not, only the scheduler protects them.
    #[serde(rename = "guards")]
    pub admission_check: bool,
    /// Whether its VMs are switched off.
    #[serde(rename = "spare")]
    pub powered_off: bool,
}

/// Limits of entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest body of a request, in bytes.
    #[serde(rename = "body_bytes")]
    pub max_body_bytes: usize,
    /// Time for the head of a request, in milliseconds.
    #[serde(rename = "head_ms")]
    pub header_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        // Used until the first configuration is there, and where it says nothing.
        Limits { max_body_bytes: 256 << 10, header_timeout_ms: 3_000 }
    }
}

/// Why a configuration is refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Invalid {
    /// A queue names a pool that is not there.
    #[snafu(display("queue {queue}: there is no pool {pool}; add it or name another"))]
    UnknownPool {
        /// The queue.
        queue: String,
        /// The missing pool.
        pool: String,
    },
    /// Two queues cannot be told apart.
    #[snafu(display("queue {queue}: another queue has host {host} and prefix {prefix}"))]
    DuplicateTarget {
        /// The queue.
        queue: String,
        /// The host of both.
        host: String,
        /// The prefix of both.
        prefix: String,
    },
    /// A request would have no time at all.
    #[snafu(display("queue {queue}: the time limit is zero; give at least one millisecond"))]
    ZeroTimeout {
        /// The queue.
        queue: String,
    },
}

impl Configuration {
    /// Checks what one queue or pool alone cannot tell.
    ///
    /// # Errors
    /// The first thing that is wrong.
    pub fn check(&self) -> Result<(), Invalid> {
        let pools: BTreeSet<&str> = self.pools.iter().map(|pool| pool.name.as_str()).collect();
        let mut targets = BTreeSet::new();
        for queue in &self.queues {
            let name = queue.name.clone();
            if !pools.contains(queue.pool.as_str()) {
                return Err(Invalid::UnknownPool { queue: name, pool: queue.pool.clone() });
            }
            let (host, prefix) = (queue.host.clone(), queue.prefix.clone());
            if !targets.insert((host.clone(), prefix.clone())) {
                return Err(Invalid::DuplicateTarget { queue: name, host, prefix });
            }
            if queue.timeout_ms == 0 {
                return Err(Invalid::ZeroTimeout { queue: name });
            }
        }
        Ok(())
    }

    /// The queue for a request: the host's, with the longest prefix that starts the path.
    pub fn queue_for(&self, host: &str, path: &str) -> Option<&Queue> {
        let fits = |queue: &&Queue| queue.host == host && path.starts_with(&queue.prefix);
        self.queues.iter().filter(fits).max_by_key(|queue| queue.prefix.len())
    }

    /// The queue of that name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == name)
    }
}
