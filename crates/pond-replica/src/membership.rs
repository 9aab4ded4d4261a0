//! Changes of the members, and what the quorum tolerates with the current ones.

use pond_log::event;
use pond_proto::quorum::Member;
use pond_proto::{Millis, Span};
use pond_quorum::Input;

use crate::formation::MemberChange;
use crate::redundancy::Redundancy;
use crate::removal::Removal;
use crate::replica::Replica;

impl Replica {
    /// Makes the next change of members, as leader.
    pub(crate) fn change_members(&mut self, now: Millis) {
        if !self.core.may_change_members() {
            return;
        }
        let reachable = |address: &str| self.peers.down_since(address).is_none();
        match self.formation.next_change(self.core.members(), reachable) {
            Some(MemberChange::Remove(old)) => {
                event!(self.log, REPLACED, "replica" => old.address.clone());
                self.core.step(now, Input::Remove(old.id));
            }
            Some(MemberChange::RemoveOutdated(outdated)) => {
                self.formation.outdated_removed(outdated.id);
                self.core.step(now, Input::Remove(outdated.id));
            }
            Some(MemberChange::Add(new)) => {
                event!(self.log, MEMBER_ADDED, "replica" => new.address.clone());
                self.core.step(now, Input::Add(new));
            }
            None => self.remove_unreachable(now),
        }
    }

    /// Removes a member that is unreachable and without which the quorum tolerates no fewer losses.
    fn remove_unreachable(&mut self, now: Millis) {
        let unreachable_ms = |member: &Member| self.unreachable_ms(now, member);
        let next = self.removal().next(self.core.members(), unreachable_ms);
        let Some(member) = next else { return };
        event!(self.log, UNREACHABLE_REMOVED, "replica" => member.address.clone(),
            "voter" => member.voter,
            "unreachable_ms" => unreachable_ms(&member).unwrap_or_default());
        self.core.step(now, Input::Remove(member.id));
    }

    fn removal(&self) -> Removal {
        Removal::new(self.settings.tolerated_losses, self.settings.catch_up_ms)
    }

    /// Returns for how long a member has been unreachable, or `None` if there is a link to it.
    fn unreachable_ms(&self, now: Millis, member: &Member) -> Option<Span> {
        match member.id == self.core.id() {
            true => None,
            false => self.peers.down_since(&member.address).map(|since| now.since(since)),
        }
    }

    /// Returns how many losses the quorum tolerates, judged by this replica's links and by the disks with
    /// which other replicas presented themselves.
    pub(crate) fn current_redundancy(&self) -> Redundancy {
        Redundancy::new(self.core.members(), |member| {
            let has_link = self.peers.down_since(&member.address).is_none();
            member.id == self.core.id() || (has_link && !self.formation.has_lost_disk(member))
        })
    }

    /// Updates the metrics of the voters, and logs when the quorum tolerates fewer losses than required and
    /// when it tolerates them again. Only the leader logs, and every replica that reaches no majority.
    pub(crate) fn record_redundancy(&mut self) {
        let redundancy = self.current_redundancy();
        let logs = self.core.ready() || !redundancy.has_majority();
        if self.redundancy.as_ref().is_some_and(|(last, did)| *last == redundancy && *did == logs) {
            return;
        }
        self.metrics.gauge("voters", redundancy.voters().len() as u64);
        self.metrics.gauge("unreachable_voters", redundancy.unreachable().len() as u64);
        self.metrics.gauge("tolerated_losses", redundancy.tolerated_losses() as u64);
        if logs {
            self.log_redundancy(&redundancy);
        }
        self.redundancy = Some((redundancy, logs));
    }

    fn log_redundancy(&self, redundancy: &Redundancy) {
        let tolerated = redundancy.tolerated_losses();
        let required = self.settings.tolerated_losses;
        let voters = redundancy.voters().join(" ");
        let unreachable = redundancy.unreachable().join(" ");
        if redundancy.voters().is_empty() {
            return;
        }
        if !redundancy.has_majority() {
            event!(self.log, MAJORITY_UNREACHABLE, "voters" => voters, "unreachable" => unreachable);
        } else if tolerated < required {
            event!(self.log, REDUNDANCY_REDUCED, "voters" => voters, "unreachable" => unreachable,
                "tolerated" => tolerated, "required" => required);
        } else {
            event!(self.log, REDUNDANCY_RESTORED, "voters" => voters, "unreachable" => unreachable,
                "tolerated" => tolerated, "required" => required);
        }
    }
}
