//! Verifies the outcomes that callers received against the record of what endpoints ran.

use std::collections::BTreeMap;

use serde::Deserialize;

use crate::sample::{Outcome, Sample};

/// Runs of one request, identified by the first line of its body.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct RunCount {
    /// Number of starts.
    pub started: u32,
    /// Number of completed runs.
    pub finished: u32,
}

/// Counts of violated guarantees.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Violations {
    /// Answers that were incomplete or belonged to another request.
    pub wrong: usize,
    /// Requests that ran more than once although they are not repeatable.
    pub doubly_run: usize,
    /// Requests that ran although their callers received the outcome "not run".
    pub not_run_but_ran: usize,
    /// Requests that were answered although no endpoint completed them.
    pub answered_but_not_run: usize,
}

impl Violations {
    /// Returns the total number of violations.
    pub fn sum(&self) -> usize {
        self.wrong + self.doubly_run + self.not_run_but_ran + self.answered_but_not_run
    }
}

/// Verifies samples against the record, in the JSON format of `GET /v1/record`.
///
/// # Errors
/// If the record is not valid JSON of that format.
pub fn check(samples: &[Sample], record: &str) -> Result<Violations, serde_json::Error> {
    let record: BTreeMap<String, RunCount> = serde_json::from_str(record)?;
    let mut violations = Violations::default();
    for sample in samples {
        let runs = record.get(&sample.request.line).copied().unwrap_or_default();
        violations.wrong += usize::from(sample.outcome == Outcome::Wrong);
        violations.doubly_run += usize::from(!sample.request.repeatable && runs.started > 1);
        violations.not_run_but_ran +=
            usize::from(sample.outcome == Outcome::NotRun && runs.started > 0);
        violations.answered_but_not_run +=
            usize::from(sample.outcome == Outcome::Answered && runs.finished == 0);
    }
    Ok(violations)
}
