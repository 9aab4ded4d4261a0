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
const DELAY_MS: Span = 3;

/// A dial that nobody answers, and a link that falls silent, are given up after this long, in
/// milliseconds, as the links do.
const SILENCE_MS: Span = 800;

/// Heartbeats come this often, so silence is counted from up to so long before, in milliseconds.
const HEARTBEAT_MS: Span = 250;

/// An election takes that long, in milliseconds, and up to four times as long if votes are split.
const ELECTION_MS: Span = 500;

/// When something happens to the leader, in milliseconds: long after all are linked.
const FAULT_MS: Span = 5_000;

/// A leader that hears no majority says so after this time, in milliseconds, and followers that hear no
/// leader after an election's.
const LEASE_MS: Span = 475;

/// Replicas hear of a new leader after this time, in milliseconds.
const PROPAGATION_MS: Span = 5;

/// A new leader takes in no link for this long, in milliseconds: it applies what it has read, and may
/// save a snapshot.
const BUSY_MS: Span = 30;

/// Dials that its system queues meanwhile; others get no answer.
const QUEUE: usize = 128;

/// What happens.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
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
    pub initial: usize,
    /// The links to the leader break, and nothing else.
    pub reset: bool,
    /// Processes.
    pub processes: usize,
    /// Seed of everything random.
    pub seed: u64,
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            replicas: 9,
            cut: 0,
            split: false,
            down_ms: 0,
            gone: 0,
            initial: 0,
            reset: false,
            processes: 200,
            seed: 0,
        }
    }
}

/// What came of it.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// Processes that were linked to the new leader in time.
    pub linked_in_time: usize,
    /// The most dials of one process within a second.
    pub dials: usize,
    /// The same once it had looked for two seconds.
    pub late_dials: usize,
}

/// Something that happens to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick,
    Up(LinkKey),
    Down(LinkKey),
    Lead(LinkKey),
}

struct Process {
    search: Search,
    links: BTreeMap<LinkKey, usize>,
    dials: Vec<Millis>,
}

/// Replicas, processes and what is due.
pub struct Simulation {
    scenario: Scenario,
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

impl Simulation {
    /// All are linked to replica 0, which leads until the fault.
    pub fn new(scenario: Scenario) -> Simulation {
        let mut rng = StdRng::seed_from_u64(scenario.seed);
        let back = FAULT_MS + scenario.down_ms;
        let election =
            if scenario.reset { 0 } else { rng.random_range(ELECTION_MS..4 * ELECTION_MS) };
        let elected = Millis(back + election);
        let next = match scenario {
            Scenario { reset: true, .. } => 0,
            Scenario { cut: 0, replicas, .. } => rng.random_range(0..replicas),
            Scenario { cut, replicas, .. } => rng.random_range(cut..replicas),
        };
        let mut simulation = Simulation {
            scenario,
            rng,
            processes: Vec::new(),
            due: BinaryHeap::new(),
            elected,
            next,
            queued: 0,
        };
        for index in 0..scenario.processes {
            simulation.add(index);
        }
        simulation
    }

    fn add(&mut self, index: usize) {
        let Scenario { replicas, gone, initial, .. } = self.scenario;
        let known = if initial == 0 { replicas + gone } else { initial };
        let first = if initial == 0 { 0 } else { self.rng.random_range(0..replicas) };
        let addresses =
            (0..known).map(|seed| address((first + seed) % (replicas + gone))).collect();
        let search = Search::new(addresses, self.rng.random(), Millis(0));
        self.processes.push(Process { search, links: BTreeMap::new(), dials: Vec::new() });
        self.execute(Millis(0), index);
    }

    /// Plays until that long after the election.
    pub fn run(mut self, bound_ms: Span) -> Outcome {
        let end = self.elected + bound_ms;
        let mut broken = false;
        while let Some(Reverse((now, index, event))) = self.due.pop() {
            if !broken && now >= Millis(FAULT_MS) {
                broken = true;
                self.break_links();
            }
            if now > end {
                break;
            }
            self.handle(now, index, event);
            self.execute(now, index);
        }
        let linked_in_time =
            self.processes.iter().filter(|process| self.is_linked(process)).count();
        let since =
            |from| self.processes.iter().map(move |process| most_dials(&process.dials, from));
        let dials = since(Millis(FAULT_MS)).max().unwrap_or(0);
        let late_dials = since(Millis(FAULT_MS + SILENCE_MS + 2_000)).max().unwrap_or(0);
        Outcome { linked_in_time, dials, late_dials }
    }

    fn is_linked(&self, process: &Process) -> bool {
        let leader = process.search.leader().and_then(|link| process.links.get(&link));
        leader == Some(&self.next)
    }

    fn handle(&mut self, now: Millis, index: usize, event: Event) {
        match event {
            Event::Tick => self.processes[index].search.tick(now),
            Event::Up(link) => {
                self.processes[index].search.link_up(now, link);
                self.tell(now, index, link);
            }
            Event::Down(link) => {
                self.processes[index].search.link_down(now, link);
            }
            Event::Lead(link) => self.tell(now, index, link),
        }
    }

    /// The replica at the other end says who leads, now and when that changes.
    fn tell(&mut self, now: Millis, index: usize, link: LinkKey) {
        let Some(replica) = self.processes[index].links.get(&link).copied() else { return };
        if !self.is_reachable(now, replica) {
            return;
        }
        let lead = self.lead(now, replica);
        self.processes[index].search.handle_lead(now, link, &lead);
        if now < self.elected + PROPAGATION_MS {
            let again = self.elected + PROPAGATION_MS + DELAY_MS;
            self.due.push(Reverse((again, index, Event::Lead(link))));
        }
    }

    fn lead(&self, now: Millis, replica: usize) -> Lead {
        let after = now >= self.elected + PROPAGATION_MS && !self.is_cut_off(now, replica);
        let timeout_ms = if replica == 0 { LEASE_MS } else { ELECTION_MS };
        let before = now < Millis(FAULT_MS + timeout_ms) && self.scenario.down_ms == 0;
        let leader = match (after, before) {
            (true, _) => Some(self.next),
            (false, true) => Some(0),
            (false, false) => None,
        };
        let knows = leader.map_or(String::new(), address);
        let leads = leader == Some(replica) && self.is_reachable(now, replica);
        let replicas = (0..self.scenario.replicas).map(address).collect();
        let term = if after { 2 } else { 1 };
        Lead { leader: knows, replicas, term, leads, ..Lead::default() }
    }

    fn is_cut_off(&self, now: Millis, replica: usize) -> bool {
        now >= Millis(FAULT_MS) && replica < self.scenario.cut
    }

    fn is_down(&self, now: Millis) -> bool {
        let fault = Millis(FAULT_MS);
        now >= fault && now < fault + self.scenario.down_ms
    }

    /// Whether a replica hears processes.
    fn is_reachable(&self, now: Millis, replica: usize) -> bool {
        let silent = self.is_cut_off(now, replica) && !self.scenario.split;
        replica < self.scenario.replicas && !silent && !self.is_down(now)
    }

    /// What a dial comes to, and when.
    fn dial_result(&mut self, now: Millis, replica: usize, link: LinkKey) -> (Millis, Event) {
        let busy = replica == self.next && now >= self.elected && now < self.elected + BUSY_MS;
        if busy && !self.scenario.reset {
            self.queued += 1;
            return match self.queued <= QUEUE {
                true => (self.elected + BUSY_MS, Event::Up(link)),
                false => (now + SILENCE_MS, Event::Down(link)),
            };
        }
        if self.is_reachable(now, replica) {
            (now + DELAY_MS, Event::Up(link))
        } else if self.is_down(now) {
            (now + DELAY_MS, Event::Down(link))
        } else {
            (now + SILENCE_MS, Event::Down(link))
        }
    }

    /// Links to replicas that are cut off fall silent, those to processes that ended break.
    fn break_links(&mut self) {
        let fault = Millis(FAULT_MS);
        for index in 0..self.processes.len() {
            let links: Vec<(LinkKey, usize)> =
                self.processes[index].links.iter().map(|(link, to)| (*link, *to)).collect();
            for (link, replica) in links {
                let silent = SILENCE_MS - self.rng.random_range(0..HEARTBEAT_MS);
                if self.scenario.split {
                    let at = fault + LEASE_MS + DELAY_MS;
                    self.due.push(Reverse((at, index, Event::Lead(link))));
                    continue;
                }
                let at = match self.scenario {
                    Scenario { down_ms: 1.., .. } | Scenario { reset: true, .. } => {
                        fault + DELAY_MS
                    }
                    _ if self.is_cut_off(fault, replica) => fault + silent,
                    _ => continue,
                };
                self.due.push(Reverse((at, index, Event::Down(link))));
            }
        }
    }

    fn execute(&mut self, now: Millis, index: usize) {
        for output in self.processes[index].search.outputs() {
            match output {
                Output::Dial { link, address: to } => {
                    let all = self.scenario.replicas + self.scenario.gone;
                    let replica = (0..all).find(|replica| address(*replica) == to);
                    let replica = replica.expect("a known address");
                    let process = &mut self.processes[index];
                    process.links.insert(link, replica);
                    process.dials.push(now);
                    let (at, event) = self.dial_result(now, replica, link);
                    self.due.push(Reverse((at, index, event)));
                }
                Output::Close(link) => {
                    self.processes[index].links.remove(&link);
                }
            }
        }
        if let Some(due) = self.processes[index].search.due() {
            self.due.push(Reverse((due.max(now + 1), index, Event::Tick)));
        }
    }
}

/// The most dials within any second that begins at `from` or later.
fn most_dials(dials: &[Millis], from: Millis) -> usize {
    let late: Vec<Millis> = dials.iter().copied().filter(|at| *at >= from).collect();
    let within_second = |(first, at): (usize, &Millis)| {
        late[first..].iter().take_while(|other| other.since(*at) < 1_000).count()
    };
    late.iter().enumerate().map(within_second).max().unwrap_or(0)
}
