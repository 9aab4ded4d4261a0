//! Data centres in which nothing is started, at the word of an operator.
//!
//! Orders have no number of their own, so the log's order decides: the newest one that is in it is in force,
//! and one that repeats what is in force changes nothing.

use pond_proto::Millis;

use super::State;
use crate::change::Reply;

impl State {
    /// Whether nothing is started in a data centre.
    pub fn is_evacuated(&self, data_centre: &str) -> bool {
        self.evacuated.contains_key(data_centre)
    }

    /// The data centres in which nothing is started, and since when, on the operators' clock.
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
