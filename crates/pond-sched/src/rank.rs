//! The order in which units are placed.

use std::cmp::Reverse;

use pond_proto::{Millis, Size, Span};
use pond_state::{State, UnitRecord};

/// Multiple of its declared run time at or below which a job's slack raises its priority.
const TIGHT_SLACK: u64 = 1;

/// Amount added to the priority of a job with little slack.
const PRIORITY_BOOST: i32 = 50;

/// The sort key of a unit; the smallest is placed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    priority: Reverse<i32>,
    /// The team's largest share of any resource of the fleet, in thousandths.
    share: u32,
    slack: Span,
    created: Millis,
}

impl Rank {
    /// Computes the rank of a unit: higher priority first, raised when a deadline leaves little
    /// slack; then the team with the smallest share of the fleet; then the least slack; then the
    /// oldest unit.
    pub fn new(state: &State, record: &UnitRecord, fleet: Size, now: Millis) -> Rank {
        let slack = slack(record, now);
        let run_ms = record.unit.job().map_or(0, |job| job.run_ms);
        let tight = slack.is_some_and(|slack| slack <= run_ms * TIGHT_SLACK);
        let boost = if tight { PRIORITY_BOOST } else { 0 };
        Rank {
            priority: Reverse(record.unit.priority + boost),
            share: dominant_share(state.used(&record.unit.team), fleet),
            slack: slack.unwrap_or(Span::MAX),
            created: record.created,
        }
    }
}

/// Returns the time that a job can still wait and meet its deadline, in milliseconds, assuming that
/// it then runs without a pause; `None` if it has no deadline.
pub fn slack(record: &UnitRecord, now: Millis) -> Option<Span> {
    let job = record.unit.job()?;
    let latest = record.created + job.deadline_ms?;
    let done = record.resume.map_or(0, |resume| resume.checkpoint);
    Some(latest.since(now).saturating_sub(job.run_ms.saturating_sub(done)))
}

/// Returns the largest share that a team has of any resource of the fleet, in thousandths.
fn dominant_share(used: Size, fleet: Size) -> u32 {
    let share = |used: u32, all: u32| match all {
        0 => 0,
        _ => (u64::from(used) * 1000 / u64::from(all)) as u32,
    };
    share(used.milli_cpu, fleet.milli_cpu)
        .max(share(used.memory_mib, fleet.memory_mib))
        .max(share(used.accelerators, fleet.accelerators))
}
