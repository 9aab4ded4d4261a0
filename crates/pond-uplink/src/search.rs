//! The search for the replica that leads: whom to ask, when, how many at once, and what to believe.
//!
//! Replicas that do not lead are asked too, and stay linked while the search goes on: each of them
//! tells at once when it hears of a leader, so a new leader is found within some round trips of its
//! election. Several are asked at once, as those that were cut off with the former leader know
//! nothing.
//!
//! Pure: time and events go in, dials and closes come out.

use std::collections::BTreeMap;

use pond_link::LinkKey;
use pond_proto::fleet::Lead;
use pond_proto::{Millis, Span};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Replicas that are asked at once when a leader is lost: with any minority cut off, three drawn
/// at random are all in it less than one time in eight.
const PARALLEL_DIALS: usize = 3;

/// Links that are held while there is no leader: those that are asked at once, one to a leader that
/// leads no more, and one so that another replica can be asked while these hang.
const MAX_LINKS: usize = PARALLEL_DIALS + 2;

/// The first wait before one more replica is asked, in milliseconds: a dial and the answer take a
/// few, so whoever has not answered by then is slow, cut off or gone.
const FIRST_DIAL_WAIT_MS: Span = 60;

/// The longest wait before one more replica is asked, in milliseconds. It bounds the dials of a
/// process that finds nobody to five a second.
const MAX_DIAL_WAIT_MS: Span = 400;

/// A link that has led to no leader for this long makes room for another replica, in milliseconds:
/// about an election.
const LEADERLESS_MS: Span = 600;

/// Processes that hear of a new leader dial it within this time, in milliseconds, each at a moment of its
/// own. All at once they would overflow what its system queues: of 291 dials within 10 ms, while it saved
/// a snapshot, 125 were answered only when they were given up after 0.8 s.
const LEADER_DIAL_SPREAD_MS: Span = 100;

/// The replica that others name is dialled anew if the link is not open after this time, in milliseconds:
/// far more than a dial takes, far less than links wait in silence.
const LEADER_REDIAL_MS: Span = 250;

/// What the owner of the links does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Open a link.
    Dial {
        /// Its key.
        link: LinkKey,
        /// The replica's address.
        address: String,
    },
    /// Close a link, or give up to open it.
    Close(LinkKey),
}

/// A replica that may be asked.
#[derive(Debug)]
struct Replica {
    address: String,
    /// When it was last dialled.
    dialled: Option<Millis>,
    /// The last dial came to nothing.
    failed: bool,
    /// The last word on the lead named it among the replicas.
    listed: bool,
}

impl Replica {
    /// Who is asked first: replicas that others name as such, then any other address, then those
    /// that could not be reached when they were last asked; among equals the one that was not asked
    /// for longest.
    fn rank(&self) -> (bool, bool, Option<Millis>) {
        (self.failed, !self.failed && !self.listed, self.dialled)
    }
}

/// A link that is open or being opened.
#[derive(Debug)]
struct Link {
    /// The place among the replicas.
    replica: usize,
    since: Millis,
    up: bool,
    /// The term that the replica told last.
    term: u64,
}

/// A replica that others take for the leader.
#[derive(Clone, Copy, Debug)]
struct NamedLeader {
    /// The place among the replicas.
    replica: usize,
    /// When it is dialled, or dialled again.
    due: Millis,
}

/// The search.
#[derive(Debug)]
pub struct Search {
    replicas: Vec<Replica>,
    links: BTreeMap<LinkKey, Link>,
    leader: Option<LinkKey>,
    /// The highest term that any replica told of.
    term: u64,
    /// The replica that leads in that term, as others say.
    named: Option<NamedLeader>,
    last_link: LinkKey,
    /// When one more replica is asked.
    due: Millis,
    wait_ms: Span,
    rng: SmallRng,
    outputs: Vec<Output>,
}

impl Search {
    /// Starts to look. The seed spreads the processes over the replicas.
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
        search.dial_until(now, PARALLEL_DIALS);
        search
    }

    /// The link to the leader.
    pub fn leader(&self) -> Option<LinkKey> {
        self.leader
    }

    /// The address of the replica at the other end of a link.
    pub fn address(&self, link: LinkKey) -> &str {
        self.links.get(&link).map_or("", |found| &self.replicas[found.replica].address)
    }

    /// Further addresses of replicas.
    pub fn add_addresses(&mut self, addresses: &[String]) {
        for address in addresses {
            if !self.replicas.iter().any(|known| known.address == *address) {
                let address = address.clone();
                let new = Replica { address, dialled: None, failed: false, listed: false };
                self.replicas.push(new);
            }
        }
    }

    /// Another replica says which ones there are.
    fn update_listed(&mut self, addresses: &[String]) {
        self.add_addresses(addresses);
        for replica in &mut self.replicas {
            replica.listed = addresses.contains(&replica.address);
        }
    }

    /// A link is open.
    pub fn link_up(&mut self, now: Millis, link: LinkKey) {
        if let Some(found) = self.links.get_mut(&link) {
            found.up = true;
            found.since = now;
            self.replicas[found.replica].failed = false;
        }
    }

    /// A link is lost or could not be opened. If only the link to the leader is lost, the others
    /// still name it, so it is asked again within some milliseconds.
    pub fn link_down(&mut self, now: Millis, link: LinkKey) {
        let Some(lost) = self.links.remove(&link) else { return };
        self.replicas[lost.replica].failed = !lost.up;
        self.outputs.push(Output::Close(link));
        if self.leader == Some(link) {
            self.leader = None;
            self.dial_until(now, PARALLEL_DIALS);
        }
    }

    /// What a replica says of the lead.
    pub fn handle_lead(&mut self, now: Millis, link: LinkKey, lead: &Lead) {
        let Some(found) = self.links.get_mut(&link) else { return };
        found.term = lead.term;
        self.update_listed(&lead.replicas);
        self.update_named(now, lead);
        if lead.leads {
            self.follow(link);
            return;
        }
        if self.leader == Some(link) {
            // It may still be the first to tell of the next one, so its link stays.
            self.leader = None;
            self.dial_until(now, PARALLEL_DIALS + 1);
        }
    }

    /// The highest term is believed: who is cut off goes on naming a former leader.
    fn update_named(&mut self, now: Millis, lead: &Lead) {
        if lead.term > self.term {
            self.term = lead.term;
            self.named = None;
        }
        if lead.term < self.term || lead.leader.is_empty() {
            return;
        }
        self.add_addresses(std::slice::from_ref(&lead.leader));
        let found = self.replicas.iter().position(|known| known.address == lead.leader);
        let Some(replica) = found else { return };
        if self.named.is_none_or(|named| named.replica != replica) {
            let due = now + self.rng.random_range(0..LEADER_DIAL_SPREAD_MS);
            self.named = Some(NamedLeader { replica, due });
        }
    }

    /// Asks one more replica when it is time.
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

    /// When [`Search::tick`] has something to do.
    pub fn due(&self) -> Option<Millis> {
        let named = self.named.map(|named| named.due);
        let due = named.map_or(self.due, |named| named.min(self.due));
        self.leader.is_none().then_some(due)
    }

    /// What must be done, in order.
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

    /// Asks replicas until so many links are held.
    fn dial_until(&mut self, now: Millis, count: usize) {
        self.wait_ms = FIRST_DIAL_WAIT_MS;
        while self.links.len() < count && self.dial_next(now) {}
        self.schedule_next(now);
    }

    /// Sets when one more is asked. Processes that lost the same leader spread out.
    fn schedule_next(&mut self, now: Millis) {
        self.due = now + self.rng.random_range(self.wait_ms / 2..=self.wait_ms);
        self.wait_ms = (self.wait_ms * 2).min(MAX_DIAL_WAIT_MS);
    }

    /// Asks the replica that comes first, one of several by chance; false if there is none to ask or no
    /// room.
    fn dial_next(&mut self, now: Millis) -> bool {
        let is_linked = |index: &usize| self.links.values().any(|found| found.replica == *index);
        let free: Vec<usize> = (0..self.replicas.len()).filter(|index| !is_linked(index)).collect();
        let Some(first) = free.iter().map(|index| self.replicas[*index].rank()).min() else {
            return false;
        };
        let candidates: Vec<usize> =
            free.into_iter().filter(|index| self.replicas[*index].rank() == first).collect();
        if !self.make_room(now) {
            return false;
        }
        let index = candidates[self.rng.random_range(0..candidates.len())];
        self.dial(now, index);
        true
    }

    /// Asks the replica that others take for the leader, again if it did not answer. While a link to it
    /// is open it tells of itself.
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

    /// Whether one more link may be held, if need be in the place of one that leads nowhere.
    fn make_room(&mut self, now: Millis) -> bool {
        self.links.len() < MAX_LINKS || self.close_least_useful(now, LEADERLESS_MS)
    }

    /// Closes a link: one that should be open by now, unless it is to the replica that others name, or else
    /// one to a replica that knows less than others, or else one that has led to no leader for that
    /// long; the oldest of its sort.
    fn close_least_useful(&mut self, now: Millis, leaderless_ms: Span) -> bool {
        let named = |found: &Link| self.named.is_some_and(|named| named.replica == found.replica);
        let useless = |found: &Link| match found.up {
            false => now.since(found.since) >= FIRST_DIAL_WAIT_MS && !named(found),
            true => found.term < self.term || now.since(found.since) >= leaderless_ms,
        };
        let found = self.links.iter().filter(|(_, found)| useless(found));
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
