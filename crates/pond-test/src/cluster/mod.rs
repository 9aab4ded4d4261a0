//! A simulated cluster of quorum replicas with fault injection.
//!
//! One seed determines all message delays, losses and duplicates, partitions, crashes with loss of
//! unsynced writes, and clock drift. The invariants of the quorum are checked after every step.

mod output;

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::sync::Arc;

use pond_proto::Millis;
use pond_proto::quorum::{Entry, Envelope, Member, Members};
use pond_quorum::{Core, Input, Role, SnapshotImage, Start, Tuning};
use pond_store::{Crash, Memory, Store, Writer};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Maximum number of unsynced bytes that a power loss leaves in a file: a few entries.
const MAX_TORN_BYTES: usize = 200;

/// Time between start attempts of a replica whose disk is full, in milliseconds.
const RESTART_INTERVAL_MS: u64 = 50;

/// Maximum time that a disk is full, in milliseconds: several elections.
const MAX_DISK_FULL_MS: u64 = 3_000;

/// Maximum time until a replica has power again, in milliseconds.
const MAX_POWER_OUTAGE_MS: u64 = 1_000;

/// Fault rates and magnitudes. A step is one millisecond.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Fraction of messages that are lost, in thousandths.
    pub loss: u32,
    /// Fraction of messages that are duplicated, in thousandths.
    pub duplicate: u32,
    /// Maximum delay of a message, in milliseconds.
    pub max_delay_ms: u64,
    /// Probability that a replica crashes in a step, in hundred-thousandths.
    pub crash: u32,
    /// Probability of a partition between two replicas in a step, in hundred-thousandths.
    pub partition: u32,
    /// Maximum clock drift in either direction, in thousandths.
    pub drift: u64,
    /// Number of entries between snapshots of a replica.
    pub snapshot_every: u64,
    /// Probability that a disk becomes full in a step, in hundred-thousandths.
    pub disk_full: u32,
    /// Probability that a machine is suspended for seconds in a step, in hundred-thousandths.
    pub suspend: u32,
    /// Whether the clocks of replicas stop during a suspension, as `std::time::Instant` does.
    pub clocks_stop: bool,
    /// Whether disks report a sync that they did not make.
    pub lying_disks: bool,
}

impl Faults {
    /// Returns settings without faults.
    pub fn none() -> Faults {
        Faults {
            loss: 0,
            duplicate: 0,
            max_delay_ms: 2,
            crash: 0,
            partition: 0,
            drift: 0,
            snapshot_every: 1_000_000,
            disk_full: 0,
            suspend: 0,
            clocks_stop: false,
            lying_disks: false,
        }
    }

    /// Returns settings with all faults except suspensions and disks that fail to sync.
    pub fn all() -> Faults {
        Faults {
            loss: 50,
            duplicate: 50,
            max_delay_ms: 30,
            crash: 100,
            partition: 100,
            drift: 20,
            snapshot_every: 20,
            disk_full: 5,
            suspend: 0,
            clocks_stop: false,
            lying_disks: false,
        }
    }
}

/// Replica, running or crashed.
struct Node {
    disk: Memory,
    running: Option<Running>,
    /// Number of starts of the process.
    starts: u64,
    /// Time at which the replica restarts after a crash.
    restart_at: u64,
    /// Whether the process is killed after its next write of entries, before the sync.
    kill_before_sync: bool,
    /// Time until which the disk is full.
    full_until: u64,
    /// Rate of the clock, in thousandths of the true rate.
    rate: u64,
    /// Time until which the machine is suspended.
    suspended_until: u64,
    /// Suspended time that the clock has not counted, in milliseconds.
    suspended_ms: u64,
}

struct Running {
    core: Core,
    writer: Writer<Envelope>,
    applied: u64,
    values: Vec<u64>,
}

/// Message in flight.
struct InFlight {
    due: u64,
    message: Envelope,
}

/// Simulated cluster with the observations that the invariants are checked against.
pub struct Cluster {
    faults: Faults,
    tuning: Tuning,
    rng: SmallRng,
    time: u64,
    nodes: BTreeMap<u64, Node>,
    members: Members,
    in_flight: Vec<InFlight>,
    partitions: BTreeMap<(u64, u64), u64>,
    /// Pairs of a sender and a receiver without a link.
    disconnected: BTreeSet<(u64, u64)>,
    next_value: u64,
    next_ticket: u64,
    /// Open proposals: ticket to value.
    proposals: BTreeMap<u64, u64>,
    /// Proposals appended to a log: replica, index and term to value.
    log_positions: BTreeMap<(u64, u64, u64), u64>,
    /// Values that their proposer applied at the proposed position: value to index.
    accepted: BTreeMap<u64, u64>,
    /// Entry at each index, as applied by the first replica that did so.
    applied: BTreeMap<u64, Entry>,
    leaders: BTreeMap<u64, u64>,
    reads: BTreeMap<u64, u64>,
    /// Number of completed reads.
    pub completed_reads: usize,
    /// First violation of an invariant, if any.
    pub violation: Option<String>,
}

impl Cluster {
    /// Creates a cluster of replicas 1 to `count`, all of them members.
    pub fn new(count: u64, seed: u64, faults: Faults) -> Cluster {
        let members = (1..=count).map(|id| Member { voter: true, ..Cluster::member(id) });
        let members = Members::new(members.collect());
        let mut cluster = Cluster {
            faults,
            tuning: Tuning::default(),
            rng: SmallRng::seed_from_u64(seed),
            time: 1000,
            nodes: BTreeMap::new(),
            members,
            in_flight: Vec::new(),
            partitions: BTreeMap::new(),
            disconnected: BTreeSet::new(),
            next_value: 0,
            next_ticket: 0,
            proposals: BTreeMap::new(),
            log_positions: BTreeMap::new(),
            accepted: BTreeMap::new(),
            applied: BTreeMap::new(),
            leaders: BTreeMap::new(),
            reads: BTreeMap::new(),
            completed_reads: 0,
            violation: None,
        };
        for id in 1..=count {
            cluster.add_node(id);
        }
        cluster
    }

    /// Uses other timeouts, of which all replicas start anew.
    pub fn with_tuning(mut self, tuning: Tuning) -> Cluster {
        self.tuning = tuning;
        let ids: Vec<u64> = self.nodes.keys().copied().collect();
        ids.into_iter().for_each(|id| self.start(id));
        self
    }

    /// Returns a replica as a learner, at an address of its own that is also its name.
    pub fn member(id: u64) -> Member {
        let name = format!("control-{id}");
        Member { id, address: name.clone(), name, voter: false }
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
            starts: 0,
            restart_at: 0,
            kill_before_sync: false,
            full_until: 0,
            rate,
            suspended_until: 0,
            suspended_ms: 0,
        };
        self.nodes.insert(id, node);
        self.start(id);
    }

    /// Adds a replica with an empty disk that is not a member.
    pub fn add_non_member(&mut self, id: u64) {
        self.add_node(id);
    }

    fn start(&mut self, id: u64) {
        let Some(node) = self.nodes.get(&id) else { return };
        let now = self.now(id);
        let opened = Store::open(Box::new(node.disk.clone()));
        let (store, recovered) = match opened {
            Ok(opened) => opened,
            Err(pond_store::Error::Full { .. }) => return self.schedule_restart(id),
            Err(error) => return self.set_violation(format!("replica {id} cannot start: {error}")),
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
        let core = Core::new(start, self.tuning, now);
        let writer = Writer::new(store.with_segment_bytes(2000));
        if let Some(node) = self.nodes.get_mut(&id) {
            node.running = Some(Running { core, writer, applied, values });
            node.starts += 1;
        }
    }

    /// Schedules the next start attempt of a replica whose disk is full.
    fn schedule_restart(&mut self, id: u64) {
        let restart_at = self.time + RESTART_INTERVAL_MS;
        if let Some(node) = self.nodes.get_mut(&id) {
            node.restart_at = restart_at;
        }
    }

    fn set_violation(&mut self, violation: String) {
        self.violation.get_or_insert(violation);
    }

    /// Crashes a replica, which restarts after `wait` milliseconds.
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
        node.restart_at = time + wait;
    }

    /// Destroys the disk of replica `lost`, which returns as `new` with an empty disk, and cuts the
    /// power of all others at the same time. Only synced data survives, and possibly the beginning
    /// of unsynced data. All replicas restart within a second, in any order.
    pub fn lose_power(&mut self, lost: u64, new: u64) {
        self.lose_power_and_disks(&[(lost, new)]);
    }

    /// Like [`Cluster::lose_power`], with any number of destroyed disks, each with the replica that returns.
    pub fn lose_power_and_disks(&mut self, lost: &[(u64, u64)]) {
        lost.iter().for_each(|(lost, new)| self.lose_disk(*lost, *new));
        self.in_flight.clear();
        let ids: Vec<u64> = self.nodes.keys().copied().collect();
        for id in ids {
            let torn = Crash::KeepBytes(self.rng.random_range(0..MAX_TORN_BYTES));
            let crash = if self.rng.random() { Crash::DropUnsynced } else { torn };
            let restart_at = self.time + self.rng.random_range(0..MAX_POWER_OUTAGE_MS);
            let Some(node) = self.nodes.get_mut(&id) else { continue };
            node.running = None;
            node.disk.crash(crash);
            node.restart_at = restart_at;
        }
    }

    /// Runs until the next value is accepted, for at most `ms` milliseconds, with `pause` milliseconds
    /// between proposals. Returns whether a value was accepted.
    pub fn run_until_accepted(&mut self, ms: u64, pause: Range<u64>) -> bool {
        let (accepted, until) = (self.accepted.len(), self.time + ms);
        let mut next = self.time;
        while self.accepted.len() == accepted && self.time < until && self.violation.is_none() {
            if let Some(leader) = self.leader().filter(|_| self.time >= next) {
                self.propose(leader);
                next = self.time + self.rng.random_range(pause.clone());
            }
            self.run(1);
        }
        self.accepted.len() > accepted
    }

    /// Kills the process of a replica after its next write of entries, before the sync. It restarts at
    /// once.
    pub fn kill_before_sync(&mut self, id: u64) {
        if let Some(node) = self.nodes.get_mut(&id) {
            node.kill_before_sync = true;
        }
    }

    /// Destroys the disk of a replica, which returns as `new` with an empty disk.
    pub fn lose_disk(&mut self, id: u64, new: u64) {
        self.nodes.remove(&id);
        self.add_node(new);
    }

    /// Removes a replica with its disk for good.
    pub fn remove_node(&mut self, id: u64) {
        self.nodes.remove(&id);
    }

    /// Returns a copy of the current disk of a replica.
    pub fn copy_disk(&self, id: u64) -> Option<Memory> {
        self.nodes.get(&id).map(|node| node.disk.copy())
    }

    /// Restarts a replica with another disk.
    pub fn replace_disk(&mut self, id: u64, disk: Memory) {
        if let Some(node) = self.nodes.get_mut(&id) {
            node.running = None;
            node.disk = disk;
        }
        self.start(id);
    }

    /// Makes the disk of a replica full for `wait` milliseconds.
    pub fn fill_disk(&mut self, id: u64, wait: u64) {
        let until = self.time + wait;
        if let Some(node) = self.nodes.get_mut(&id) {
            node.full_until = node.full_until.max(until);
            node.disk.fail_as_full(0..u64::MAX);
        }
    }

    /// Frees the disks that are no longer full.
    fn free_disks(&mut self) {
        let time = self.time;
        for node in
            self.nodes.values_mut().filter(|node| node.full_until > 0 && node.full_until <= time)
        {
            node.full_until = 0;
            node.disk.fail_as_full(0..0);
        }
    }

    /// Partitions two replicas from each other for `wait` milliseconds.
    pub fn partition(&mut self, a: u64, b: u64, wait: u64) {
        self.partitions.insert((a.min(b), a.max(b)), self.time + wait);
    }

    /// Partitions a replica from all others for `wait` milliseconds.
    pub fn isolate(&mut self, id: u64, wait: u64) {
        let others: Vec<u64> = self.nodes.keys().copied().filter(|other| *other != id).collect();
        others.into_iter().for_each(|other| self.partition(id, other, wait));
    }

    /// Whether two replicas are partitioned from each other.
    pub fn partitioned(&self, a: u64, b: u64) -> bool {
        self.partitions.get(&(a.min(b), a.max(b))).is_some_and(|until| self.time < *until)
    }

    /// Sets whether there is a link on which a replica sends messages to another. Without one they are lost.
    pub fn set_link(&mut self, from: u64, to: u64, up: bool) {
        if up {
            self.disconnected.remove(&(from, to));
        } else {
            self.disconnected.insert((from, to));
        }
    }

    /// Returns the ready leader with the highest term.
    pub fn leader(&self) -> Option<u64> {
        let running = self.nodes.iter().filter_map(|(id, node)| Some((id, node.running.as_ref()?)));
        let ready = running.filter(|(_, running)| running.core.ready());
        ready.max_by_key(|(_, running)| running.core.term()).map(|(id, _)| *id)
    }

    /// Returns the core of a running replica.
    pub fn core(&self, id: u64) -> Option<&Core> {
        self.nodes.get(&id)?.running.as_ref().map(|running| &running.core)
    }

    /// Returns how often the process of a replica has started; `None` while it is not running.
    pub fn starts(&self, id: u64) -> Option<u64> {
        let node = self.nodes.get(&id)?;
        node.running.as_ref().map(|_| node.starts)
    }

    /// Whether a replica runs and its machine is not suspended.
    pub fn is_active(&self, id: u64) -> bool {
        self.running(id).is_some() && self.suspended_until(id).is_none()
    }

    /// Passes an input to a replica, unless it is suspended or not running.
    pub fn input(&mut self, id: u64, input: Input) {
        let now = self.now(id);
        if self.suspended_until(id).is_some() {
            // Clients of a suspended replica get no answer.
            return;
        }
        if let Some(running) = self.nodes.get_mut(&id).and_then(|node| node.running.as_mut()) {
            running.core.step(now, input);
        }
    }

    /// Proposes the next value at a replica.
    pub fn propose(&mut self, id: u64) {
        self.next_value += 1;
        self.next_ticket += 1;
        let (ticket, value) = (self.next_ticket, self.next_value);
        self.proposals.insert(ticket, value);
        self.input(id, Input::Propose { ticket, data: value.to_be_bytes().to_vec() });
    }

    /// Reads at a replica. The read must see all values accepted so far.
    pub fn read(&mut self, id: u64) {
        self.next_ticket += 1;
        let min_index = self.accepted.values().copied().max().unwrap_or(0);
        self.reads.insert(self.next_ticket, min_index);
        self.input(id, Input::Read { ticket: self.next_ticket });
    }

    /// Returns the accepted values that are not applied at a replica.
    pub fn missing_values(&self, id: u64) -> Vec<u64> {
        let applied: BTreeSet<u64> = self.values(id).into_iter().collect();
        self.accepted.keys().copied().filter(|value| !applied.contains(value)).collect()
    }

    /// Returns the number of accepted values.
    pub fn accepted(&self) -> usize {
        self.accepted.len()
    }

    /// Returns the values applied at a replica, in order.
    pub fn values(&self, id: u64) -> Vec<u64> {
        let running = self.nodes.get(&id).and_then(|node| node.running.as_ref());
        running.map(|running| running.values.clone()).unwrap_or_default()
    }

    /// Returns the true time, in milliseconds.
    pub fn time(&self) -> u64 {
        self.time
    }

    /// Returns the time on the clock of a replica.
    pub fn now(&self, id: u64) -> Millis {
        let (rate, suspended_ms) =
            self.nodes.get(&id).map_or((1000, 0), |node| (node.rate, node.suspended_ms));
        Millis((self.time - suspended_ms) * rate / 1000)
    }

    /// Suspends the machine of a replica for `wait` milliseconds. Messages to it arrive when it
    /// resumes.
    pub fn suspend(&mut self, id: u64, wait: u64) {
        let (until, clocks_stop) = (self.time + wait, self.faults.clocks_stop);
        let Some(node) = self.nodes.get_mut(&id) else { return };
        if node.suspended_until > self.time {
            return;
        }
        node.suspended_until = until;
        node.suspended_ms += if clocks_stop { wait } else { 0 };
    }

    /// Returns the time until which the machine of a replica is suspended, if it is.
    fn suspended_until(&self, id: u64) -> Option<u64> {
        self.nodes.get(&id).map(|node| node.suspended_until).filter(|until| *until > self.time)
    }

    /// Runs for `ms` milliseconds with faults, without load from clients.
    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            if self.violation.is_some() {
                return;
            }
            self.time += 1;
            self.inject_faults();
            self.deliver();
            let ids: Vec<u64> = self.nodes.keys().copied().collect();
            for id in ids {
                self.step(id);
            }
            self.check_leases();
        }
    }

    /// Runs for `ms` milliseconds while clients propose and read.
    pub fn run_under_load(&mut self, ms: u64) {
        let mut passed = 0;
        while passed < ms && self.violation.is_none() {
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

    fn inject_faults(&mut self) {
        let ids: Vec<u64> = self.nodes.keys().copied().collect();
        for id in &ids {
            if self.rng.random_range(0..100_000) < self.faults.crash {
                let wait = self.rng.random_range(10..2000);
                self.crash(*id, wait);
            }
        }
        for id in &ids {
            if self.faults.disk_full > 0
                && self.rng.random_range(0..100_000) < self.faults.disk_full
            {
                let wait = self.rng.random_range(10..MAX_DISK_FULL_MS);
                self.fill_disk(*id, wait);
            }
        }
        for id in &ids {
            if self.faults.suspend > 0 && self.rng.random_range(0..100_000) < self.faults.suspend {
                let wait = self.rng.random_range(1_000..10_000);
                self.suspend(*id, wait);
            }
        }
        self.free_disks();
        if self.rng.random_range(0..100_000) < self.faults.partition {
            let a = ids[self.rng.random_range(0..ids.len())];
            let b = ids[self.rng.random_range(0..ids.len())];
            let wait = self.rng.random_range(50..3000);
            self.partition(a, b, wait);
        }
    }

    fn deliver(&mut self) {
        let time = self.time;
        let (due, later) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|f| f.due <= time);
        self.in_flight = later;
        let due: Vec<InFlight> = due;
        for InFlight { message, .. } in due {
            let (from, to) = (message.from, message.to);
            if self.partitioned(from, to) || self.disconnected.contains(&(from, to)) {
                continue;
            }
            if let Some(due) = self.suspended_until(message.to) {
                self.in_flight.push(InFlight { due, message });
                continue;
            }
            self.input(message.to, Input::Message(message));
        }
    }

    fn step(&mut self, id: u64) {
        let time = self.time;
        let Some(node) = self.nodes.get(&id).filter(|node| node.suspended_until <= time) else {
            return;
        };
        if node.running.is_none() {
            if node.restart_at <= time {
                self.start(id);
            }
            return;
        }
        // A candidate cannot win if it cannot store the vote for itself.
        let skips_tick = self
            .running(id)
            .is_some_and(|running| running.writer.full() && running.core.role() != Role::Leader);
        if !skips_tick {
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
            self.handle_outputs(id, outputs);
        }
    }

    fn running(&self, id: u64) -> Option<&Running> {
        self.nodes.get(&id)?.running.as_ref()
    }

    fn check_single_leader(&mut self, id: u64) {
        let Some(core) = self.core(id).filter(|core| core.role() == Role::Leader) else { return };
        let term = core.term();
        let first = *self.leaders.entry(term).or_insert(id);
        if first != id {
            self.set_violation(format!("replicas {first} and {id} both lead in term {term}"));
        }
    }

    /// Checks that at most one replica that is not suspended holds the lease.
    fn check_leases(&mut self) {
        let holds_lease = |id: &u64| {
            let core = self.core(*id)?;
            core.lease_until().filter(|until| self.now(*id) < *until)
        };
        let not_suspended =
            self.nodes.keys().copied().filter(|id| self.suspended_until(*id).is_none());
        let lease_holders: BTreeSet<u64> =
            not_suspended.filter(|id| holds_lease(id).is_some()).collect();
        if lease_holders.len() > 1 {
            self.set_violation(format!(
                "replicas {lease_holders:?} hold the lease at the same time"
            ));
        }
    }

    /// Ends all faults, waits until all replicas agree, and checks that no accepted value is lost.
    pub fn heal_and_check(&mut self) {
        self.faults = Faults { snapshot_every: self.faults.snapshot_every, ..Faults::none() };
        self.partitions.clear();
        self.disconnected.clear();
        for node in self.nodes.values_mut() {
            node.restart_at = node.restart_at.min(self.time);
            node.full_until = node.full_until.min(self.time);
            node.suspended_until = node.suspended_until.min(self.time);
        }
        self.run(6000);
        let Some(leader) = self.leader() else {
            return self
                .set_violation("there is no leader although all faults have ended".to_owned());
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
                self.set_violation(format!("replica {id} holds {have} values of {all}"));
            }
        }
        let applied: BTreeSet<u64> = longest.iter().copied().collect();
        if applied.len() != longest.len() {
            self.set_violation("a value was applied twice".to_owned());
        }
        let lost: Vec<u64> =
            self.accepted.keys().copied().filter(|value| !applied.contains(value)).collect();
        if !lost.is_empty() {
            self.set_violation(format!("accepted values are lost: {lost:?}"));
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
