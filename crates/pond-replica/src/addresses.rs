//! Addresses at which other replicas are dialled.

use std::collections::BTreeMap;

use pond_link::LinkKey;
use pond_proto::{Millis, Span};

/// Time in milliseconds after which the address of an unreachable replica expires: longer than the hour for which
/// regions are cut off from each other now and then. A replica that returns later and whose own addresses of others
/// are all out of date finds nobody, so the time is long.
const RETENTION_MS: Span = 2 * 3_600_000;

/// An address that is dialled.
#[derive(Debug)]
struct Address {
    link: LinkKey,
    /// Since when there is no link; `None` while the link is up.
    down_since: Option<Millis>,
}

/// The addresses at which other replicas are dialled, with their links.
#[derive(Debug, Default)]
pub(crate) struct Addresses {
    /// Those in the settings, which do not expire.
    seeds: Vec<String>,
    dialled: BTreeMap<String, Address>,
    next_link: u64,
}

impl Addresses {
    /// Replaces the addresses in the settings.
    pub fn replace_seeds(&mut self, seeds: &[String]) {
        self.seeds = seeds.to_vec();
    }

    /// Adds an address, which counts as unreachable from now on until its link is up. Returns the key of the new link.
    pub fn add(&mut self, now: Millis, address: &str) -> LinkKey {
        let link = LinkKey(self.next_link);
        self.next_link += 1;
        self.dialled.insert(address.to_owned(), Address { link, down_since: Some(now) });
        link
    }

    /// Returns all addresses.
    pub fn all(&self) -> impl Iterator<Item = &String> {
        self.dialled.keys()
    }

    /// Returns the link to an address.
    pub fn link(&self, address: &str) -> Option<LinkKey> {
        self.dialled.get(address).map(|found| found.link)
    }

    /// Returns since when the link to an address is down; `None` if it is up.
    pub fn down_since(&self, address: &str) -> Option<Millis> {
        self.dialled.get(address).and_then(|found| found.down_since)
    }

    /// Records that a link is up, or down since then. Returns its address.
    pub fn record_link(&mut self, link: LinkKey, down_since: Option<Millis>) -> Option<&str> {
        let (address, found) = self.dialled.iter_mut().find(|(_, found)| found.link == link)?;
        found.down_since = down_since;
        Some(address)
    }

    /// Drops the addresses that have expired. Seeds and those for which `is_used` returns true do not expire. Returns
    /// the dropped ones with their links.
    pub fn expire(
        &mut self,
        now: Millis,
        is_used: impl Fn(&str) -> bool,
    ) -> Vec<(String, LinkKey)> {
        let seeds = &self.seeds;
        let expired = self.dialled.extract_if(.., |address, found| {
            found.down_since.is_some_and(|since| now.since(since) >= RETENTION_MS)
                && !seeds.contains(address)
                && !is_used(address)
        });
        expired.map(|(address, found)| (address, found.link)).collect()
    }
}
