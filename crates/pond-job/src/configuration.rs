//! The operators' configuration: queues, VM pools and limits.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// A complete configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// The version; a configuration is only replaced by one with a higher version.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// The pools of VMs that queues run on.
    pub pools: Vec<Pool>,
    /// Limits of entries.
    pub limits: Limits,
    /// The operator's text that the configuration was parsed from; returned unchanged on request.
    pub source: String,
}

/// A queue that jobs are submitted to.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// The queue's name.
    pub name: String,
    /// The host of callers' requests.
    pub host: String,
    /// Prefix of the path of callers' requests.
    pub prefix: String,
    /// The pool that runs the queue's tasks.
    pub pool: String,
    /// Priority; zero is the highest.
    pub priority: u32,
    /// Number of failed runs of one task after which its job has failed.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Target time of a job, in thousandths of its critical path.
    pub stretch_permille: u64,
    /// Time added to the target time of each job, in milliseconds.
    pub target_ms: u64,
    /// Timeout of a caller's request, in milliseconds.
    pub timeout_ms: u64,
    /// How the adviser decides which workers may run the queue's jobs; `None` if all may.
    pub advice: Option<Advice>,
}

/// What identifies a queue across configurations: names may change, or pass to another queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey<'a> {
    /// The host of callers' requests.
    pub host: &'a str,
    /// Prefix of the path of callers' requests.
    pub prefix: &'a str,
}

impl Queue {
    /// Returns the key of the queue.
    pub fn key(&self) -> QueueKey<'_> {
        QueueKey { host: &self.host, prefix: &self.prefix }
    }
}

/// How long an external adviser takes to decide which workers may run a step, and for how long its answer holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advice {
    /// Time per question, in milliseconds.
    pub decide_ms: u64,
    /// Additional time per worker named in the question, in milliseconds.
    #[serde(rename = "each_ms")]
    pub per_worker_ms: u64,
    /// How long a ticket is valid, in milliseconds.
    pub valid_ms: u64,
}

/// A group of VMs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// The pool's name.
    pub name: String,
    /// Whether the workers refuse runs that do not fit. If not, only the scheduler prevents overload.
    #[serde(rename = "guards")]
    pub admission_check: bool,
    /// Whether the pool's VMs are switched off.
    #[serde(rename = "spare")]
    pub powered_off: bool,
}

/// Limits of entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    #[serde(rename = "body_bytes")]
    pub max_body_bytes: usize,
    /// Timeout for the header of a request, in milliseconds.
    #[serde(rename = "head_ms")]
    pub header_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        // Used until the first configuration arrives, and for limits that it leaves out.
        Limits { max_body_bytes: 256 << 10, header_timeout_ms: 3_000 }
    }
}

/// Why a configuration is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Invalid {
    /// A queue refers to a pool that is not defined.
    #[snafu(display("queue {queue}: there is no pool {pool}; add it or name another"))]
    UnknownPool {
        /// The queue.
        queue: String,
        /// The missing pool.
        pool: String,
    },
    /// Two queues have the same host and prefix.
    #[snafu(display("queue {queue}: another queue has host {host} and prefix {prefix}"))]
    DuplicateTarget {
        /// The queue.
        queue: String,
        /// The host of both.
        host: String,
        /// The prefix of both.
        prefix: String,
    },
    /// The request timeout of a queue is zero.
    #[snafu(display("queue {queue}: the time limit is zero; give at least one millisecond"))]
    ZeroTimeout {
        /// The queue.
        queue: String,
    },
}

impl Configuration {
    /// Checks the references between queues and pools, and the timeouts.
    ///
    /// # Errors
    /// Returns the first problem found.
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

    /// Returns the queue for a request: of the queues with this host, the one with the longest matching prefix.
    pub fn queue_for(&self, host: &str, path: &str) -> Option<&Queue> {
        let matches = |queue: &&Queue| queue.host == host && path.starts_with(&queue.prefix);
        self.queues.iter().filter(matches).max_by_key(|queue| queue.prefix.len())
    }

    /// Returns the queue with a key.
    pub fn queue_at(&self, key: QueueKey<'_>) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.key() == key)
    }

    /// Returns the queue with a name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == name)
    }
}
