//! The first start of a quorum, and replicas that come back with another disk.

use std::collections::BTreeMap;

use pond_proto::quorum::{Member, Members, Present};

/// What this replica knows of the others.
#[derive(Debug)]
pub struct Formation {
    own: Member,
    names: Vec<String>,
    formed: bool,
    present: BTreeMap<String, Present>,
}

impl Formation {
    /// A replica among those that the settings name; `formed` if its disk holds a log.
    pub fn new(own: Member, names: Vec<String>, formed: bool) -> Formation {
        Formation { own, names, formed, present: BTreeMap::new() }
    }

    /// How this replica presents itself, with the index of its last entry.
    pub fn present(&self, last_index: u64) -> Present {
        Present { member: self.own.clone(), formed: self.formed, last_index }
    }

    /// This replica has taken in a log that names members.
    pub fn set_formed(&mut self) {
        self.formed = true;
    }

    /// Another replica presented itself.
    pub fn hear(&mut self, present: Present) {
        self.present.insert(present.member.name.clone(), present);
    }

    /// The members of the first start, once all replicas of the settings are there and new.
    ///
    /// If one of them has a log already, this replica is new to a quorum that exists, and waits
    /// to be added by its leader.
    pub fn first_members(&self) -> Option<Members> {
        if self.formed {
            return None;
        }
        let mut list = vec![Member { voter: true, ..self.own.clone() }];
        for name in self.names.iter().filter(|name| **name != self.own.name) {
            let other = self.present.get(name).filter(|other| !other.formed)?;
            list.push(Member { voter: true, ..other.member.clone() });
        }
        Some(Members::new(list))
    }

    /// A replica that is known under another disk: the member to remove and the one to add.
    ///
    /// Only one step at a time: the old one is removed first, then the new one is added.
    pub fn replacement(&self, members: &Members) -> Option<Replacement> {
        for present in self.present.values().filter(|present| !present.formed) {
            let new = &present.member;
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

/// One step of replacing a replica.
#[derive(Clone, Debug, PartialEq)]
pub enum Replacement {
    /// Remove the member with the lost disk.
    Remove(Member),
    /// Add the member with the new disk.
    Add(Member),
}
