//! Compact keys for the kinds of units.

use std::collections::HashMap;

/// The key of a kind of unit. Measurements of one unit count for all units of its kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Kind(u32);

/// Maps the names of kinds to keys.
#[derive(Debug, Default)]
pub struct Kinds {
    keys: HashMap<String, Kind>,
}

impl Kinds {
    /// Returns the key of a name and creates it if the name is new.
    pub fn key(&mut self, name: &str) -> Kind {
        if let Some(key) = self.keys.get(name) {
            return *key;
        }
        let key = Kind(self.keys.len() as u32);
        self.keys.insert(name.to_owned(), key);
        key
    }

    /// Returns the key of a name, if it has one.
    pub fn get(&self, name: &str) -> Option<Kind> {
        self.keys.get(name).copied()
    }
}
