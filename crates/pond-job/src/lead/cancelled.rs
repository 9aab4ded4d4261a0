//! Retention of ids that were cancelled while no job had them.

use std::collections::VecDeque;

use pond_proto::{Millis, Span};

use crate::state::State;

/// Maximum number of ids that one change removes, to keep log entries small.
const MAX_FORGOTTEN: usize = 4_096;

/// The cancelled ids, each with the time at which this replica learned of it, oldest first.
#[derive(Debug, Default)]
pub(super) struct Cancelled {
    ids: VecDeque<(Millis, u64)>,
    /// Whether the ids from before this replica led are contained.
    complete: bool,
}

impl Cancelled {
    /// Records a cancellation that was applied.
    pub fn record(&mut self, now: Millis, id: u64) {
        self.ids.push_back((now, id));
    }

    /// Returns ids whose retention period is over. An id that was kept before this replica led is retained for as long
    /// again.
    pub fn expired(&mut self, state: &State, now: Millis, retention_ms: Span) -> Vec<u64> {
        if !std::mem::replace(&mut self.complete, true) {
            self.ids = state.cancelled_ids().map(|id| (now, id)).collect();
        }
        let mut expired = Vec::new();
        while expired.len() < MAX_FORGOTTEN
            && let Some((_, id)) = self.ids.pop_front_if(|(at, _)| now.since(*at) > retention_ms)
        {
            if state.is_cancelled(id) {
                expired.push(id);
            }
        }
        // If the proposal is lost, it is made again after another retention period.
        self.ids.extend(expired.iter().map(|id| (now, *id)));
        expired
    }
}
