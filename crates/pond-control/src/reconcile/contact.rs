//! The leader's record of its contact with one worker.

use pond_platform::Stamp;
use pond_proto::{Millis, Span};

/// The leader's record of its contact with one worker.
#[derive(Clone, Debug)]
pub struct Contact {
    /// The stamp of its last answer, and when that answer arrived.
    pub stamp: Option<(Stamp, Millis)>,
    /// When it last answered.
    pub last_answer: Option<Millis>,
    /// When a lease call was last issued.
    pub last_lease_call: Option<Millis>,
    /// Whether a lease call is pending.
    pub lease_call_pending: bool,
    /// The time at which every lease on this VM has certainly expired.
    pub leases_expire_at: Millis,
    /// Since when the VM is missing from the platform's list.
    pub missing_since: Option<Millis>,
}

impl Contact {
    /// Creates the record of a worker that has not answered yet. An earlier leader may have renewed
    /// its leases until `now`.
    pub fn new(now: Millis, lease_expiry_ms: Span) -> Contact {
        Contact {
            stamp: None,
            last_answer: None,
            last_lease_call: None,
            lease_call_pending: false,
            leases_expire_at: now + lease_expiry_ms,
            missing_since: None,
        }
    }

    /// Records that leases are granted on the current stamp. They count from when the worker sent
    /// the stamp, which was before it arrived here.
    pub fn extend_leases(&mut self, lease_expiry_ms: Span) {
        if let Some((_, came)) = self.stamp {
            self.leases_expire_at = self.leases_expire_at.max(came + lease_expiry_ms);
        }
    }

    /// Records an answer.
    pub fn record_answer(&mut self, now: Millis, stamp: Option<Stamp>) {
        self.last_answer = Some(now);
        if let Some(stamp) = stamp {
            self.stamp = Some((stamp, now));
        }
    }

    /// Returns whether the worker answered within the last `span`.
    pub fn answered_within(&self, now: Millis, span: Span) -> bool {
        self.last_answer.is_some_and(|last_answer| now.since(last_answer) <= span)
    }
}
