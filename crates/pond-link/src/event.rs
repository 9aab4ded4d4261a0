//! Events of links, as reported to their owner.

use std::net::SocketAddr;

use pond_proto::wire::{Body, Hello};
use tokio::sync::mpsc;

use crate::Error;

/// Identifies a link within its process. A dialled link keeps its key when it reconnects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkKey(pub u64);

impl LinkKey {
    /// Smallest key of an accepted link; the keys of dialled links count up from zero.
    pub(crate) const FIRST_ACCEPTED: u64 = 1 << 32;

    /// Returns whether the link was accepted, that is, dialled by the peer.
    pub fn is_accepted(self) -> bool {
        self.0 >= LinkKey::FIRST_ACCEPTED
    }
}

/// An event of a link.
#[derive(Debug)]
pub struct Event {
    /// Link that the event belongs to.
    pub link: LinkKey,
    /// Kind of the event.
    pub kind: EventKind,
}

/// Kind of a link event.
#[derive(Debug)]
pub enum EventKind {
    /// The link is open.
    Up {
        /// Hello of the peer.
        hello: Hello,
        /// Network address of the peer.
        address: SocketAddr,
        /// Sender of frames to the peer. The link is closed when all its clones are dropped.
        sender: Sender,
    },
    /// A frame was received.
    Frame(Body),
    /// The link was lost or could not be opened. A dialled link is dialled again.
    Down(Error),
}

/// Sender of frames on an open link, through a bounded queue.
#[derive(Clone, Debug)]
pub struct Sender {
    queue: mpsc::Sender<Body>,
}

impl Sender {
    pub(crate) fn new(queue: mpsc::Sender<Body>) -> Sender {
        Sender { queue }
    }

    /// Queues a frame. If the queue is full or the link is lost, drops the frame and returns false.
    pub fn send(&self, body: Body) -> bool {
        self.queue.try_send(body).is_ok()
    }

    /// Returns the number of frames that the queue has space for.
    pub fn available(&self) -> usize {
        self.queue.capacity()
    }
}
