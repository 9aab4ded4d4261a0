//! In which order units are placed.

use pond_proto::{Millis, Span};
use pond_state::UnitRecord;

/// The order of a unit; smaller goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    priority: std::cmp::Reverse<i32>,
    slack: Span,
    created: Millis,
}

/// Slack of units without a deadline.
const NO_DEADLINE: Span = Span::MAX;

impl Rank {
    /// Higher priority first; then services, then the job whose deadline leaves least slack; then
    /// the oldest.
    pub fn new(record: &UnitRecord, now: Millis) -> Rank {
        let slack = match record.unit.job() {
            None => 0,
            Some(job) => job.deadline_ms.map_or(NO_DEADLINE, |deadline| {
                let latest = record.created + deadline;
                latest.since(now).saturating_sub(job.run_ms)
            }),
        };
        let priority = std::cmp::Reverse(record.unit.priority);
        Rank { priority, slack, created: record.created }
    }
}
