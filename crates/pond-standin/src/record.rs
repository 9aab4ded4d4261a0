//! Record of the requests that endpoints ran, for comparison with the answers that callers got.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

/// Number of runs of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCount {
    /// Number of starts.
    pub started: u32,
    /// Number of completed runs.
    pub finished: u32,
}

/// Run counts of requests, keyed by the first line of the request body. Clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct Record {
    runs: Arc<Mutex<BTreeMap<String, RunCount>>>,
}

impl Record {
    /// Creates an empty record.
    pub fn new() -> Record {
        Record::default()
    }

    fn runs(&self) -> MutexGuard<'_, BTreeMap<String, RunCount>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the start of a request with the given first line.
    pub fn start(&self, line: &str) {
        self.runs().entry(line.to_owned()).or_default().started += 1;
    }

    /// Records the completion of a request with the given first line.
    pub fn finish(&self, line: &str) {
        self.runs().entry(line.to_owned()).or_default().finished += 1;
    }

    /// Returns all counts.
    pub fn all(&self) -> BTreeMap<String, RunCount> {
        self.runs().clone()
    }

    /// Returns the counts of requests with the given first line.
    pub fn get(&self, line: &str) -> RunCount {
        self.runs().get(line).copied().unwrap_or_default()
    }

    /// Removes all counts.
    pub fn clear(&self) {
        self.runs().clear();
    }
}
