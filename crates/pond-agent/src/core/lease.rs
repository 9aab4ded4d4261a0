//! The lease that the worker holds.
//!
//! Control grants a lease for as long as the agent may be without it, which is long: leaders change.
//! The worker gets it in shorter parts, each beyond its last known clock, for as long as the agent
//! can renew them. So a worker that falls silent holds a short lease only, and once that has expired
//! its runs can be placed elsewhere, while an agent without control goes on renewing up to the end
//! of the grant.
//!
//! A lease that has expired stays expired until control, which knows of that, grants another one. It
//! does so only once no start from before can be carried out any more: the worker may hold a call
//! to start a run that is placed elsewhere by now, and any lease would let it begin.

use pond_proto::{Millis, Span};

use super::{Core, Observation, Output};
use crate::run::{Phase, Run};

/// Maximum rate by which the worker's clock may run slow, in thousandths.
const CLOCK_DRIFT_PERMILLE: Span = 25;

/// Added before the lease counts as expired, in milliseconds, because timers may fire late.
const EXPIRY_SLACK_MS: Span = 250;

/// A silent worker is first called after this part of an extension. Healthy workers answer before.
const RENEWALS: Span = 3;

/// Time between calls to a silent worker that extend its lease, in milliseconds. Some workers leave
/// single calls unanswered.
const RENEW_RETRY_MS: Span = 400;

/// What the worker may hold of the lease granted by control.
#[derive(Debug, Default)]
pub(super) struct Lease {
    /// End of the grant, on the worker's clock in milliseconds.
    pub granted_ms: u64,
    /// How far beyond its last known clock it is extended at a time, in milliseconds; zero for as
    /// far as the grant goes.
    extension_ms: Span,
    /// The latest end that the worker may hold, on its clock in milliseconds; `None` until control
    /// has granted one. A previous process of this agent may have passed on any former grant, none
    /// of which ends later than the first one that this process receives.
    held_ms: Option<u64>,
    /// When the last call was made to renew it.
    renewed_at: Millis,
    /// Whether it has certainly expired.
    pub lapsed: bool,
    /// Whether the grant has ended because the lease had expired.
    revoked: bool,
    /// How often it has.
    pub lapses: u32,
}

impl Lease {
    /// Records a grant.
    pub fn grant(&mut self, granted_ms: u64, extension_ms: Span) {
        self.granted_ms = granted_ms.max(self.granted_ms);
        self.extension_ms = extension_ms;
        self.held_ms.get_or_insert(self.granted_ms);
        self.revoked = false;
    }

    /// Ends the grant.
    fn revoke(&mut self) {
        self.granted_ms = 0;
        self.revoked = true;
    }

    /// Returns the end to pass on to the worker, whose clock was last read as `clock_ms`.
    fn extend(&mut self, clock_ms: u64) -> u64 {
        let end_ms = match self.extension_ms {
            0 => self.granted_ms,
            extension_ms => self.granted_ms.min(clock_ms + extension_ms),
        };
        self.held_ms = self.held_ms.map(|held_ms| held_ms.max(end_ms));
        end_ms
    }

    /// Returns when the lease has certainly expired if the clock, read as `clock_ms` at `read_at`,
    /// is not read again; `None` if that is not known.
    fn expiry(&self, clock_ms: u64, read_at: Millis) -> Option<Millis> {
        let left_ms = self.held_ms?.saturating_sub(clock_ms);
        let slack_ms = left_ms * CLOCK_DRIFT_PERMILLE / 1_000 + EXPIRY_SLACK_MS;
        let wait_ms = if left_ms > 0 { left_ms + slack_ms } else { 0 };
        (self.extension_ms > 0).then(|| read_at + wait_ms)
    }

    /// Returns when a worker that returned its last list at `listed_at` is called to renew its lease;
    /// `None` if it is not. Registrations show its clock, but renew nothing.
    fn renewal(&self, listed_at: Millis) -> Option<Millis> {
        let due = listed_at + self.extension_ms / RENEWALS;
        (self.extension_ms > 0).then(|| due.max(self.renewed_at + RENEW_RETRY_MS))
    }
}

impl Core {
    /// Returns the end of the lease to pass on to the worker; zero for none. A lease that has expired
    /// is renewed only once the stops of all starts from before are confirmed: the worker would carry
    /// out those that it holds.
    pub(super) fn extend_lease(&mut self) -> u64 {
        let unconfirmed = |run: &Run| run.phase == Phase::Stopping && run.in_flight();
        if self.lease.lapsed && self.runs.values().any(unconfirmed) {
            return 0;
        }
        self.lease.extend(self.clock_ms)
    }

    /// Records a grant. The first one after the lease had expired is passed on at once. Further ones
    /// are not: control grants one with each report, and each list may cause a report.
    pub(super) fn grant_lease(&mut self, granted_ms: u64, extension_ms: Span) {
        let is_first = self.lease.revoked;
        self.lease.grant(granted_ms, extension_ms);
        if is_first && self.may_call() {
            self.request_list(0);
        }
    }

    /// Ends the grant of a former leader if the lease has expired: the next leader is told so, and gives
    /// up the runs that were ordered under that grant.
    pub(super) fn revoke_if_lapsed(&mut self) {
        if self.lease.lapsed {
            self.lease.revoke();
        }
    }

    /// Calls a worker that has returned no list for a while, so that neither a single call without an
    /// answer nor the growing delay between lists ends its lease.
    pub(super) fn renew_if_due(&mut self, now: Millis) {
        if !self.lease.lapsed && self.lease.renewal(self.listed_at).is_some_and(|at| now >= at) {
            self.lease.renewed_at = now;
            self.request_list(0);
        }
    }

    /// Finds out whether the lease of the worker has expired. Starts that the worker has not
    /// confirmed are then withdrawn: control places them elsewhere.
    pub(super) fn check_lapse(&mut self, now: Millis) {
        let expiry = self.lease.expiry(self.clock_ms, self.clock_read_at);
        let lapsed = self.lease.revoked || expiry.is_some_and(|at| now >= at);
        if lapsed == self.lease.lapsed {
            return;
        }
        self.lease.lapsed = lapsed;
        self.report_now = true;
        if lapsed {
            self.lease.lapses += 1;
            self.lease.revoke();
            self.cancel_starts(now);
        }
        let observation = Observation::Lease {
            incarnation: self.incarnation().unwrap_or_default().to_owned(),
            lapsed,
            held_ms: self.lease.held_ms.unwrap_or(0),
            clock_ms: self.clock_ms,
            silent_ms: now.since(self.clock_read_at),
            lapses: self.lease.lapses,
        };
        self.outputs.push(Output::Observed(observation));
    }

    /// Returns when the lease of the worker or its renewal needs attention.
    pub(super) fn lease_due(&self) -> Option<Millis> {
        if self.lease.lapsed {
            return None;
        }
        let expiry = self.lease.expiry(self.clock_ms, self.clock_read_at)?;
        Some(self.lease.renewal(self.listed_at).map_or(expiry, |renewal| expiry.min(renewal)))
    }
}
