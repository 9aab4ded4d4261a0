//! What shows that an incarnation of the worker has ended.

/// An observation that shows that an incarnation of the worker has ended, so that none of its runs
/// is running any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// A worker with another ID has answered at its address.
    OtherWorker,
    /// A list from its address is of a later incarnation with the same ID.
    Restarted,
    /// It has deregistered, and nothing accepts connections at its address.
    Left,
    /// Another incarnation has answered a list.
    Successor,
    /// Neither it nor an incarnation that keeps registering has answered for a while.
    Silence,
}
