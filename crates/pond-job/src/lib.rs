//! Jobs of several steps: the replicated state and the decisions of the leader, as pure cores.
//!
//! [`State`] applies [`Change`]s, the same on every replica. [`Leader`] exists only where a replica
//! leads; it is given the state, the time and the reports of agents, and hands out changes to
//! propose and orders to send.

mod change;
mod configuration;
mod job;
mod lead;
mod lesson;
mod state;
mod suspicion;

pub use change::{Change, End, Reply, Start};
pub use configuration::{Advice, Configuration, Invalid, Limits, Pool, Queue};
pub use job::{Job, Task};
pub use lead::{
    Decision, Leader, LossKind, Obstacle, Obstacles, Output, Permit, Question, StepName, Timing,
};
pub use lesson::Lesson;
pub use state::State;
pub use suspicion::{BLAMED_MS, Blame, SURVIVED_MS, Suspicion, Verdict};
