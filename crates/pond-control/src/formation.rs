//! The formation of a new quorum, and the replacement of replicas that return with an empty disk.

use std::collections::BTreeMap;

use pond_proto::quorum::{Announce, Member, Members};

/// What this replica knows about the other replicas.
#[derive(Debug)]
pub struct Formation {
    own: Member,
    names: Vec<String>,
    formed: bool,
    announces: BTreeMap<String, Announce>,
}

impl Formation {
    /// Creates the formation of a replica; `names` are all replicas in the settings, and `formed`
    /// tells whether its disk holds a log.
    pub fn new(own: Member, names: Vec<String>, formed: bool) -> Formation {
        Formation { own, names, formed, announces: BTreeMap::new() }
    }

    /// Returns the message in which this replica presents itself, with the index of its last entry.
    pub fn announce(&self, last_index: u64) -> Announce {
        Announce { member: self.own.clone(), formed: self.formed, last_index }
    }

    /// Records that this replica's log names members.
    pub fn set_formed(&mut self) {
        self.formed = true;
    }

    /// Records the message in which another replica presented itself.
    pub fn record_announce(&mut self, announce: Announce) {
        self.announces.insert(announce.member.name.clone(), announce);
    }

    /// Handles the loss of the last link to a replica. Its message may be out of date, so it replaces no
    /// member until it presents itself again.
    pub fn link_lost(&mut self, name: &str) {
        self.announces.remove(name);
    }

    /// Returns the initial members once all replicas in the settings are present and none has a
    /// log.
    ///
    /// If one of them has a log, a quorum already exists, and this replica waits until its leader
    /// adds it.
    pub fn first_members(&self) -> Option<Members> {
        if self.formed {
            return None;
        }
        let mut list = vec![Member { voter: true, ..self.own.clone() }];
        for name in self.names.iter().filter(|name| **name != self.own.name) {
            let other = self.announces.get(name).filter(|other| !other.formed)?;
            list.push(Member { voter: true, ..other.member.clone() });
        }
        Some(Members::new(list))
    }

    /// Returns the next step to replace a replica that has returned with another disk, or to add one that
    /// is no member. It may have a log, of entries that were never committed.
    ///
    /// Members change one at a time: the old member is removed first, then the new one is added.
    pub fn replacement(&self, members: &Members) -> Option<Replacement> {
        for announce in self.announces.values() {
            let new = &announce.member;
            if members.get(new.id).is_some() {
                continue;
            }
            let old = members.list.iter().find(|member| member.name == new.name);
            return match old {
                Some(old) => Some(Replacement::Remove(old.clone())),
                None => Some(Replacement::Add(new.clone())),
            };
        }
        None
    }
}

/// A step of replacing a replica.
#[derive(Clone, Debug, PartialEq)]
pub enum Replacement {
    /// Remove the member whose disk was lost.
    Remove(Member),
    /// Add the member with the new disk.
    Add(Member),
}
