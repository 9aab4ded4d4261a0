//! The tasks and units that each recent version of the configuration touched, from which deltas for
//! processes are computed.

use std::collections::{BTreeSet, VecDeque};

use pond_proto::{TaskKey, UnitName};
use serde::{Deserialize, Serialize};

/// Number of versions that a delta can cover; a process further behind gets the complete
/// configuration.
const MAX_VERSIONS: usize = 4096;

/// The tasks and units that one version touched.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Touched {
    version: u64,
    tasks: Vec<TaskKey>,
    units: Vec<UnitName>,
}

/// The version of the configuration that is sent to entries and endpoint processes.
///
/// It only grows. Every accepted order and every change of an endpoint starts a new version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Views {
    version: u64,
    touched: VecDeque<Touched>,
}

/// The difference between two versions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Difference {
    /// Tasks that may have changed.
    pub tasks: BTreeSet<TaskKey>,
    /// Units that may have changed.
    pub units: BTreeSet<UnitName>,
}

impl Views {
    /// Returns the current version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Starts a new version and returns it.
    pub fn touch(&mut self, tasks: Vec<TaskKey>, units: Vec<UnitName>) -> u64 {
        self.version += 1;
        self.touched.push_back(Touched { version: self.version, tasks, units });
        if self.touched.len() > MAX_VERSIONS {
            self.touched.pop_front();
        }
        self.version
    }

    /// Returns the changes after a version, or `None` if it is too old.
    pub fn since(&self, version: u64) -> Option<Difference> {
        let oldest = self.touched.front().map_or(self.version + 1, |touched| touched.version);
        if version + 1 < oldest || version > self.version {
            return None;
        }
        let mut difference = Difference::default();
        let first = self.touched.partition_point(|touched| touched.version <= version);
        for touched in self.touched.range(first..) {
            difference.tasks.extend(touched.tasks.iter().copied());
            difference.units.extend(touched.units.iter().cloned());
        }
        Some(difference)
    }
}
