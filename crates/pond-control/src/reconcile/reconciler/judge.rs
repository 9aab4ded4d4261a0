//! The liveness of VMs, and their leases.

use pond_platform::Lease;
use pond_proto::Millis;
use pond_state::{Change, End, Liveness, State, VmRecord};

use super::super::steps::{Call, Step, Times};
use super::Reconciler;

impl Reconciler {
    /// Judges the liveness of a VM anew.
    pub(super) fn judge(&mut self, record: &VmRecord, now: Millis, wall: Millis) {
        let times = self.times;
        let listed = self.listed.as_ref().map(|names| names.contains(&record.vm.name));
        let contact = self.contact(record.key);
        let fresh = contact.fresh(now, times.renew_ms * 3);
        let missing_long = contact.missing.is_some_and(|since| now.since(since) > times.missing_ms);
        let over = now >= contact.over && !fresh;
        let (liveness, why) = match listed {
            // Nothing is known before the first list and the first answers.
            None => return,
            Some(_) if contact.heard.is_none() && now.since(self.began) < times.renew_ms * 3 => {
                return;
            }
            Some(true) if fresh => (Liveness::Live, "listed, and its worker answers"),
            Some(true) => (Liveness::Suspect, "listed, but its worker does not answer"),
            Some(false) if over => (Liveness::Gone, "not listed, and its leases are over"),
            Some(false) if missing_long => (Liveness::Leaving, "missing from the list for long"),
            Some(false) => (Liveness::Suspect, "missing from the list"),
        };
        if record.liveness != liveness && self.judged.insert(record.key) {
            let change = Change::Judged { at: wall, vm: record.key, liveness, why: why.to_owned() };
            self.steps.push(Step::Propose(change));
        }
    }

    /// Gives up the tasks of a VM whose leases have surely run out without an answer.
    pub(super) fn expire(&mut self, state: &State, record: &VmRecord, now: Millis, wall: Millis) {
        let renew_ms = self.times.renew_ms;
        let contact = self.contact(record.key);
        if now < contact.over || contact.fresh(now, renew_ms * 3) || contact.asking {
            return;
        }
        for task in state.tasks_on(record.key) {
            self.end(state, wall, task.key, End::Lost);
        }
    }

    pub(super) fn renew(&mut self, state: &State, record: &VmRecord, now: Millis) {
        let Times { lease_ms, renew_ms, surely_over_ms, .. } = self.times;
        let term = self.term;
        let contact = self.contact(record.key);
        let due = contact.asked.is_none_or(|asked| now.since(asked) >= renew_ms);
        // Without a stamp the first answer is awaited before anything can start.
        if contact.asking || !due {
            return;
        }
        contact.asked = Some(now);
        contact.asking = true;
        contact.grant(surely_over_ms);
        let stamp = contact.stamp.map(|(stamp, _)| stamp);
        let tasks = state.tasks_on(record.key).map(|task| task.key).collect();
        let call = Call::Lease(Lease { term, stamp, lease_ms, tasks });
        self.call(record, call);
        if stamp.is_some() {
            self.call(record, Call::Usage);
        }
    }
}
