//! Processes that look for a leader among replicas, in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use pond_link::LinkKey;
use pond_proto::fleet::Lead;
use pond_proto::{Millis, Span};
use pond_uplink::{Output, Search};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// A dial and the hello, or the way of a message, in milliseconds.
const TRIP_MS: Span = 3;

/// A dial that nobody answers, and a link that falls silent, are given up after this long, in
/// milliseconds, as the links do.
const SILENCE_MS: Span = 800;

/// Heartbeats come this often, so silence is counted from up to so long before, in milliseconds.
const BEAT_MS: Span = 250;

/// An election takes that long, in milliseconds, and up to four times as long if votes are split.
const ELECTION_MS: Span = 500;

/// When something happens to the leader, in milliseconds: long after all are linked.
const FAULT_MS: Span = 5_000;

/// A leader that hears no majority says so after this time, in milliseconds, and followers that hear no
/// leader after an election's.
const LEASE_MS: Span = 475;

/// Replicas hear of a new leader after this time, in milliseconds.
const HEARD_MS: Span = 5;

/// A new leader takes in no link for this long, in milliseconds: it applies what it has read, and may
/// save a snapshot.
const BUSY_MS: Span = 30;

/// Dials that its system queues meanwhile; others get no answer.
const QUEUE: usize = 128;

/// What happens.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Replicas.
    pub replicas: usize,
    /// Replicas that are cut off from processes and from the others, the leader among them.
    pub cut: usize,
    /// Those that are cut off are cut off from the other replicas only; processes reach all.
    pub split: bool,
    /// All replicas are down for that long; zero if they are not.
    pub down_ms: Span,
    /// Addresses that processes know of machines that are gone.
    pub gone: usize,
    /// Replicas that a process knows at first; zero for all.
    pub seeds: usize,
    /// The links to the leader break, and nothing else.
    pub reset: bool,
    /// Processes.
    pub processes: usize,
    /// Seed of everything random.
    pub seed: u64,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            replicas: 9,
            cut: 0,
            split: false,
            down_ms: 0,
            gone: 0,
            seeds: 0,
            reset: false,
            processes: 200,
            seed: 0,
        }
    }
}

/// What came of it.
#[derive(Clone, Copy, Debug)]
pub struct Linked {
    /// Processes that were linked to the new leader in time.
    pub within: usize,
    /// The most dials of one process within a second.
    pub dials: usize,
    /// The same once it had looked for two seconds.
    pub dials_later: usize,
}

/// Something that happens to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick,
    Up(LinkKey),
    Down(LinkKey),
    Told(LinkKey),
}

struct Process {
    search: Search,
    links: BTreeMap<LinkKey, usize>,
    dials: Vec<Millis>,
}

/// Replicas, processes and what is due.
pub struct World {
    plan: Plan,
    rng: StdRng,
    processes: Vec<Process>,
    due: BinaryHeap<Reverse<(Millis, usize, Event)>>,
    elected: Millis,
    /// The replica that leads after the fault.
    next: usize,
    /// Dials that wait there while it is busy.
    queued: usize,
}

fn address(replica: usize) -> String {
    format!("10.0.0.{replica}:80")
}

impl World {
    /// All are linked to replica 0, which leads until the fault.
    pub fn new(plan: Plan) -> World {
        let mut rng = StdRng::seed_from_u64(plan.seed);
        let back = FAULT_MS + plan.down_ms;
        let election = if plan.reset { 0 } else { rng.random_range(ELECTION_MS..4 * ELECTION_MS) };
        let elected = Millis(back + election);
        let next = match plan {
            Plan { reset: true, .. } => 0,
            Plan { cut: 0, replicas, .. } => rng.random_range(0..replicas),
            Plan { cut, replicas, .. } => rng.random_range(cut..replicas),
        };
        let mut world = World {
            plan,
            rng,
            processes: Vec::new(),
            due: BinaryHeap::new(),
            elected,
            next,
            queued: 0,
        };
        for place in 0..plan.processes {
            world.add(place);
        }
        world
    }

    fn add(&mut self, place: usize) {
        let Plan { replicas, gone, seeds, .. } = self.plan;
        let known = if seeds == 0 { replicas + gone } else { seeds };
        let first = if seeds == 0 { 0 } else { self.rng.random_range(0..replicas) };
        let addresses =
            (0..known).map(|seed| address((first + seed) % (replicas + gone))).collect();
        let search = Search::new(addresses, self.rng.random(), Millis(0));
        self.processes.push(Process { search, links: BTreeMap::new(), dials: Vec::new() });
        self.carry_out(Millis(0), place);
    }

    /// Plays until that long after the election.
    pub fn play(mut self, bound_ms: Span) -> Linked {
        let end = self.elected + bound_ms;
        let mut broken = false;
        while let Some(Reverse((now, place, event))) = self.due.pop() {
            if !broken && now >= Millis(FAULT_MS) {
                broken = true;
                self.break_links();
            }
            if now > end {
                break;
            }
            self.happens(now, place, event);
            self.carry_out(now, place);
        }
        let within = self.processes.iter().filter(|process| self.linked(process)).count();
        let since =
            |from| self.processes.iter().map(move |process| most_dials(&process.dials, from));
        let dials = since(Millis(FAULT_MS)).max().unwrap_or(0);
        let dials_later = since(Millis(FAULT_MS + SILENCE_MS + 2_000)).max().unwrap_or(0);
        Linked { within, dials, dials_later }
    }

    fn linked(&self, process: &Process) -> bool {
        let leader = process.search.leader().and_then(|link| process.links.get(&link));
        leader == Some(&self.next)
    }

    fn happens(&mut self, now: Millis, place: usize, event: Event) {
        match event {
            Event::Tick => self.processes[place].search.tick(now),
            Event::Up(link) => {
                self.processes[place].search.up(now, link);
                self.tell(now, place, link);
            }
            Event::Down(link) => {
                self.processes[place].search.down(now, link);
            }
            Event::Told(link) => self.tell(now, place, link),
        }
    }

    /// The replica at the other end says who leads, now and when that changes.
    fn tell(&mut self, now: Millis, place: usize, link: LinkKey) {
        let Some(replica) = self.processes[place].links.get(&link).copied() else { return };
        if !self.reached(now, replica) {
            return;
        }
        let lead = self.lead(now, replica);
        self.processes[place].search.told(now, link, &lead);
        if now < self.elected + HEARD_MS {
            let again = self.elected + HEARD_MS + TRIP_MS;
            self.due.push(Reverse((again, place, Event::Told(link))));
        }
    }

    fn lead(&self, now: Millis, replica: usize) -> Lead {
        let after = now >= self.elected + HEARD_MS && !self.cut_off(now, replica);
        let patience = if replica == 0 { LEASE_MS } else { ELECTION_MS };
        let before = now < Millis(FAULT_MS + patience) && self.plan.down_ms == 0;
        let leader = match (after, before) {
            (true, _) => Some(self.next),
            (false, true) => Some(0),
            (false, false) => None,
        };
        let knows = leader.map_or(String::new(), address);
        let leads = leader == Some(replica) && self.reached(now, replica);
        let replicas = (0..self.plan.replicas).map(address).collect();
        let term = if after { 2 } else { 1 };
        Lead { leader: knows, replicas, term, leads, ..Lead::default() }
    }

    fn cut_off(&self, now: Millis, replica: usize) -> bool {
        now >= Millis(FAULT_MS) && replica < self.plan.cut
    }

    fn down(&self, now: Millis) -> bool {
        let fault = Millis(FAULT_MS);
        now >= fault && now < fault + self.plan.down_ms
    }

    /// Whether a replica hears processes.
    fn reached(&self, now: Millis, replica: usize) -> bool {
        let silent = self.cut_off(now, replica) && !self.plan.split;
        replica < self.plan.replicas && !silent && !self.down(now)
    }

    /// What a dial comes to, and when.
    fn dialled(&mut self, now: Millis, replica: usize, link: LinkKey) -> (Millis, Event) {
        let busy = replica == self.next && now >= self.elected && now < self.elected + BUSY_MS;
        if busy && !self.plan.reset {
            self.queued += 1;
            return match self.queued <= QUEUE {
                true => (self.elected + BUSY_MS, Event::Up(link)),
                false => (now + SILENCE_MS, Event::Down(link)),
            };
        }
        if self.reached(now, replica) {
            (now + TRIP_MS, Event::Up(link))
        } else if self.down(now) {
            (now + TRIP_MS, Event::Down(link))
        } else {
            (now + SILENCE_MS, Event::Down(link))
        }
    }

    /// Links to replicas that are cut off fall silent, those to processes that ended break.
    fn break_links(&mut self) {
        let fault = Millis(FAULT_MS);
        for place in 0..self.processes.len() {
            let links: Vec<(LinkKey, usize)> =
                self.processes[place].links.iter().map(|(link, to)| (*link, *to)).collect();
            for (link, replica) in links {
                let silent = SILENCE_MS - self.rng.random_range(0..BEAT_MS);
                if self.plan.split {
                    let at = fault + LEASE_MS + TRIP_MS;
                    self.due.push(Reverse((at, place, Event::Told(link))));
                    continue;
                }
                let at = match self.plan {
                    Plan { down_ms: 1.., .. } | Plan { reset: true, .. } => fault + TRIP_MS,
                    _ if self.cut_off(fault, replica) => fault + silent,
                    _ => continue,
                };
                self.due.push(Reverse((at, place, Event::Down(link))));
            }
        }
    }

    fn carry_out(&mut self, now: Millis, place: usize) {
        for output in self.processes[place].search.outputs() {
            match output {
                Output::Dial { link, address: to } => {
                    let all = self.plan.replicas + self.plan.gone;
                    let replica = (0..all).find(|replica| address(*replica) == to);
                    let replica = replica.expect("a known address");
                    let process = &mut self.processes[place];
                    process.links.insert(link, replica);
                    process.dials.push(now);
                    let (at, event) = self.dialled(now, replica, link);
                    self.due.push(Reverse((at, place, event)));
                }
                Output::Close(link) => {
                    self.processes[place].links.remove(&link);
                }
            }
        }
        if let Some(due) = self.processes[place].search.due() {
            self.due.push(Reverse((due.max(now + 1), place, Event::Tick)));
        }
    }
}

/// The most dials within any second that begins at `from` or later.
fn most_dials(dials: &[Millis], from: Millis) -> usize {
    let late: Vec<Millis> = dials.iter().copied().filter(|at| *at >= from).collect();
    let within = |(first, at): (usize, &Millis)| {
        late[first..].iter().take_while(|other| other.since(*at) < 1_000).count()
    };
    late.iter().enumerate().map(within).max().unwrap_or(0)
}
