//! The liveness and the leases of VMs.

use pond_platform::Lease;
use pond_proto::Millis;
use pond_state::{Change, End, Liveness, State, VmRecord};

use super::super::steps::{Call, Step, Times};
use super::Reconciler;

impl Reconciler {
    /// Proposes a new liveness for a VM if it has changed.
    pub(super) fn judge(&mut self, record: &VmRecord, now: Millis, wall: Millis) {
        let times = self.times;
        let listed = self.listed.as_ref().map(|names| names.contains(&record.vm.name));
        let contact = self.contact(record.key);
        let fresh = contact.answered_within(now, times.renew_ms * 3);
        let missing_long =
            contact.missing_since.is_some_and(|since| now.since(since) > times.missing_ms);
        let expired = now >= contact.leases_expire_at && !fresh;
        let (liveness, why) = match listed {
            // Liveness is unknown before the first list and the first answers.
            None => return,
            Some(_)
                if contact.last_answer.is_none()
                    && now.since(self.started_at) < times.renew_ms * 3 =>
            {
                return;
            }
            Some(true) if fresh => (Liveness::Live, "listed, and its worker answers"),
            Some(true) => (Liveness::Suspect, "listed, but its worker does not answer"),
            Some(false) if expired => (Liveness::Gone, "not listed, and its leases are over"),
            Some(false) if missing_long => (Liveness::Leaving, "missing from the list for long"),
            Some(false) => (Liveness::Suspect, "missing from the list"),
        };
        if record.liveness != liveness && self.pending_judgements.insert(record.key) {
            let change = Change::Judged { at: wall, vm: record.key, liveness, why: why.to_owned() };
            self.steps.push(Step::Propose(change));
        }
    }

    /// Ends the tasks of a VM whose leases have certainly expired without an answer.
    pub(super) fn end_expired_tasks(
        &mut self,
        state: &State,
        record: &VmRecord,
        now: Millis,
        wall: Millis,
    ) {
        let renew_ms = self.times.renew_ms;
        let contact = self.contact(record.key);
        if now < contact.leases_expire_at
            || contact.answered_within(now, renew_ms * 3)
            || contact.lease_call_pending
        {
            return;
        }
        for task in state.tasks_on(record.key) {
            self.end(state, wall, task.key, End::Lost);
        }
    }

    pub(super) fn renew(&mut self, state: &State, record: &VmRecord, now: Millis) {
        let Times { lease_ms, renew_ms, lease_expiry_ms, .. } = self.times;
        let term = self.term;
        let contact = self.contact(record.key);
        let due = contact.last_lease_call.is_none_or(|called_at| now.since(called_at) >= renew_ms);
        // The first call has no stamp; no task can start before it is answered.
        if contact.lease_call_pending || !due {
            return;
        }
        contact.last_lease_call = Some(now);
        contact.lease_call_pending = true;
        contact.extend_leases(lease_expiry_ms);
        let stamp = contact.stamp.map(|(stamp, _)| stamp);
        let tasks = state.tasks_on(record.key).map(|task| task.key).collect();
        let call = Call::Lease(Lease { term, stamp, lease_ms, tasks });
        self.call(record, call);
        if stamp.is_some() {
            self.call(record, Call::Usage);
        }
    }
}
