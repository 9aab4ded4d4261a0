//! Which version of the configuration touched what, so that processes are sent deltas.

use std::collections::{BTreeSet, VecDeque};

use pond_proto::{TaskKey, UnitName};
use serde::{Deserialize, Serialize};

/// How many versions back a delta reaches; a process further behind is sent everything.
const VERSIONS_KEPT: usize = 4096;

/// What one version touched.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Touched {
    version: u64,
    tasks: Vec<TaskKey>,
    units: Vec<UnitName>,
}

/// The version of what entries and endpoint processes are told.
///
/// It only grows. Every accepted order and every change of an endpoint makes a new one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Views {
    version: u64,
    touched: VecDeque<Touched>,
}

/// What changed between two versions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Difference {
    /// Tasks that may have changed.
    pub tasks: BTreeSet<TaskKey>,
    /// Units that may have changed.
    pub units: BTreeSet<UnitName>,
}

impl Views {
    /// The version now.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Makes a new version.
    pub fn touch(&mut self, tasks: Vec<TaskKey>, units: Vec<UnitName>) -> u64 {
        self.version += 1;
        self.touched.push_back(Touched { version: self.version, tasks, units });
        if self.touched.len() > VERSIONS_KEPT {
            self.touched.pop_front();
        }
        self.version
    }

    /// What changed after a version; none if that is too long ago.
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
