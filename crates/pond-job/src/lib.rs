//! Scheduling of multi-step jobs: the replicated state and the leader's decisions, both free of I/O.
//!
//! [`State`] applies [`Change`]s identically on every replica. A [`Leader`] exists only on the replica that leads.
//! From the state, the time and the agents' reports it produces changes to propose and orders to send.

mod change;
mod configuration;
mod estimates;
mod evidence;
mod job;
mod lead;
mod origin;
mod queue_map;
mod state;
mod suspicion;

pub use change::{Change, End, Reply, Start};
pub use configuration::{Advice, Configuration, Invalid, Limits, Pool, Queue, QueueKey};
pub use estimates::Estimates;
pub use evidence::{Evidence, Exposure, Loss};
pub use job::{Job, Task};
pub use lead::{
    Admission, Decision, Explained, Inputs, Leader, Likelihood, LossKind, Obstacle, Obstacles,
    Output, Permit, Posterior, Prospect, Question, Reason, Rejection, ShareFigures, Speeds,
    StepName, Timing, Transition, Weights, Work,
};
pub use origin::Origin;
pub use state::State;
pub use suspicion::{BLAME_WINDOW_MS, Blame, STARTUP_WINDOW_MS, Suspicion, Verdict};
