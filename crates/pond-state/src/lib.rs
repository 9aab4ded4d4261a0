//! The replicated state: VMs, units, tasks, claims, configuration and audit trail.
//!
//! [`State::apply`] is the only way to change it. It is deterministic: the same changes in the
//! same order produce the same bytes on every replica. The time is part of the changes. Every rule
//! that a guarantee depends on is checked here, whatever the scheduler or an operator proposes.

mod change;
mod claims;
mod decision;
mod evacuation;
mod operate;
mod place;
mod reply;
mod state;
mod task;
mod trail;
mod unit;
mod views;
mod vm;

pub use change::{Change, End, Meta, Order, Target};
pub use claims::{Claims, Holder, KeptAnswer};
pub use decision::{Action, Decision};
pub use evacuation::Evacuation;
pub use reply::{Decided, Refusal, Reply};
pub use state::State;
pub use task::{Phase, Task};
pub use trail::Trail;
pub use unit::{Resume, Standing, UnitRecord};
pub use views::Views;
pub use vm::{Liveness, Trust, VmRecord};
