//! Long-running steps for which there is capacity that short tasks are entitled to and do not use.
//!
//! The platform demands that a long-running task is not kept waiting for three seconds while there
//! is capacity for it twice over. Capacity that is free only between two short tasks does not count,
//! so the time without a break matters.

use std::collections::BTreeMap;

use pond_proto::{Millis, Span};

use crate::lead::StepName;
use crate::lead::candidate::Candidate;
use crate::lead::ready::Group;

/// Time for which there must be capacity twice over before a task is placed there, in milliseconds:
/// a second less than the platform tolerates, to leave time for a commit, an order and a start.
const VACANT_MS: Span = 2_000;

/// Number of tasks for which there must be capacity.
const VACANT_TASKS: usize = 2;

/// A shorter break without capacity does not count, in milliseconds: the leader takes a run for
/// placed from the proposal of its start to the commit of its end, the platform only while it runs.
const BREAK_MS: Span = 200;

/// A time during which there was capacity twice over.
#[derive(Clone, Copy, Debug)]
struct Vacancy {
    since: Millis,
    /// When there was last capacity twice over.
    seen_at: Millis,
}

/// Long-running steps for which there is capacity twice over.
#[derive(Debug, Default)]
pub(in crate::lead) struct Vacancies {
    steps: BTreeMap<StepName, Vacancy>,
}

impl Vacancies {
    /// Updates the entries of the long-running groups that wait for the sake of short tasks, and
    /// forgets all others.
    pub fn update<'a>(
        &mut self,
        now: Millis,
        groups: impl Iterator<Item = &'a Group<'a>>,
        candidates: &[Candidate],
    ) {
        let previous = std::mem::take(&mut self.steps);
        for group in groups {
            let step = StepName::from(group.task(0));
            let known = previous.get(&step).filter(|known| now.since(known.seen_at) <= BREAK_MS);
            let vacancy = match is_vacant(group, candidates) {
                true => {
                    let since = known.map_or(now, |known| known.since);
                    Some(Vacancy { since, seen_at: now })
                }
                false => known.copied(),
            };
            self.steps.extend(vacancy.map(|vacancy| (step, vacancy)));
        }
    }

    /// Forgets all entries: no task waits.
    pub fn clear(&mut self) {
        self.steps.clear();
    }

    /// Returns whether the tasks of a group may take capacity that short tasks are entitled to.
    pub fn opens(&self, now: Millis, group: &Group<'_>) -> bool {
        let vacancy = self.steps.get(&StepName::from(group.task(0)));
        vacancy.is_some_and(|vacancy| now.since(vacancy.since) >= VACANT_MS)
    }
}

/// Returns whether there is capacity for two tasks of a group, regardless of reservations.
pub(in crate::lead) fn is_vacant(group: &Group<'_>, candidates: &[Candidate]) -> bool {
    let mut vacant = 0;
    for candidate in candidates {
        vacant += candidate.vacancies(&group.job.pool, group.task(0), group.step, VACANT_TASKS);
        if vacant >= VACANT_TASKS {
            return true;
        }
    }
    false
}
