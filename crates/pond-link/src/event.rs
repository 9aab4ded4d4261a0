//! What the owner of links is told.

use std::net::SocketAddr;

use pond_proto::wire::{Body, Hello};
use tokio::sync::mpsc;

use crate::Error;

/// Names one link of a process. A dialled link keeps its key when it is made again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkKey(pub u64);

impl LinkKey {
    /// Keys of accepted links start here, so that dialled ones can be numbered from zero.
    pub(crate) const FIRST_ACCEPTED: u64 = 1 << 32;

    /// Whether the other end dialled.
    pub fn is_accepted(self) -> bool {
        self.0 >= LinkKey::FIRST_ACCEPTED
    }
}

/// Something happened on a link.
#[derive(Debug)]
pub struct Event {
    /// Which link.
    pub link: LinkKey,
    /// What happened.
    pub kind: EventKind,
}

/// What happened on a link.
#[derive(Debug)]
pub enum EventKind {
    /// It is open.
    Up {
        /// The other end's hello.
        hello: Hello,
        /// The other end's address.
        address: SocketAddr,
        /// Where to put frames for it.
        sender: Sender,
    },
    /// A frame came in.
    Frame(Body),
    /// It is lost, or could not be opened; a dialled one is tried again.
    Down(Error),
}

/// Puts frames into the bounded queue of one open link.
#[derive(Clone, Debug)]
pub struct Sender {
    queue: mpsc::Sender<Body>,
}

impl Sender {
    pub(crate) fn new(queue: mpsc::Sender<Body>) -> Sender {
        Sender { queue }
    }

    /// Queues a frame; false if the queue is full or the link is lost, and then it is not sent.
    pub fn send(&self, body: Body) -> bool {
        self.queue.try_send(body).is_ok()
    }

    /// Frames that can be queued now.
    pub fn room(&self) -> usize {
        self.queue.capacity()
    }
}
