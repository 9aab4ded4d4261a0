//! How a quorum comes to be, and how its members change.
//!
//! The replicas at the initial addresses form it, once, if all of them are new. Every other replica
//! is added by the leader when it presents itself. One that comes back with another disk is another
//! member: the former one is removed initial.

use std::collections::BTreeMap;

use pond_proto::quorum::{Member, Members, Present};

/// What this replica knows of the others.
#[derive(Debug)]
pub struct Formation {
    own: Member,
    /// Addresses of the replicas that form the quorum; empty if this start is not the initial.
    initial: Vec<String>,
    formed: bool,
    present: BTreeMap<String, Present>,
}

impl Formation {
    /// A replica whose disk holds a log if `formed`. `initial` are the addresses of the replicas that
    /// form the quorum, on the first start only.
    pub fn new(own: Member, initial: Vec<String>, formed: bool) -> Formation {
        Formation { own, initial, formed, present: BTreeMap::new() }
    }

    /// How this replica presents itself, with the index of its last entry.
    pub fn present(&self, last_index: u64) -> Present {
        Present { member: self.own.clone(), formed: self.formed, last_index }
    }

    /// Whether this replica has a log that names members.
    pub fn formed(&self) -> bool {
        self.formed
    }

    /// This replica has taken in a log that names members.
    pub fn set_formed(&mut self) {
        self.formed = true;
    }

    /// Another replica presented itself.
    pub fn record(&mut self, present: Present) {
        self.present.insert(present.member.address.clone(), present);
    }

    /// The members of the first start, once all replicas that form the quorum are there and new.
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

    /// The next change of members that a leader should make: one that came back with another disk
    /// is removed, then added; one that is not a member is added. One that presented itself before
    /// this replica could reach it waits until it can.
    pub fn next_change(
        &self,
        members: &Members,
        reachable: impl Fn(&str) -> bool,
    ) -> Option<MemberChange> {
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

    /// The link on which a replica presented itself is lost: what it said of itself may be out of
    /// date, so it replaces nobody until it presents itself again.
    pub fn link_lost(&mut self, address: &str, id: u64) {
        if self.present.get(address).is_some_and(|present| present.member.id == id) {
            self.present.remove(address);
        }
    }

    /// A replica is not there any more, so it is not added again.
    pub fn forget(&mut self, address: &str) {
        self.present.remove(address);
    }
}

/// One step of changing the members.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberChange {
    /// Remove the member with the lost disk.
    Remove(Member),
    /// Add the member.
    Add(Member),
}
