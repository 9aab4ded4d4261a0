//! Small keys for kinds of units.

use std::collections::HashMap;

/// A kind of unit: what is learned of one unit counts for all of its kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Kind(u32);

/// Gives each kind's name its key.
#[derive(Debug, Default)]
pub struct Kinds {
    keys: HashMap<String, Kind>,
}

impl Kinds {
    /// The key of a name, made if it is new.
    pub fn key(&mut self, name: &str) -> Kind {
        if let Some(key) = self.keys.get(name) {
            return *key;
        }
        let key = Kind(self.keys.len() as u32);
        self.keys.insert(name.to_owned(), key);
        key
    }

    /// The key of a name, if there is one.
    pub fn get(&self, name: &str) -> Option<Kind> {
        self.keys.get(name).copied()
    }
}
