//! An open-loop load tool: arrivals do not wait for answers, latency counts from the intended
//! start, and every answer is verified against the record of what endpoints ran.

mod plan;
mod plot;
mod report;
mod run;
mod sample;
mod verify;

pub use plan::{Plan, Target};
pub use plot::svg;
pub use report::{Quantiles, Report};
pub use run::run;
pub use sample::{Outcome, Request, Sample};
pub use verify::{Violations, check};
