//! What the leader knows of one worker.

use pond_platform::Stamp;
use pond_proto::{Millis, Span};

/// What the leader knows of one worker.
#[derive(Clone, Debug)]
pub struct Contact {
    /// The stamp of its last answer, and when that came.
    pub stamp: Option<(Stamp, Millis)>,
    /// When it last answered.
    pub heard: Option<Millis>,
    /// When a lease call was last handed out.
    pub asked: Option<Millis>,
    /// A lease call is under way.
    pub asking: bool,
    /// Every lease on this VM has surely run out at this time.
    pub over: Millis,
    /// Since when it is missing from the platform's list.
    pub missing: Option<Millis>,
}

impl Contact {
    /// A worker of which nothing is known, but that an earlier leader may have renewed leases on
    /// until now.
    pub fn new(now: Millis, surely_over_ms: Span) -> Contact {
        Contact {
            stamp: None,
            heard: None,
            asked: None,
            asking: false,
            over: now + surely_over_ms,
            missing: None,
        }
    }

    /// Takes note that leases are granted on the stamp that it has. They count from the moment
    /// at which the worker sent it, which was before it came here.
    pub fn grant(&mut self, surely_over_ms: Span) {
        if let Some((_, came)) = self.stamp {
            self.over = self.over.max(came + surely_over_ms);
        }
    }

    /// Takes in an answer.
    pub fn hear(&mut self, now: Millis, stamp: Option<Stamp>) {
        self.heard = Some(now);
        if let Some(stamp) = stamp {
            self.stamp = Some((stamp, now));
        }
    }

    /// Whether it answered within `span`.
    pub fn fresh(&self, now: Millis, span: Span) -> bool {
        self.heard.is_some_and(|heard| now.since(heard) <= span)
    }
}
