//! A simulated quorum whose machines are replaced, with what callers and the settings promise of it.

use pond_quorum::{Input, Role, Tuning};
use pond_test::{Cluster, Faults};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::host::Host;
use crate::network::Network;

/// Time after its start from which a machine no longer counts as lost, nor does the one that it replaces; in
/// milliseconds.
pub const CATCH_UP_MS: u64 = 4_000;

/// Maximum time until a leader is elected after faults that affect all machines, in milliseconds.
pub const RECOVERY_MS: u64 = 12_000;

/// Time for which enough machines must have been connected before service is promised, in milliseconds.
const CONNECTED_MS: u64 = 3_000;

/// Maximum time between acknowledgements while service is promised, in milliseconds.
const ACKNOWLEDGEMENT_MS: u64 = 4_000;

/// Maximum time until a machine has power again, in milliseconds.
const MAX_POWER_OUTAGE_MS: u64 = 1_000;

/// Longest time that a planned stop waits for another leader, in milliseconds.
const STOP_TIMEOUT_MS: u64 = 1_500;

/// Maximum time between the start of a successor and the stop of its predecessor with which the quorum can be expected
/// to have removed the predecessor when the successor has caught up; in milliseconds.
pub const MAX_EARLY_LEAD_MS: u64 = CATCH_UP_MS / 2;

/// Probability in each step that a successor is lost before the leader has added it.
const EARLY_LOSS: f64 = 0.02;

/// Time between updates of the links, in milliseconds.
const STEP_MS: u64 = 10;

/// Time between proposals, in milliseconds.
const PROPOSAL_INTERVAL_MS: u64 = 40;

/// How the process of a removed machine ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    /// The machine loses power, and others notice it by silence.
    PowerLoss,
    /// The process is killed, and its links are closed at once.
    Kill,
    /// The process stops after it has handed over leadership.
    Stop,
}

/// Something that is due later. Machines are named by their index.
#[derive(Clone, Copy, Debug)]
enum Action {
    /// Starts the successor of a machine.
    StartSuccessor(usize),
    /// Stops a machine for good.
    Stop(usize),
    /// Does the same when another loss is tolerated. The machine counts as lost although its successor has caught up.
    StopLate(usize),
    /// Removes a successor for good before it votes, and starts another one of the same machine.
    LoseLearner(usize, usize),
}

/// The simulated quorum.
pub struct World {
    pub cluster: Cluster,
    pub hosts: Vec<Host>,
    pub rng: SmallRng,
    /// Number of losses that must be tolerated.
    pub losses: usize,
    /// Whether service is promised while no more than that many machines count as lost.
    pub promises_service: bool,
    /// Events so far, with their time.
    pub events: Vec<String>,
    /// First violation, if any.
    pub violation: Option<String>,
    network: Network,
    next_replica: u64,
    due: Vec<(u64, Action)>,
    /// A machine and its successor; the next leader that has both as voters fails.
    watched: Option<(usize, usize)>,
    /// Successors that are lost before they vote, with their predecessors.
    doomed: Vec<(usize, usize)>,
    /// The time and number of the last acknowledgement.
    acknowledged: (u64, usize),
    /// When the last event happened.
    disturbed_at: u64,
    /// When service was last not promised.
    unpromised_at: u64,
    /// Whether all machines have lost power and no leader is elected yet.
    recovers: bool,
    leader: Option<u64>,
}

impl World {
    pub fn new(voters: u64, losses: usize, seed: u64) -> World {
        let faults = Faults {
            loss: 5,
            duplicate: 5,
            max_delay_ms: 15,
            drift: 20,
            snapshot_every: 60,
            ..Faults::none()
        };
        let tuning = Tuning { election_ms: 500, heartbeat_ms: 100, ..Tuning::default() };
        let cluster = Cluster::new(voters, seed, faults).with_tuning(tuning);
        let start = cluster.time();
        World {
            cluster,
            hosts: (1..=voters).map(Host::new).collect(),
            rng: SmallRng::seed_from_u64(seed ^ 0x5eed),
            losses,
            promises_service: true,
            events: Vec::new(),
            violation: None,
            network: Network::new(losses, CATCH_UP_MS),
            next_replica: voters + 1,
            due: Vec::new(),
            watched: None,
            doomed: Vec::new(),
            acknowledged: (start, 0),
            disturbed_at: start,
            unpromised_at: start,
            recovers: false,
            leader: None,
        }
    }

    pub fn time(&self) -> u64 {
        self.cluster.time()
    }

    /// Returns how many machines count as lost.
    pub fn counted(&self) -> usize {
        self.hosts.iter().filter(|host| host.counts_until > self.time()).count()
    }

    /// Whether nothing is due and no machine counts as lost.
    pub fn is_whole(&self) -> bool {
        self.due.is_empty() && self.counted() == 0
    }

    /// Returns the index of the machine of the leader.
    pub fn leader(&self) -> Option<usize> {
        let replica = self.cluster.leader()?;
        self.hosts.iter().position(|host| host.replica == replica && !host.gone)
    }

    fn log(&mut self, event: String) {
        self.events.push(format!("{:>6} {event}", self.time()));
    }

    fn disturb(&mut self, event: String) {
        self.disturbed_at = self.time();
        self.log(event);
    }

    /// Runs for `ms` milliseconds under load.
    pub fn advance(&mut self, ms: u64) {
        let until = self.time() + ms;
        while self.time() < until && self.violation.is_none() {
            self.step();
        }
    }

    /// Runs until `condition` holds, for at most `ms` milliseconds. Returns whether it holds.
    pub fn advance_until(&mut self, ms: u64, condition: impl Fn(&World) -> bool) -> bool {
        let until = self.time() + ms;
        while !condition(self) && self.time() < until && self.violation.is_none() {
            self.step();
        }
        condition(self)
    }

    fn step(&mut self) {
        if self.time().is_multiple_of(PROPOSAL_INTERVAL_MS)
            && let Some(leader) = self.cluster.leader()
        {
            self.cluster.propose(leader);
        }
        self.cluster.run(STEP_MS - self.time() % STEP_MS);
        let time = self.time();
        let due: Vec<(u64, Action)> = self.due.extract_if(.., |(at, _)| *at <= time).collect();
        due.into_iter().for_each(|(_, action)| self.act(action));
        self.complete_stops();
        for change in self.network.step(&mut self.cluster, &self.hosts, &mut self.rng) {
            self.log(change);
        }
        self.lose_learners();
        self.fail_leader_between_changes();
        self.check();
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::StartSuccessor(predecessor) => {
                let successor = self.start_successor(predecessor);
                if self.rng.random_bool(0.15) {
                    let at = self.time() + self.rng.random_range(0..1_000);
                    self.due.push((at, Action::LoseLearner(successor, predecessor)));
                } else if self.rng.random_bool(0.3) {
                    self.watched = Some((predecessor, successor));
                }
            }
            Action::Stop(index) => self.end(index, End::Stop),
            Action::StopLate(index) if self.promises_service && self.counted() >= self.losses => {
                self.due.push((self.time() + CATCH_UP_MS, Action::StopLate(index)));
            }
            Action::StopLate(index) => {
                self.count(index, 0);
                self.end(index, End::Stop);
            }
            Action::LoseLearner(successor, predecessor) => {
                self.doomed.push((successor, predecessor));
            }
        }
    }

    /// Removes doomed successors for good, at the latest when the leader has added them, and starts others in their
    /// place. One that has entries may be promoted by an answer under way. It is spared, since it would count as another
    /// loss.
    fn lose_learners(&mut self) {
        let doomed = std::mem::take(&mut self.doomed);
        for (successor, predecessor) in doomed {
            let replica = self.hosts[successor].replica;
            let is_empty = self.cluster.core(replica).is_some_and(|core| core.last_index() == 0);
            let leader = self.cluster.leader().and_then(|leader| self.cluster.core(leader));
            if !is_empty {
                continue;
            }
            let added = leader.is_some_and(|leader| leader.members().get(replica).is_some());
            if !added && !self.rng.random_bool(EARLY_LOSS) {
                self.doomed.push((successor, predecessor));
                continue;
            }
            self.end(successor, End::PowerLoss);
            self.hosts[predecessor].counts_until = u64::MAX;
            let at = self.time() + self.rng.random_range(0..1_000);
            self.due.push((at, Action::StartSuccessor(predecessor)));
        }
    }

    /// Starts a machine with an empty disk at a new address. Returns its index.
    fn start_machine(&mut self) -> usize {
        let replica = self.next_replica;
        self.next_replica += 1;
        self.cluster.add_non_member(replica);
        self.hosts.push(Host::new(replica));
        self.hosts.len() - 1
    }

    fn start_successor(&mut self, predecessor: usize) -> usize {
        let successor = self.start_machine();
        let (old, new) = (self.hosts[predecessor].replica, self.hosts[successor].replica);
        self.hosts[predecessor].counts_until = self.time() + CATCH_UP_MS;
        self.disturb(format!("{new} starts as successor of {old}"));
        successor
    }

    /// Adds a machine that replaces no other.
    pub fn add(&mut self) {
        let index = self.start_machine();
        self.hosts[index].counts_until = self.time() + CATCH_UP_MS;
        self.disturb(format!("{} is added", self.hosts[index].replica));
    }

    /// Removes a machine for good. Its successor starts `wait` milliseconds later.
    pub fn replace(&mut self, index: usize, end: End, wait: u64) {
        self.hosts[index].replaced = true;
        self.hosts[index].counts_until = u64::MAX;
        self.due.push((self.time() + wait, Action::StartSuccessor(index)));
        self.end(index, end);
    }

    /// Starts the successor of a machine, which stops `lead` milliseconds later.
    pub fn replace_as_planned(&mut self, index: usize, lead: u64) {
        self.hosts[index].replaced = true;
        self.act(Action::StartSuccessor(index));
        let stop = if lead < MAX_EARLY_LEAD_MS { Action::Stop } else { Action::StopLate };
        self.due.push((self.time() + lead, stop(index)));
    }

    fn end(&mut self, index: usize, end: End) {
        let replica = self.hosts[index].replica;
        self.disturb(format!("{replica} is removed: {end:?}"));
        self.hosts[index].silent = end == End::PowerLoss;
        if end == End::Stop && self.cluster.is_active(replica) {
            self.hosts[index].stop_by = Some(self.time() + STOP_TIMEOUT_MS);
            self.cluster.input(replica, Input::TransferLeadership);
            return;
        }
        self.remove(index);
    }

    fn remove(&mut self, index: usize) {
        self.hosts[index].gone = true;
        self.hosts[index].stop_by = None;
        self.cluster.remove_node(self.hosts[index].replica);
    }

    fn complete_stops(&mut self) {
        for index in 0..self.hosts.len() {
            let Some(until) = self.hosts[index].stop_by else { continue };
            let replica = self.hosts[index].replica;
            let has_other_leader = self.cluster.core(replica).is_none_or(|core| {
                let other = core.leader().is_some_and(|leader| leader.id != replica);
                core.role() != Role::Leader && other
            });
            if has_other_leader || self.time() >= until {
                self.log(format!("{replica} has stopped"));
                self.remove(index);
            }
        }
    }

    /// Has a machine count as lost for `ms` milliseconds and while it catches up.
    fn count(&mut self, index: usize, ms: u64) {
        let until = self.time() + ms + CATCH_UP_MS;
        self.hosts[index].counts_until = self.hosts[index].counts_until.max(until);
    }

    /// Restarts a machine with its disk after `wait` milliseconds.
    pub fn restart(&mut self, index: usize, wait: u64) {
        let replica = self.hosts[index].replica;
        self.hosts[index].silent = self.rng.random();
        self.hosts[index].back_at = self.time() + wait;
        self.count(index, wait);
        self.cluster.crash(replica, wait);
        let silent = self.hosts[index].silent;
        self.disturb(format!("{replica} is down for {wait} ms, silent: {silent}"));
    }

    pub fn freeze(&mut self, index: usize, wait: u64) {
        let replica = self.hosts[index].replica;
        self.count(index, wait);
        self.cluster.suspend(replica, wait);
        self.disturb(format!("{replica} is frozen for {wait} ms"));
    }

    pub fn cut_off(&mut self, index: usize, wait: u64) {
        let replica = self.hosts[index].replica;
        self.count(index, wait);
        self.cluster.isolate(replica, wait);
        self.disturb(format!("{replica} is cut off for {wait} ms"));
    }

    /// Cuts the leader from one other machine, which all others still hear.
    pub fn cut_from_leader(&mut self, index: usize, wait: u64) {
        let Some(leader) = self.leader().filter(|leader| *leader != index) else { return };
        let (replica, leader) = (self.hosts[index].replica, self.hosts[leader].replica);
        self.count(index, wait);
        self.cluster.partition(replica, leader, wait);
        self.disturb(format!("{replica} is cut from the leader {leader} for {wait} ms"));
    }

    /// Cuts the machines into two halves.
    pub fn halve(&mut self, wait: u64) {
        let mut order: Vec<usize> =
            (0..self.hosts.len()).filter(|index| !self.hosts[*index].gone).collect();
        self.shuffle(&mut order);
        order.iter().for_each(|index| self.count(*index, wait));
        let (left, right) = order.split_at(order.len() / 2);
        for a in left {
            for b in right {
                self.cluster.partition(self.hosts[*a].replica, self.hosts[*b].replica, wait);
            }
        }
        let left: Vec<u64> = left.iter().map(|index| self.hosts[*index].replica).collect();
        self.disturb(format!("{left:?} are cut from the others for {wait} ms"));
    }

    /// Replaces the disk of a machine by an empty one.
    pub fn lose_disk(&mut self, index: usize) {
        let (old, new) = (self.hosts[index].replica, self.next_replica);
        self.next_replica += 1;
        self.count(index, 0);
        self.cluster.lose_disk(old, new);
        self.hosts[index].replica = new;
        self.disturb(format!("{old} returns with an empty disk as {new}"));
    }

    /// Kills all processes, which restart within a second.
    pub fn kill_all(&mut self) {
        for index in 0..self.hosts.len() {
            if !self.hosts[index].gone && self.hosts[index].back_at <= self.time() {
                let wait = self.rng.random_range(0..MAX_POWER_OUTAGE_MS);
                self.restart(index, wait);
            }
        }
    }

    /// Destroys the disks of some machines while all others lose power.
    pub fn lose_power_and_disks(&mut self, lost: &[usize]) {
        let mut replaced = Vec::new();
        for index in lost {
            replaced.push((self.hosts[*index].replica, self.next_replica));
            self.hosts[*index].replica = self.next_replica;
            self.next_replica += 1;
        }
        self.disturb(format!("all lose power, and disks are replaced: {replaced:?}"));
        for index in 0..self.hosts.len() {
            if self.hosts[index].stop_by.is_some() {
                self.remove(index);
            }
        }
        self.cluster.lose_power_and_disks(&replaced);
        let silent: bool = self.rng.random();
        for index in 0..self.hosts.len() {
            let (replica, back_at) = (self.hosts[index].replica, self.hosts[index].back_at);
            self.hosts[index].silent |= silent;
            if self.hosts[index].gone {
                continue;
            }
            self.count(index, MAX_POWER_OUTAGE_MS);
            if back_at > self.time() {
                self.cluster.crash(replica, back_at - self.time());
            }
        }
    }

    /// Checks that a leader is elected in time which has all that was acknowledged.
    pub fn expect_leader_with_all_values(&mut self) {
        let leads = |world: &World| world.cluster.leader().is_some();
        self.recovers = true;
        let elected = self.advance_until(RECOVERY_MS, leads);
        self.recovers = false;
        if !elected {
            self.violate("no leader is elected".to_owned());
        }
        let Some(leader) = self.cluster.leader() else { return };
        let missing = self.cluster.missing_values(leader);
        if !missing.is_empty() {
            self.violate(format!("leader {leader} lacks acknowledged values {missing:?}"));
        }
    }

    /// Restarts or removes the leader as soon as a replaced machine and its successor both vote.
    fn fail_leader_between_changes(&mut self) {
        let Some((predecessor, successor)) = self.watched else { return };
        let Some(leader) = self.leader() else { return };
        let Some(core) = self.cluster.core(self.hosts[leader].replica) else { return };
        let votes = |index: usize| core.members().is_voter(self.hosts[index].replica);
        if !votes(successor) || !self.hosts[leader].is_healthy(self.time()) {
            return;
        }
        self.watched = None;
        if !votes(predecessor) || (self.promises_service && self.counted() >= self.losses) {
            return;
        }
        if self.promises_service && self.rng.random() {
            return self.replace(leader, End::PowerLoss, 500);
        }
        let wait = self.rng.random_range(50..3_000);
        self.restart(leader, wait);
    }

    pub fn shuffle(&mut self, list: &mut [usize]) {
        for last in (1..list.len()).rev() {
            list.swap(last, self.rng.random_range(0..=last));
        }
    }

    fn violate(&mut self, violation: String) {
        self.log(violation.clone());
        self.violation.get_or_insert(violation);
    }

    fn check(&mut self) {
        let (time, accepted) = (self.time(), self.cluster.accepted());
        if let Some(violation) = self.cluster.violation.clone() {
            self.violate(violation);
        }
        let leader = self.cluster.leader();
        if leader != self.leader {
            self.leader = leader;
            self.log(format!("leader: {leader:?}"));
        }
        if accepted > self.acknowledged.1 {
            self.acknowledged = (time, accepted);
        }
        if self.counted() > self.losses || !self.promises_service || self.recovers {
            self.unpromised_at = time;
        }
        let connected = self.disturbed_at.max(self.unpromised_at) + CONNECTED_MS;
        if time > connected.max(self.acknowledged.0) + ACKNOWLEDGEMENT_MS {
            self.violate("nothing is acknowledged".to_owned());
        }
    }
}
