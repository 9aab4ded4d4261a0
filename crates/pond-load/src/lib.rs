//! A load tool: a fixed schedule of arrivals, latency from the intended start, and a check of every
//! answer against what endpoints say they ran.

mod plan;
mod plot;
mod report;
mod run;
mod tally;
mod verify;

pub use plan::{Plan, Target};
pub use plot::svg;
pub use report::{Line, Report};
pub use run::run;
pub use tally::{Asked, Ended, Tally};
pub use verify::{Broken, check};
