//! Processes that search for the leader among replicas, in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use pond_link::LinkKey;
use pond_proto::fleet::LeaderInfo;
use pond_proto::{Millis, Span};
use pond_uplink::{Output, Search};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Time for a dial with its hello, or for one message, in milliseconds.
const DELAY_MS: Span = 3;

/// Time after which an unanswered dial or a silent link is given up, in milliseconds, the same as
/// in the real links.
const SILENCE_MS: Span = 800;

/// Time between heartbeats, in milliseconds. The silence on a link may have begun up to this long
/// before the fault.
const HEARTBEAT_MS: Span = 250;

/// Time of an election, in milliseconds. It takes up to four times as long if votes are split.
const ELECTION_MS: Span = 500;

/// When the fault occurs, in milliseconds: long after all processes are linked.
const FAULT_MS: Span = 5_000;

/// Time after which a leader without a majority resigns, in milliseconds. Followers without a
/// leader react after the time of an election.
const LEASE_MS: Span = 475;

/// Time until replicas hear of a new leader, in milliseconds.
const PROPAGATION_MS: Span = 5;

/// Time during which a new leader accepts no links, in milliseconds: it applies what it has read,
/// and may write a snapshot.
const BUSY_MS: Span = 30;

/// Number of dials that its accept queue holds meanwhile. Further dials get no answer.
const ACCEPT_QUEUE_LEN: usize = 128;

/// A scenario.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Number of replicas.
    pub replicas: usize,
    /// Number of replicas, including the leader, that are cut off from the processes and the other
    /// replicas.
    pub cut: usize,
    /// The replicas are cut off only from the other replicas. Processes reach all of them.
    pub split: bool,
    /// How long all replicas are down, in milliseconds. Zero if they are not.
    pub down_ms: Span,
    /// Number of known addresses whose machines are gone.
    pub gone: usize,
    /// Number of replicas that a process knows initially. Zero for all.
    pub initial: usize,
    /// Only the links to the leader break.
    pub reset: bool,
    /// Number of processes.
    pub processes: usize,
    /// Seed of the random generators.
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

/// Result of a scenario.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// Number of processes that were linked to the new leader in time.
    pub linked_in_time: usize,
    /// The most dials of one process within a second.
    pub dials: usize,
    /// The same after 2 s of search.
    pub late_dials: usize,
}

/// An event at a process.
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

/// The replicas, the processes and the scheduled events.
pub struct Simulation {
    scenario: Scenario,
    rng: StdRng,
    processes: Vec<Process>,
    due: BinaryHeap<Reverse<(Millis, usize, Event)>>,
    elected: Millis,
    /// The replica that leads after the fault.
    new_leader: usize,
    /// Number of dials queued at the new leader while it is busy.
    queued: usize,
}

fn address(replica: usize) -> String {
    format!("10.0.0.{replica}:80")
}

impl Simulation {
    /// Links all processes to replica 0, which leads until the fault.
    pub fn new(scenario: Scenario) -> Simulation {
        let mut rng = StdRng::seed_from_u64(scenario.seed);
        let back_at = FAULT_MS + scenario.down_ms;
        let election =
            if scenario.reset { 0 } else { rng.random_range(ELECTION_MS..4 * ELECTION_MS) };
        let elected = Millis(back_at + election);
        let new_leader = match scenario {
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
            new_leader,
            queued: 0,
        };
        for index in 0..scenario.processes {
            simulation.add_process(index);
        }
        simulation
    }

    fn add_process(&mut self, index: usize) {
        let Scenario { replicas, gone, initial, .. } = self.scenario;
        let known = if initial == 0 { replicas + gone } else { initial };
        let first = if initial == 0 { 0 } else { self.rng.random_range(0..replicas) };
        let addresses =
            (0..known).map(|offset| address((first + offset) % (replicas + gone))).collect();
        let search = Search::new(addresses, self.rng.random(), Millis(0));
        self.processes.push(Process { search, links: BTreeMap::new(), dials: Vec::new() });
        self.execute(Millis(0), index);
    }

    /// Runs until `bound_ms` after the election.
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
        leader == Some(&self.new_leader)
    }

    fn handle(&mut self, now: Millis, index: usize, event: Event) {
        match event {
            Event::Tick => self.processes[index].search.tick(now),
            Event::Up(link) => {
                self.processes[index].search.link_up(now, link);
                self.send_lead(now, index, link);
            }
            Event::Down(link) => {
                self.processes[index].search.link_down(now, link);
            }
            Event::Lead(link) => self.send_lead(now, index, link),
        }
    }

    /// Sends the state of the leader from the replica of a link, now and when it changes.
    fn send_lead(&mut self, now: Millis, index: usize, link: LinkKey) {
        let Some(replica) = self.processes[index].links.get(&link).copied() else { return };
        if !self.is_reachable(now, replica) {
            return;
        }
        let lead = self.lead_from(now, replica);
        self.processes[index].search.handle_lead(now, link, &lead);
        if now < self.elected + PROPAGATION_MS {
            let again = self.elected + PROPAGATION_MS + DELAY_MS;
            self.due.push(Reverse((again, index, Event::Lead(link))));
        }
    }

    fn lead_from(&self, now: Millis, replica: usize) -> LeaderInfo {
        let after = now >= self.elected + PROPAGATION_MS && !self.is_cut_off(now, replica);
        let timeout_ms = if replica == 0 { LEASE_MS } else { ELECTION_MS };
        let before = now < Millis(FAULT_MS + timeout_ms) && self.scenario.down_ms == 0;
        let leader = match (after, before) {
            (true, _) => Some(self.new_leader),
            (false, true) => Some(0),
            (false, false) => None,
        };
        let leader_address = leader.map_or(String::new(), address);
        let leads = leader == Some(replica) && self.is_reachable(now, replica);
        let replicas = (0..self.scenario.replicas).map(address).collect();
        let term = if after { 2 } else { 1 };
        LeaderInfo {
            leader: leader_address,
            replicas,
            term,
            is_leader: leads,
            ..LeaderInfo::default()
        }
    }

    fn is_cut_off(&self, now: Millis, replica: usize) -> bool {
        now >= Millis(FAULT_MS) && replica < self.scenario.cut
    }

    fn is_down(&self, now: Millis) -> bool {
        let fault = Millis(FAULT_MS);
        now >= fault && now < fault + self.scenario.down_ms
    }

    /// Returns whether processes reach a replica.
    fn is_reachable(&self, now: Millis, replica: usize) -> bool {
        let silent = self.is_cut_off(now, replica) && !self.scenario.split;
        replica < self.scenario.replicas && !silent && !self.is_down(now)
    }

    /// Returns the result of a dial and when it is known.
    fn dial_result(&mut self, now: Millis, replica: usize, link: LinkKey) -> (Millis, Event) {
        let busy =
            replica == self.new_leader && now >= self.elected && now < self.elected + BUSY_MS;
        if busy && !self.scenario.reset {
            self.queued += 1;
            return match self.queued <= ACCEPT_QUEUE_LEN {
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

    /// Makes links to replicas that are cut off silent, and breaks those to replicas that stopped.
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
                    let replica = replica.expect("unknown address");
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

/// Returns the most dials within any second that begins at `from` or later.
fn most_dials(dials: &[Millis], from: Millis) -> usize {
    let late: Vec<Millis> = dials.iter().copied().filter(|at| *at >= from).collect();
    let within_second = |(first, at): (usize, &Millis)| {
        late[first..].iter().take_while(|other| other.since(*at) < 1_000).count()
    };
    late.iter().enumerate().map(within_second).max().unwrap_or(0)
}
