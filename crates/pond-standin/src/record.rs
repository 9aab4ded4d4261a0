//! What endpoints ran, for comparison with what callers were told.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

/// What one request body led to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ran {
    /// How often it was started.
    pub started: u32,
    /// How often it came to its end.
    pub finished: u32,
}

/// Counts of runs by the first line of the request's body. Clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct Record {
    runs: Arc<Mutex<BTreeMap<String, Ran>>>,
}

impl Record {
    /// Nothing ran yet.
    pub fn new() -> Record {
        Record::default()
    }

    fn runs(&self) -> MutexGuard<'_, BTreeMap<String, Ran>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A request with that first line was started.
    pub fn start(&self, line: &str) {
        self.runs().entry(line.to_owned()).or_default().started += 1;
    }

    /// A request with that first line came to its end.
    pub fn finish(&self, line: &str) {
        self.runs().entry(line.to_owned()).or_default().finished += 1;
    }

    /// All counts.
    pub fn all(&self) -> BTreeMap<String, Ran> {
        self.runs().clone()
    }

    /// The counts for one first line.
    pub fn get(&self, line: &str) -> Ran {
        self.runs().get(line).copied().unwrap_or_default()
    }

    /// Forgets everything.
    pub fn clear(&self) {
        self.runs().clear();
    }
}
