//! What the other threads put into the ring of the deciding thread.

use pond_link::Event;
use pond_proto::Vm;
use pond_proto::operator::Status;
use pond_state::{Meta, Order, Reply, State};
use tokio::sync::oneshot;

use crate::reconcile::Fact;

/// Inputs that may wait.
pub const RING: usize = 8192;

/// Looks at the state, or is told why it cannot.
pub type Look = Box<dyn FnOnce(Result<&State, Unready>) + Send>;

/// Something for the deciding thread.
pub enum Input {
    /// Something happened on a link.
    Link(Event),
    /// An operator orders a change.
    Order {
        /// Who and when.
        meta: Meta,
        /// What.
        order: Order,
        /// Where the result goes.
        reply: oneshot::Sender<Result<Reply, Unready>>,
    },
    /// An operator reads the state as it is now or later.
    Read {
        /// Looks at the state and sends what it finds.
        look: Look,
    },
    /// An operator asks for the status of this replica, whoever leads.
    Status {
        /// Where it goes.
        reply: oneshot::Sender<Status>,
    },
    /// The platform's list was read, or not.
    Listed(Result<Vec<Vm>, String>),
    /// A call to a worker ended.
    Worker(Fact),
    /// The process stops as planned.
    Stop,
    /// The process ends at once.
    Kill,
}

/// Why a replica cannot answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unready {
    /// The leader's address for operators, if one is known.
    pub leader: Option<String>,
}
