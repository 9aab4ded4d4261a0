//! The inputs that other threads send to the deciding thread.

use pond_link::Event;
use pond_proto::Vm;
use pond_proto::operator::Status;
use pond_state::{Meta, Order, Reply, State};
use tokio::sync::oneshot;

use crate::reconcile::CallResult;

/// Maximum number of waiting inputs.
pub const INPUT_CAPACITY: usize = 8192;

/// A function that reads the state, or receives the reason why it cannot be read.
pub type StateReader = Box<dyn FnOnce(Result<&State, NotLeader>) + Send>;

/// An input of the deciding thread.
pub enum Input {
    /// An event on a link.
    Link(Event),
    /// An operator orders a change.
    Order {
        /// The origin of the order.
        meta: Meta,
        /// The order.
        order: Order,
        /// Receives the result.
        reply: oneshot::Sender<Result<Reply, NotLeader>>,
    },
    /// An operator reads the state as of now or later.
    Read {
        /// Reads the state and sends the result.
        read_state: StateReader,
    },
    /// An operator requests the status of this replica, whether or not it leads.
    Status {
        /// Receives the status.
        reply: oneshot::Sender<Status>,
    },
    /// The platform's list was read, or reading it failed.
    Listed(Result<Vec<Vm>, String>),
    /// A call to a worker ended.
    Worker(CallResult),
    /// The process stops as planned.
    Stop,
    /// The process ends at once.
    Kill,
}

/// The error of a replica that cannot answer because it is not the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NotLeader {
    /// The leader's address for operators, if one is known.
    pub leader: Option<String>,
}
