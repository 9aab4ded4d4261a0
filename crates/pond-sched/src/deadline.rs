//! Warns early of jobs that will probably miss their deadline.

use std::collections::BTreeSet;

use pond_proto::{Millis, UnitName};
use pond_state::{Action, Change, Decision, State};

use crate::rank::slack;

/// The jobs that a warning was already issued for.
#[derive(Debug, Default)]
pub struct Deadlines {
    warned: BTreeSet<UnitName>,
}

impl Deadlines {
    /// Warns once of each waiting job whose slack is used up, judged by its declared run time.
    pub fn warn(&mut self, state: &State, now: Millis) -> Vec<Change> {
        let mut changes = Vec::new();
        for record in state.incomplete_units().filter(|record| slack(record, now) == Some(0)) {
            let unit = record.unit.name.clone();
            if !self.warned.insert(unit.clone()) {
                continue;
            }
            let why = "it will probably miss its deadline: even if it started now, its declared \
                       run time would not fit";
            let decision = Decision::new(now, Action::Warn, why);
            changes.push(Change::Warn { at: now, unit, decision });
        }
        self.warned.retain(|name| state.unit(name).is_some_and(|record| !record.ended()));
        changes
    }
}
