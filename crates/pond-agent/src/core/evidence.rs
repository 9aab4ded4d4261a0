//! What shows that an incarnation of the worker has ended.

/// An observation that shows that an incarnation of the worker has ended, so that none of its runs
/// is running any more. Neither a missing answer nor a registration is one: a worker that hangs
/// keeps its runs, and anyone can register.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// A worker with another ID has answered at its address.
    OtherWorker,
    /// A list from its address is of a later incarnation with the same ID.
    Restarted,
    /// It has deregistered, and nothing accepts connections at its address.
    Left,
    /// A later incarnation has answered a list at its address.
    Successor,
    /// Its lease has expired, nothing accepts connections at its address, and another incarnation
    /// has answered a list at another address.
    Expired,
}
