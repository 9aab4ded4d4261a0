//! Compares what callers were told with what endpoints say they ran.

use std::collections::BTreeMap;

use serde::Deserialize;

use crate::tally::{Ended, Tally};

/// What the record says of one first line.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct Ran {
    /// How often it was started.
    pub started: u32,
    /// How often it came to its end.
    pub finished: u32,
}

/// Counts of broken promises.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Broken {
    /// Answers that were not to the request, or not whole.
    pub wrong: usize,
    /// Requests that are not repeatable and ran twice.
    pub doubly_run: usize,
    /// Requests that ran though their callers were told that they did not.
    pub not_run_but_ran: usize,
    /// Requests that were answered though no endpoint ran them.
    pub answered_but_not_run: usize,
}

impl Broken {
    /// How many in all.
    pub fn sum(&self) -> usize {
        self.wrong + self.doubly_run + self.not_run_but_ran + self.answered_but_not_run
    }
}

/// Compares tallies with the record, as `GET /v1/record` gives it in JSON.
///
/// # Errors
/// If the record is not what it should be.
pub fn check(tallies: &[Tally], record: &str) -> Result<Broken, serde_json::Error> {
    let record: BTreeMap<String, Ran> = serde_json::from_str(record)?;
    let mut broken = Broken::default();
    for tally in tallies {
        let ran = record.get(&tally.asked.line).copied().unwrap_or_default();
        broken.wrong += usize::from(tally.ended == Ended::Wrong);
        broken.doubly_run += usize::from(!tally.asked.repeatable && ran.started > 1);
        broken.not_run_but_ran += usize::from(tally.ended == Ended::NotRun && ran.started > 0);
        broken.answered_but_not_run +=
            usize::from(tally.ended == Ended::Answered && ran.finished == 0);
    }
    Ok(broken)
}
