//! Formation of a quorum, and changes of its members.
//!
//! The replicas at the initial addresses form the quorum, once, and only if all of them are new. The
//! leader adds every other replica when it presents itself. A replica that returns with another disk
//! is a new member; the member with the previous disk is removed first.

use std::collections::{BTreeMap, BTreeSet};

use pond_proto::quorum::{Announce, Member, Members};

/// What this replica knows about the others.
#[derive(Debug)]
pub struct Formation {
    own: Member,
    /// Addresses of the replicas that form the quorum; empty if this is not the first start.
    initial: Vec<String>,
    formed: bool,
    present: BTreeMap<String, Announce>,
    /// Identities of members whose disks were restored to an older state.
    outdated: BTreeSet<u64>,
}

impl Formation {
    /// `formed` says whether the disk of this replica holds a log. `initial` are the addresses of the
    /// replicas that form the quorum; it is empty except on the first start.
    pub fn new(own: Member, initial: Vec<String>, formed: bool) -> Formation {
        Formation { own, initial, formed, present: BTreeMap::new(), outdated: BTreeSet::new() }
    }

    /// Returns the message with which this replica presents itself. `last_index` is the index of its
    /// last log entry.
    pub fn present(&self, last_index: u64) -> Announce {
        Announce { member: self.own.clone(), formed: self.formed, last_index }
    }

    /// Whether this replica has a log that names members.
    pub fn formed(&self) -> bool {
        self.formed
    }

    /// Whether this replica may vote. One that has no log and was not there at the first start may not: it may
    /// have lost a disk that was there, and a vote of an empty disk could found a second quorum.
    pub fn may_vote(&self) -> bool {
        self.formed || self.initial.contains(&self.own.address)
    }

    /// Records that this replica has a log that names members.
    pub fn set_formed(&mut self) {
        self.formed = true;
    }

    /// Records that another replica has presented itself.
    pub fn record(&mut self, present: Announce) {
        self.present.insert(present.member.address.clone(), present);
    }

    /// Records that the disk of a member was restored to an older state, so that it must be removed.
    pub fn record_outdated(&mut self, id: u64) {
        self.outdated.insert(id);
    }

    /// Handles that the removal of a member with an outdated disk was proposed. It may be added again later.
    pub fn outdated_removed(&mut self, id: u64) {
        self.outdated.remove(&id);
    }

    /// Handles the loss of leadership. Only a leader knows which entries others have acknowledged.
    pub fn leadership_lost(&mut self) {
        self.outdated.clear();
    }

    /// Returns the initial members, once all replicas that form the quorum have presented themselves and
    /// are new.
    pub fn initial_members(&self) -> Option<Members> {
        if self.formed || !self.initial.contains(&self.own.address) {
            return None;
        }
        let mut list = vec![Member { voter: true, ..self.own.clone() }];
        for address in self.initial.iter().filter(|address| **address != self.own.address) {
            let other = self.present.get(address).filter(|other| !other.formed)?;
            list.push(Member { voter: true, ..other.member.clone() });
        }
        Some(Members::new(list))
    }

    /// Returns the next change of members that a leader should make. A member with an outdated disk is
    /// removed. A replica that returned with
    /// another disk is removed, then added; one that is not a member is added. A replica is added only
    /// once this one can reach it, which may be some time after it has presented itself.
    pub fn next_change(
        &self,
        members: &Members,
        reachable: impl Fn(&str) -> bool,
    ) -> Option<MemberChange> {
        let outdated = members.list.iter().find(|member| self.outdated.contains(&member.id));
        if let Some(outdated) = outdated {
            return Some(MemberChange::RemoveOutdated(outdated.clone()));
        }
        for present in self.present.values() {
            let new = &present.member;
            if members.get(new.id).is_some() {
                continue;
            }
            let old = members.list.iter().find(|member| member.address == new.address);
            match old {
                Some(old) => return Some(MemberChange::Remove(old.clone())),
                None if reachable(&new.address) => return Some(MemberChange::Add(new.clone())),
                None => {}
            }
        }
        None
    }

    /// Whether another disk is in use at the address of a member, so that the member does not return.
    pub fn has_lost_disk(&self, member: &Member) -> bool {
        self.present.get(&member.address).is_some_and(|present| present.member.id != member.id)
    }

    /// Handles the loss of the link on which a replica presented itself. Its information may be out of
    /// date, so it replaces no member until it presents itself again.
    pub fn link_lost(&mut self, address: &str, id: u64) {
        if self.present.get(address).is_some_and(|present| present.member.id == id) {
            self.present.remove(address);
        }
    }
}

/// One change of the members.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberChange {
    /// Remove the member with the lost disk.
    Remove(Member),
    /// Remove the member whose disk was restored to an older state.
    RemoveOutdated(Member),
    /// Add the member.
    Add(Member),
}
