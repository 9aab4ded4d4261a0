//! In which order units are placed.

use std::cmp::Reverse;

use pond_proto::{Millis, Size, Span};
use pond_state::{State, UnitRecord};

/// Slack below which a job is raised, as a share of its declared run time.
const TIGHT: u64 = 1;

/// By how much the priority of a job with little slack is raised.
const RAISE: i32 = 50;

/// The order of a unit; smaller goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    priority: Reverse<i32>,
    /// What the team has already of the fleet, in tenths of a percent of its scarcest resource.
    share: u32,
    slack: Span,
    created: Millis,
}

impl Rank {
    /// Higher priority first, raised as a deadline's slack shrinks; then the team that has least of
    /// the fleet; then the least slack; then the oldest.
    pub fn new(state: &State, record: &UnitRecord, fleet: Size, now: Millis) -> Rank {
        let slack = slack(record, now);
        let run_ms = record.unit.job().map_or(0, |job| job.run_ms);
        let tight = slack.is_some_and(|slack| slack <= run_ms * TIGHT);
        let raise = if tight { RAISE } else { 0 };
        Rank {
            priority: Reverse(record.unit.priority + raise),
            share: dominant_share(state.used(&record.unit.team), fleet),
            slack: slack.unwrap_or(Span::MAX),
            created: record.created,
        }
    }
}

/// Time that is left before a job must run without a pause to meet its deadline.
pub fn slack(record: &UnitRecord, now: Millis) -> Option<Span> {
    let job = record.unit.job()?;
    let latest = record.created + job.deadline_ms?;
    let done = record.resume.map_or(0, |resume| resume.checkpoint);
    Some(latest.since(now).saturating_sub(job.run_ms.saturating_sub(done)))
}

/// The largest share that a team has of any resource of the fleet, in thousandths.
fn dominant_share(used: Size, fleet: Size) -> u32 {
    let share = |used: u32, all: u32| match all {
        0 => 0,
        _ => (u64::from(used) * 1000 / u64::from(all)) as u32,
    };
    share(used.milli_cpu, fleet.milli_cpu)
        .max(share(used.memory_mib, fleet.memory_mib))
        .max(share(used.accelerators, fleet.accelerators))
}
