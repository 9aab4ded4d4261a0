//! Replicas of the quorum on disks that forget, under a schedule of failures.
//!
//! Everything is driven by one seed: message delays, losses, duplicates, cuts, crashes with the
//! loss of unsynced writes, and clocks that drift. After every step the promises of the quorum are
//! checked against what was seen before.

mod carry;

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::sync::Arc;

use pond_proto::Millis;
use pond_proto::quorum::{Entry, Envelope, Member, Members};
use pond_quorum::{Core, Input, Role, SnapshotImage, Start, Tuning};
use pond_store::{Crash, Memory, Store, Writer};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Bytes of what was not synced that a loss of power may leave in a file: up to a few entries.
const TORN_BYTES: usize = 200;

/// Time between starts of a replica whose disk is full, in milliseconds.
const START_AGAIN_MS: u64 = 50;

/// Longest time that a disk is full, in milliseconds: several elections.
const FULL_MS: u64 = 3_000;

/// Longest time until a replica has power again, in milliseconds.
const BACK_MS: u64 = 1_000;

/// How often failures happen, each in thousandths of a millisecond step.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Share of messages that are lost, in thousandths.
    pub loss: u32,
    /// Share of messages that come twice, in thousandths.
    pub twice: u32,
    /// Longest delay of a message, in milliseconds.
    pub delay: u64,
    /// Chance of a crash in a step, in hundred-thousandths.
    pub crash: u32,
    /// Chance of a cut between two replicas in a step, in hundred-thousandths.
    pub cut: u32,
    /// How far a clock may run fast or slow, in thousandths.
    pub drift: u64,
    /// Entries after which a replica takes a snapshot.
    pub snapshot_every: u64,
    /// Chance of a full disk in a step, in hundred-thousandths.
    pub full: u32,
    /// Chance in a step that a machine is suspended for seconds, in hundred-thousandths.
    pub suspend: u32,
    /// Whether the clocks of replicas stand still meanwhile, as a steady clock does.
    pub steady: bool,
    /// Whether disks lie about syncing.
    pub lying_disks: bool,
}

impl Faults {
    /// Nothing goes wrong.
    pub fn none() -> Faults {
        Faults {
            loss: 0,
            twice: 0,
            delay: 2,
            crash: 0,
            cut: 0,
            drift: 0,
            snapshot_every: 1_000_000,
            full: 0,
            suspend: 0,
            steady: false,
            lying_disks: false,
        }
    }

    /// Everything goes wrong now and then.
    pub fn all() -> Faults {
        Faults {
            loss: 50,
            twice: 50,
            delay: 30,
            crash: 100,
            cut: 100,
            drift: 20,
            snapshot_every: 20,
            full: 5,
            suspend: 0,
            steady: false,
            lying_disks: false,
        }
    }
}

/// One replica, running or crashed.
struct Node {
    disk: Memory,
    running: Option<Running>,
    /// When a crashed one starts again.
    back: u64,
    /// Its process is killed when it has written entries the next time, before they are synced.
    dies_writing: bool,
    /// Until when its disk is full.
    full: u64,
    /// Its clock runs this many thousandths of the true one.
    rate: u64,
    /// Until when its machine is suspended.
    asleep: u64,
    /// Time that its clock has not counted.
    uncounted: u64,
}

struct Running {
    core: Core,
    writer: Writer<Envelope>,
    applied: u64,
    values: Vec<u64>,
}

/// A message on its way.
struct Flying {
    due: u64,
    letter: Envelope,
}

/// The replicas and what was seen of them.
pub struct Cluster {
    faults: Faults,
    rng: SmallRng,
    time: u64,
    nodes: BTreeMap<u64, Node>,
    members: Members,
    flying: Vec<Flying>,
    cuts: BTreeMap<(u64, u64), u64>,
    next_value: u64,
    next_ticket: u64,
    /// Proposals on their way: ticket to value.
    proposed: BTreeMap<u64, u64>,
    /// Places in the log: replica, index and term to value.
    placed: BTreeMap<(u64, u64, u64), u64>,
    /// Values whose proposer saw them applied at their place.
    accepted: BTreeMap<u64, u64>,
    /// What was applied at each index, by the first replica to do so.
    applied: BTreeMap<u64, Entry>,
    leaders: BTreeMap<u64, u64>,
    reads: BTreeMap<u64, u64>,
    /// Reads that were answered.
    pub reads_done: usize,
    /// What was found wrong, if anything.
    pub wrong: Option<String>,
}

impl Cluster {
    /// Replicas 1 to `count` under a seed.
    pub fn new(count: u64, seed: u64, faults: Faults) -> Cluster {
        let member =
            |id| Member { id, name: format!("control-{id}"), address: String::new(), voter: true };
        let members = Members::new((1..=count).map(member).collect());
        let mut cluster = Cluster {
            faults,
            rng: SmallRng::seed_from_u64(seed),
            time: 1000,
            nodes: BTreeMap::new(),
            members,
            flying: Vec::new(),
            cuts: BTreeMap::new(),
            next_value: 0,
            next_ticket: 0,
            proposed: BTreeMap::new(),
            placed: BTreeMap::new(),
            accepted: BTreeMap::new(),
            applied: BTreeMap::new(),
            leaders: BTreeMap::new(),
            reads: BTreeMap::new(),
            reads_done: 0,
            wrong: None,
        };
        for id in 1..=count {
            cluster.add_node(id);
        }
        cluster
    }

    fn add_node(&mut self, id: u64) {
        let disk = Memory::new();
        if self.faults.lying_disks {
            disk.ignore_syncs();
        }
        let drift = self.faults.drift;
        let rate = self.rng.random_range(1000 - drift..=1000 + drift);
        let node = Node {
            disk,
            running: None,
            back: 0,
            dies_writing: false,
            full: 0,
            rate,
            asleep: 0,
            uncounted: 0,
        };
        self.nodes.insert(id, node);
        self.start(id);
    }

    /// Adds a replica with an empty disk that is no member yet.
    pub fn add_stranger(&mut self, id: u64) {
        self.add_node(id);
    }

    fn start(&mut self, id: u64) {
        let Some(node) = self.nodes.get(&id) else { return };
        let now = self.now(id);
        let opened = Store::open(Box::new(node.disk.clone()));
        let (store, recovered) = match opened {
            Ok(opened) => opened,
            Err(pond_store::Error::Full { .. }) => return self.start_later(id),
            Err(error) => return self.fail(format!("replica {id} cannot start: {error}")),
        };
        let snapshot = recovered
            .snapshot
            .map(|snapshot| SnapshotImage { head: snapshot.head, data: Arc::new(snapshot.data) });
        let applied = snapshot.as_ref().map_or(0, |image| image.head.index);
        let values = snapshot.as_ref().map(|image| decode(&image.data)).unwrap_or_default();
        let member = self.members.get(id).is_some();
        let start = Start {
            id,
            hard: recovered.hard,
            snapshot,
            entries: recovered.entries,
            members: if member { self.members.clone() } else { Members::default() },
            seed: id * 7919 + self.time,
        };
        let core = Core::new(start, Tuning::default(), now);
        let writer = Writer::new(store.with_segment_bytes(2000));
        if let Some(node) = self.nodes.get_mut(&id) {
            node.running = Some(Running { core, writer, applied, values });
        }
    }

    /// Its disk has no room to start with.
    fn start_later(&mut self, id: u64) {
        let back = self.time + START_AGAIN_MS;
        if let Some(node) = self.nodes.get_mut(&id) {
            node.back = back;
        }
    }

    fn fail(&mut self, what: String) {
        self.wrong.get_or_insert(what);
    }

    /// Crashes a replica; it starts again after `wait` milliseconds.
    pub fn crash(&mut self, id: u64, wait: u64) {
        let time = self.time;
        let crash = match self.rng.random_range(0..3) {
            0 => Crash::DropUnsynced,
            1 => Crash::KeepBytes(self.rng.random_range(0..200)),
            _ => Crash::KeepAll,
        };
        let Some(node) = self.nodes.get_mut(&id) else { return };
        if node.running.take().is_some() {
            node.disk.crash(crash);
        }
        node.back = time + wait;
    }

    /// Loses a replica's disk, which comes back under the identity `new` with an empty one, and cuts
    /// the power of all others at the same moment: nothing lasts but what was synced, and perhaps
    /// the beginning of what was not. All come back within a second, in any order.
    pub fn lose_power(&mut self, lost: u64, new: u64) {
        self.lose_disk(lost, new);
        self.flying.clear();
        let ids: Vec<u64> = self.nodes.keys().copied().collect();
        for id in ids {
            let torn = Crash::KeepBytes(self.rng.random_range(0..TORN_BYTES));
            let crash = if self.rng.random() { Crash::DropUnsynced } else { torn };
            let back = self.time + self.rng.random_range(0..BACK_MS);
            let Some(node) = self.nodes.get_mut(&id) else { continue };
            node.running = None;
            node.disk.crash(crash);
            node.back = back;
        }
    }

    /// Goes on until the next value is accepted, for so long at most, with `pause` milliseconds
    /// between proposals; whether one was accepted.
    pub fn run_until_accepted(&mut self, ms: u64, pause: Range<u64>) -> bool {
        let (accepted, until) = (self.accepted.len(), self.time + ms);
        let mut next = self.time;
        while self.accepted.len() == accepted && self.time < until && self.wrong.is_none() {
            if let Some(leader) = self.leader().filter(|_| self.time >= next) {
                self.propose(leader);
                next = self.time + self.rng.random_range(pause.clone());
            }
            self.run(1);
        }
        self.accepted.len() > accepted
    }

    /// Kills a replica's process when it has written entries the next time and not synced them; it
    /// starts again at once.
    pub fn kill_writing(&mut self, id: u64) {
        if let Some(node) = self.nodes.get_mut(&id) {
            node.dies_writing = true;
        }
    }

    /// Loses a replica's disk; it comes back under the identity `new` with an empty one.
    pub fn lose_disk(&mut self, id: u64, new: u64) {
        self.nodes.remove(&id);
        self.add_node(new);
    }

    /// A copy of a replica's disk as it is now.
    pub fn copy_disk(&self, id: u64) -> Option<Memory> {
        self.nodes.get(&id).map(|node| node.disk.copy())
    }

    /// Stops a replica and starts it again on another disk.
    pub fn put_disk(&mut self, id: u64, disk: Memory) {
        if let Some(node) = self.nodes.get_mut(&id) {
            node.running = None;
            node.disk = disk;
        }
        self.start(id);
    }

    /// Lets a replica's disk be full for `wait` milliseconds.
    pub fn fill(&mut self, id: u64, wait: u64) {
        let until = self.time + wait;
        if let Some(node) = self.nodes.get_mut(&id) {
            node.full = node.full.max(until);
            node.disk.fail_as_full(0..u64::MAX);
        }
    }

    /// Gives disks room again whose time has come.
    fn empty(&mut self) {
        let time = self.time;
        for node in self.nodes.values_mut().filter(|node| node.full > 0 && node.full <= time) {
            node.full = 0;
            node.disk.fail_as_full(0..0);
        }
    }

    /// Cuts two replicas off from each other for `wait` milliseconds.
    pub fn cut(&mut self, a: u64, b: u64, wait: u64) {
        self.cuts.insert((a.min(b), a.max(b)), self.time + wait);
    }

    /// Cuts one replica off from all others for `wait` milliseconds.
    pub fn isolate(&mut self, id: u64, wait: u64) {
        let others: Vec<u64> = self.nodes.keys().copied().filter(|other| *other != id).collect();
        others.into_iter().for_each(|other| self.cut(id, other, wait));
    }

    /// The replica that leads and is ready, with the highest term.
    pub fn leader(&self) -> Option<u64> {
        let running = self.nodes.iter().filter_map(|(id, node)| Some((id, node.running.as_ref()?)));
        let ready = running.filter(|(_, running)| running.core.ready());
        ready.max_by_key(|(_, running)| running.core.term()).map(|(id, _)| *id)
    }

    /// The core of a running replica.
    pub fn core(&self, id: u64) -> Option<&Core> {
        self.nodes.get(&id)?.running.as_ref().map(|running| &running.core)
    }

    /// Gives an input to a replica.
    pub fn input(&mut self, id: u64, input: Input) {
        let now = self.now(id);
        if self.asleep(id).is_some() {
            // Clients get no answer.
            return;
        }
        if let Some(running) = self.nodes.get_mut(&id).and_then(|node| node.running.as_mut()) {
            running.core.step(now, input);
        }
    }

    /// Proposes the next value to a replica.
    pub fn propose(&mut self, id: u64) {
        self.next_value += 1;
        self.next_ticket += 1;
        let (ticket, value) = (self.next_ticket, self.next_value);
        self.proposed.insert(ticket, value);
        self.input(id, Input::Propose { ticket, data: value.to_be_bytes().to_vec() });
    }

    /// Reads at a replica: the read must see all that is accepted now.
    pub fn read(&mut self, id: u64) {
        self.next_ticket += 1;
        let floor = self.accepted.values().copied().max().unwrap_or(0);
        self.reads.insert(self.next_ticket, floor);
        self.input(id, Input::Read { ticket: self.next_ticket });
    }

    /// How many values were accepted.
    pub fn accepted(&self) -> usize {
        self.accepted.len()
    }

    /// The values applied at a replica, in order.
    pub fn values(&self, id: u64) -> Vec<u64> {
        let running = self.nodes.get(&id).and_then(|node| node.running.as_ref());
        running.map(|running| running.values.clone()).unwrap_or_default()
    }

    fn now(&self, id: u64) -> Millis {
        let (rate, uncounted) =
            self.nodes.get(&id).map_or((1000, 0), |node| (node.rate, node.uncounted));
        Millis((self.time - uncounted) * rate / 1000)
    }

    /// Suspends the machine of a replica for `wait` milliseconds. What is sent to it comes when it wakes.
    pub fn suspend(&mut self, id: u64, wait: u64) {
        let (until, steady) = (self.time + wait, self.faults.steady);
        let Some(node) = self.nodes.get_mut(&id) else { return };
        if node.asleep > self.time {
            return;
        }
        node.asleep = until;
        node.uncounted += if steady { wait } else { 0 };
    }

    /// Until when the machine of a replica is suspended, if it is.
    fn asleep(&self, id: u64) -> Option<u64> {
        self.nodes.get(&id).map(|node| node.asleep).filter(|until| *until > self.time)
    }

    /// Lets `ms` milliseconds pass with load and failures, one at a time.
    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            if self.wrong.is_some() {
                return;
            }
            self.time += 1;
            self.break_things();
            self.deliver();
            let ids: Vec<u64> = self.nodes.keys().copied().collect();
            for id in ids {
                self.step(id);
            }
            self.check_leases();
        }
    }

    /// Lets time pass while clients propose and read.
    pub fn run_under_load(&mut self, ms: u64) {
        let mut passed = 0;
        while passed < ms && self.wrong.is_none() {
            let ids: Vec<u64> = self.nodes.keys().copied().collect();
            let id = ids[self.rng.random_range(0..ids.len())];
            if self.rng.random_bool(0.8) {
                self.propose(id)
            } else {
                self.read(id)
            }
            let pause = self.rng.random_range(1..15);
            self.run(pause);
            passed += pause;
        }
    }

    fn break_things(&mut self) {
        let ids: Vec<u64> = self.nodes.keys().copied().collect();
        for id in &ids {
            if self.rng.random_range(0..100_000) < self.faults.crash {
                let wait = self.rng.random_range(10..2000);
                self.crash(*id, wait);
            }
        }
        for id in &ids {
            if self.faults.full > 0 && self.rng.random_range(0..100_000) < self.faults.full {
                let wait = self.rng.random_range(10..FULL_MS);
                self.fill(*id, wait);
            }
        }
        for id in &ids {
            if self.faults.suspend > 0 && self.rng.random_range(0..100_000) < self.faults.suspend {
                let wait = self.rng.random_range(1_000..10_000);
                self.suspend(*id, wait);
            }
        }
        self.empty();
        if self.rng.random_range(0..100_000) < self.faults.cut {
            let a = ids[self.rng.random_range(0..ids.len())];
            let b = ids[self.rng.random_range(0..ids.len())];
            let wait = self.rng.random_range(50..3000);
            self.cut(a, b, wait);
        }
    }

    fn deliver(&mut self) {
        let time = self.time;
        let (due, later) =
            std::mem::take(&mut self.flying).into_iter().partition(|f| f.due <= time);
        self.flying = later;
        let due: Vec<Flying> = due;
        for Flying { letter, .. } in due {
            let pair = (letter.from.min(letter.to), letter.from.max(letter.to));
            if self.cuts.get(&pair).is_some_and(|until| time < *until) {
                continue;
            }
            if let Some(due) = self.asleep(letter.to) {
                self.flying.push(Flying { due, letter });
                continue;
            }
            self.input(letter.to, Input::Message(letter));
        }
    }

    fn step(&mut self, id: u64) {
        let time = self.time;
        let Some(node) = self.nodes.get(&id).filter(|node| node.asleep <= time) else { return };
        if node.running.is_none() {
            if node.back <= time {
                self.start(id);
            }
            return;
        }
        // A candidate whose vote for itself cannot last can win nothing.
        let abstains = self
            .running(id)
            .is_some_and(|running| running.writer.full() && running.core.role() != Role::Leader);
        if !abstains {
            self.input(id, Input::Tick);
        }
        if self.running(id).is_some_and(|running| running.writer.full()) {
            self.flush(id);
        }
        for _ in 0..8 {
            let now = self.now(id);
            let running = self.nodes.get_mut(&id).and_then(|node| node.running.as_mut());
            let Some(running) = running else { return };
            let outputs = running.core.outputs(now);
            if outputs.is_empty() {
                return;
            }
            self.carry_out(id, outputs);
        }
    }

    fn running(&self, id: u64) -> Option<&Running> {
        self.nodes.get(&id)?.running.as_ref()
    }

    fn check_leader(&mut self, id: u64) {
        let Some(core) = self.core(id).filter(|core| core.role() == Role::Leader) else { return };
        let term = core.term();
        let first = *self.leaders.entry(term).or_insert(id);
        if first != id {
            self.fail(format!("replicas {first} and {id} both lead in term {term}"));
        }
    }

    /// At most one replica believes that no other can lead.
    fn check_leases(&mut self) {
        let holds = |id: &u64| {
            let core = self.core(*id)?;
            core.lease_until().filter(|until| self.now(*id) < *until)
        };
        let awake = self.nodes.keys().copied().filter(|id| self.asleep(*id).is_none());
        let holders: BTreeSet<u64> = awake.filter(|id| holds(id).is_some()).collect();
        if holders.len() > 1 {
            self.fail(format!("replicas {holders:?} hold the lease at the same time"));
        }
    }

    /// Ends all failures, waits until all agree, and checks that nothing accepted is lost.
    pub fn settle(&mut self) {
        self.faults = Faults { snapshot_every: self.faults.snapshot_every, ..Faults::none() };
        self.cuts.clear();
        for node in self.nodes.values_mut() {
            node.back = node.back.min(self.time);
            node.full = node.full.min(self.time);
            node.asleep = node.asleep.min(self.time);
        }
        self.run(6000);
        let Some(leader) = self.leader() else {
            return self.fail("there is no leader though nothing fails any more".to_owned());
        };
        self.propose(leader);
        self.run(1000);
        let lists: Vec<(u64, Vec<u64>)> = self
            .nodes
            .keys()
            .filter(|id| self.core(leader).is_some_and(|core| core.members().is_voter(**id)))
            .map(|id| (*id, self.values(*id)))
            .collect();
        let longest = lists.iter().map(|(_, list)| list.clone()).max_by_key(Vec::len);
        let longest = longest.unwrap_or_default();
        for (id, list) in &lists {
            if *list != longest {
                let (have, all) = (list.len(), longest.len());
                self.fail(format!("replica {id} holds {have} values of {all}"));
            }
        }
        let held: BTreeSet<u64> = longest.iter().copied().collect();
        if held.len() != longest.len() {
            self.fail("a value was applied twice".to_owned());
        }
        let lost: Vec<u64> =
            self.accepted.keys().copied().filter(|value| !held.contains(value)).collect();
        if !lost.is_empty() {
            self.fail(format!("accepted values are lost: {lost:?}"));
        }
    }
}

fn value(data: &[u8]) -> Option<u64> {
    data.try_into().ok().map(u64::from_be_bytes)
}

fn encode(values: &[u64]) -> Vec<u8> {
    values.iter().flat_map(|value| value.to_be_bytes()).collect()
}

fn decode(data: &[u8]) -> Vec<u64> {
    data.chunks_exact(8).filter_map(value).collect()
}
