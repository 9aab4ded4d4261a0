//! Where a job was submitted, which decides the queue that it belongs to.

use serde::{Deserialize, Serialize};

use crate::configuration::{Queue, QueueKey};

/// The host and path that a job was submitted to, and the queue that they belong to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Origin {
    host: String,
    path: String,
    /// Length of the queue's prefix, in bytes. It is kept when the queue is removed.
    prefix_bytes: usize,
}

impl Origin {
    /// Creates the origin of a job in a queue.
    pub fn new(host: &str, path: &str, queue: &Queue) -> Origin {
        Origin { host: host.to_owned(), path: path.to_owned(), prefix_bytes: queue.prefix.len() }
    }

    /// Returns the host that the caller named.
    pub fn host(&self) -> &str {
        &self.host
    }

    /// Returns the path that the caller named.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Assigns the host and path to a queue that matches them.
    pub fn assign(&mut self, queue: &Queue) {
        self.prefix_bytes = queue.prefix.len();
    }

    /// Returns the key of the queue.
    pub fn key(&self) -> QueueKey<'_> {
        let prefix = self.path.get(..self.prefix_bytes).unwrap_or(&self.path);
        QueueKey { host: &self.host, prefix }
    }

    /// Returns the memory that the host and path take, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.host.len() + self.path.len()
    }
}
