//! Evacuated data centres: an operator has ordered that nothing is started in them.
//!
//! Orders carry no number of their own, so the order of the log decides: the newest committed order is in force, and
//! an order that repeats the current state has no effect.

use pond_proto::Millis;

use super::State;
use crate::change::Reply;

impl State {
    /// Returns whether a data centre is evacuated, so that nothing is started in it.
    pub fn is_evacuated(&self, data_centre: &str) -> bool {
        self.evacuated.contains_key(data_centre)
    }

    /// Returns the evacuated data centres, each with the start of its evacuation on the operators' clock.
    pub fn evacuations(&self) -> impl Iterator<Item = (&str, Millis)> + '_ {
        self.evacuated.iter().map(|(data_centre, at)| (data_centre.as_str(), *at))
    }

    pub(super) fn evacuate(&mut self, data_centre: String, at: Millis) -> Reply {
        self.evacuated.entry(data_centre).or_insert(at);
        Reply::Accepted
    }

    pub(super) fn readmit(&mut self, data_centre: &str) -> Reply {
        self.evacuated.remove(data_centre);
        Reply::Accepted
    }
}
