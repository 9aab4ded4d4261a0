//! Search for the leading replica: which replicas to dial, when, how many at once, and which
//! replies to trust.
//!
//! Replicas that do not lead are dialled too, and their links stay open during the search. Each of
//! them reports a new leader as soon as it hears of it, so a new leader is found within a few round
//! trips of its election. Several replicas are dialled at once, because those that were cut off
//! together with the previous leader know nothing.
//!
//! The search does no I/O: it takes the time and link events, and returns links to dial and to
//! close.

use std::collections::BTreeMap;

use pond_link::LinkKey;
use pond_proto::fleet::LeaderInfo;
use pond_proto::{Millis, Span};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Number of replicas that are dialled at once when a leader is lost. With any minority cut off,
/// three random replicas all belong to it with a probability below 1/8.
const PARALLEL_DIALS: usize = 3;

/// Maximum number of links while there is no leader: those that are dialled at once, one to a
/// previous leader, and one for another replica while the others hang.
const MAX_LINKS: usize = PARALLEL_DIALS + 2;

/// First wait before one more replica is dialled, in milliseconds. A dial and its answer take a few
/// milliseconds, so a replica that has not answered by then is slow, cut off or gone.
const FIRST_DIAL_WAIT_MS: Span = 60;

/// Longest wait before one more replica is dialled, in milliseconds. It limits a process that finds
/// no replica to five dials per second.
const MAX_DIAL_WAIT_MS: Span = 400;

/// A link that has led to no leader for this long may be closed in favour of another replica, in
/// milliseconds. This is about the time of an election.
const LEADERLESS_MS: Span = 600;

/// Once all listed replicas have failed, one dial in this many goes to an address that is not listed. Most
/// of those belong to replicas that were replaced, and their number grows with each replacement.
const UNLISTED_SHARE: u32 = 8;

/// Each process dials a new leader after a random delay up to this, in milliseconds. Simultaneous
/// dials would overflow the leader's accept queue: of 291 dials within 10 ms, while the leader
/// wrote a snapshot, 125 timed out after 0.8 s.
const LEADER_DIAL_SPREAD_MS: Span = 100;

/// Time after which the replica named as the leader is dialled again if the link is not open, in
/// milliseconds. This is much longer than a dial takes and much shorter than the silence timeout of
/// links.
const LEADER_REDIAL_MS: Span = 250;

/// An action for the owner of the links.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Open a link.
    Dial {
        /// Key of the link.
        link: LinkKey,
        /// Address of the replica.
        address: String,
    },
    /// Close a link or stop opening it.
    Close(LinkKey),
}

/// A known replica.
#[derive(Debug)]
struct Replica {
    address: String,
    /// When it was last dialled.
    dialled: Option<Millis>,
    /// Whether the last dial failed.
    failed: bool,
    /// Whether the settings or the latest message of the highest term list this replica.
    listed: bool,
}

impl Replica {
    /// Returns the rank of the replica in the order of dialling. Listed replicas whose last dial did not
    /// fail come first; `listed_first` tells whether the other listed ones come before or after the
    /// addresses that are not listed. Among equals, the one dialled least recently comes first.
    fn rank(&self, listed_first: bool) -> (u8, Option<Millis>) {
        let class = match (self.listed, self.failed) {
            (true, false) => 0,
            (true, true) if listed_first => 1,
            (false, false) => 2,
            (false, true) => 3,
            (true, true) => 4,
        };
        (class, self.dialled)
    }
}

/// A link that is open or being opened.
#[derive(Debug)]
struct Link {
    /// Index of the replica.
    replica: usize,
    since: Millis,
    up: bool,
    /// The latest term that the replica reported.
    term: u64,
}

/// A replica that others name as the leader.
#[derive(Clone, Copy, Debug)]
struct NamedLeader {
    /// Index of the replica.
    replica: usize,
    /// When it is dialled, or dialled again.
    due: Millis,
}

/// State of the search.
#[derive(Debug)]
pub struct Search {
    replicas: Vec<Replica>,
    links: BTreeMap<LinkKey, Link>,
    leader: Option<LinkKey>,
    /// The highest term that any replica reported.
    term: u64,
    /// The leader of that term, as named by other replicas.
    named: Option<NamedLeader>,
    last_link: LinkKey,
    /// When one more replica is dialled.
    due: Millis,
    wait_ms: Span,
    rng: SmallRng,
    outputs: Vec<Output>,
}

impl Search {
    /// Starts a search. The seed spreads the processes over the replicas.
    pub fn new(addresses: Vec<String>, seed: u64, now: Millis) -> Search {
        let mut search = Search {
            replicas: Vec::new(),
            links: BTreeMap::new(),
            leader: None,
            term: 0,
            named: None,
            last_link: LinkKey(0),
            due: now,
            wait_ms: FIRST_DIAL_WAIT_MS,
            rng: SmallRng::seed_from_u64(seed),
            outputs: Vec::new(),
        };
        search.add_addresses(&addresses);
        search.dial_up_to(now, PARALLEL_DIALS);
        search
    }

    /// Returns the link to the leader.
    pub fn leader(&self) -> Option<LinkKey> {
        self.leader
    }

    /// Returns the address of the replica at the other end of a link.
    pub fn address(&self, link: LinkKey) -> &str {
        self.links.get(&link).map_or("", |found| &self.replicas[found.replica].address)
    }

    /// Adds addresses of replicas from the settings.
    pub fn add_addresses(&mut self, addresses: &[String]) {
        self.add(addresses, true);
    }

    /// Adds the addresses that are not known yet.
    fn add(&mut self, addresses: &[String], listed: bool) {
        for address in addresses {
            if !self.replicas.iter().any(|known| known.address == *address) {
                let address = address.clone();
                self.replicas.push(Replica { address, dialled: None, failed: false, listed });
            }
        }
    }

    /// Records which replicas exist according to another replica. Those that are cut off list replicas of an
    /// earlier term, which may have been replaced since.
    fn update_listed(&mut self, lead: &LeaderInfo) {
        let newest = lead.term >= self.term;
        self.add(&lead.replicas, newest);
        if newest {
            for replica in &mut self.replicas {
                replica.listed = lead.replicas.contains(&replica.address);
            }
        }
    }

    /// Records that a link is open.
    pub fn link_up(&mut self, now: Millis, link: LinkKey) {
        if let Some(found) = self.links.get_mut(&link) {
            found.up = true;
            found.since = now;
            self.replicas[found.replica].failed = false;
        }
    }

    /// Records that a link was lost or could not be opened. If only the link to the leader was
    /// lost, the other replicas still name it, so it is dialled again within a few milliseconds.
    pub fn link_down(&mut self, now: Millis, link: LinkKey) {
        let Some(lost) = self.links.remove(&link) else { return };
        self.replicas[lost.replica].failed = !lost.up;
        self.outputs.push(Output::Close(link));
        if self.leader == Some(link) {
            self.leader = None;
            self.dial_up_to(now, PARALLEL_DIALS);
        }
    }

    /// Handles a replica's message about the leader.
    pub fn handle_lead(&mut self, now: Millis, link: LinkKey, lead: &LeaderInfo) {
        let Some(found) = self.links.get_mut(&link) else { return };
        found.term = lead.term;
        self.update_listed(lead);
        self.update_named(now, lead);
        if lead.is_leader {
            self.follow(link);
            return;
        }
        if self.leader == Some(link) {
            // The link stays open, as this replica may be the first to report the next leader.
            self.leader = None;
            self.dial_up_to(now, PARALLEL_DIALS + 1);
        }
    }

    /// Updates the named leader from the highest term. Replicas that are cut off continue to name a
    /// previous leader.
    fn update_named(&mut self, now: Millis, lead: &LeaderInfo) {
        if lead.term > self.term {
            self.term = lead.term;
            self.named = None;
        }
        if lead.term < self.term || lead.leader.is_empty() {
            return;
        }
        self.add(std::slice::from_ref(&lead.leader), false);
        let found = self.replicas.iter().position(|known| known.address == lead.leader);
        let Some(replica) = found else { return };
        if self.named.is_none_or(|named| named.replica != replica) {
            let due = now + self.rng.random_range(0..LEADER_DIAL_SPREAD_MS);
            self.named = Some(NamedLeader { replica, due });
        }
    }

    /// Dials one more replica if it is due.
    pub fn tick(&mut self, now: Millis) {
        if self.leader.is_some() {
            return;
        }
        if let Some(named) = self.named.filter(|named| now >= named.due) {
            self.dial_named(now, named.replica);
        }
        if now >= self.due {
            self.dial_next(now);
            self.schedule_next(now);
        }
    }

    /// Returns when [`Search::tick`] is due.
    pub fn due(&self) -> Option<Millis> {
        let named = self.named.map(|named| named.due);
        let due = named.map_or(self.due, |named| named.min(self.due));
        self.leader.is_none().then_some(due)
    }

    /// Returns the pending actions in order.
    pub fn outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    fn follow(&mut self, leader: LinkKey) {
        self.leader = Some(leader);
        let others: Vec<LinkKey> =
            self.links.keys().copied().filter(|link| *link != leader).collect();
        for link in others {
            self.close(link);
        }
    }

    /// Dials replicas until there are `count` links.
    fn dial_up_to(&mut self, now: Millis, count: usize) {
        self.wait_ms = FIRST_DIAL_WAIT_MS;
        while self.links.len() < count && self.dial_next(now) {}
        self.schedule_next(now);
    }

    /// Schedules the next dial. The random delay spreads processes that lost the same leader.
    fn schedule_next(&mut self, now: Millis) {
        self.due = now + self.rng.random_range(self.wait_ms / 2..=self.wait_ms);
        self.wait_ms = (self.wait_ms * 2).min(MAX_DIAL_WAIT_MS);
    }

    /// Dials the replica with the lowest rank, chosen at random among equals. Returns false if
    /// there is no such replica or no link is free.
    fn dial_next(&mut self, now: Millis) -> bool {
        let is_linked = |index: &usize| self.links.values().any(|found| found.replica == *index);
        let free: Vec<usize> = (0..self.replicas.len()).filter(|index| !is_linked(index)).collect();
        let listed_first = !self.rng.random_ratio(1, UNLISTED_SHARE);
        let rank = |index: &usize| self.replicas[*index].rank(listed_first);
        let Some(first) = free.iter().map(rank).min() else {
            return false;
        };
        let candidates: Vec<usize> = free.iter().copied().filter(|i| rank(i) == first).collect();
        if !self.make_room(now) {
            return false;
        }
        let index = candidates[self.rng.random_range(0..candidates.len())];
        self.dial(now, index);
        true
    }

    /// Dials the replica that others name as the leader, again if it did not answer. If a link to
    /// it is open, the replica itself reports whether it leads.
    fn dial_named(&mut self, now: Millis, replica: usize) {
        let since = self.replicas[replica].dialled.unwrap_or_default();
        let found = self.links.iter().find(|(_, found)| found.replica == replica);
        let found = found.map(|(link, found)| (*link, found.up));
        let waits = now.since(since) < LEADER_REDIAL_MS;
        let due = if waits && found.is_some() { since } else { now } + LEADER_REDIAL_MS;
        self.named = Some(NamedLeader { replica, due });
        match found {
            Some((_, up)) if up || waits => return,
            Some((link, _)) => drop(self.close(link)),
            None if self.links.len() >= MAX_LINKS => drop(self.close_least_useful(now, 0)),
            None => {}
        }
        self.dial(now, replica);
    }

    /// Returns whether one more link may be opened, if necessary after closing the least useful
    /// one.
    fn make_room(&mut self, now: Millis) -> bool {
        self.links.len() < MAX_LINKS || self.close_least_useful(now, LEADERLESS_MS)
    }

    /// Closes one link and returns whether there was one to close. Links that should be open by now
    /// come first, except the one to the named leader. Then follow links to replicas whose term is
    /// out of date, and links that have led to no leader for `leaderless_ms`. The oldest of each
    /// kind is closed first.
    fn close_least_useful(&mut self, now: Millis, leaderless_ms: Span) -> bool {
        let named = |found: &Link| self.named.is_some_and(|named| named.replica == found.replica);
        let can_close = |found: &Link| match found.up {
            false => now.since(found.since) >= FIRST_DIAL_WAIT_MS && !named(found),
            true => found.term < self.term || now.since(found.since) >= leaderless_ms,
        };
        let found = self.links.iter().filter(|(_, found)| can_close(found));
        let first = found.min_by_key(|(_, found)| (found.up, found.term, found.since));
        let Some(first) = first.map(|(link, _)| *link) else { return false };
        let replica = &mut self.replicas[self.links[&first].replica];
        replica.failed = !self.links[&first].up;
        self.close(first)
    }

    fn close(&mut self, link: LinkKey) -> bool {
        self.outputs.push(Output::Close(link));
        self.links.remove(&link).is_some()
    }

    fn dial(&mut self, now: Millis, replica: usize) {
        self.last_link = LinkKey(self.last_link.0 + 1);
        let link = self.last_link;
        self.replicas[replica].dialled = Some(now);
        self.links.insert(link, Link { replica, since: now, up: false, term: 0 });
        let address = self.replicas[replica].address.clone();
        self.outputs.push(Output::Dial { link, address });
    }
}
