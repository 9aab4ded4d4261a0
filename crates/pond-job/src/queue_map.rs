//! Values by queue.

use std::collections::BTreeMap;

use crate::configuration::QueueKey;

/// Values by queue. A queue keeps its value when a configuration renames it.
#[derive(Clone, Debug)]
pub struct QueueMap<T> {
    /// Values by host and prefix.
    hosts: BTreeMap<String, BTreeMap<String, T>>,
}

impl<T> Default for QueueMap<T> {
    fn default() -> QueueMap<T> {
        QueueMap { hosts: BTreeMap::new() }
    }
}

impl<T> QueueMap<T> {
    /// Returns the value of a queue.
    pub fn get(&self, key: QueueKey<'_>) -> Option<&T> {
        self.hosts.get(key.host)?.get(key.prefix)
    }

    /// Sets the value of a queue.
    pub fn insert(&mut self, key: QueueKey<'_>, value: T) {
        let prefixes = self.hosts.entry(key.host.to_owned()).or_default();
        prefixes.insert(key.prefix.to_owned(), value);
    }
}

impl<T: Default> QueueMap<T> {
    /// Returns the value of a queue, which is added if there is none.
    pub fn entry(&mut self, key: QueueKey<'_>) -> &mut T {
        let prefixes = self.hosts.entry(key.host.to_owned()).or_default();
        prefixes.entry(key.prefix.to_owned()).or_default()
    }
}
