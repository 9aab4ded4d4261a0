//! The deciding thread: owns the quorum, the files, the state and all decisions.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::{Receiver, RecvTimeoutError};
use pond_link::{Event, EventKind, LinkKey, Sender};
use pond_log::{Logger, event};
use pond_platform::Usage;
use pond_proto::operator::{MemberRow, Status};
use pond_proto::quorum::{Body as Letter, Entry, Kind, Letter as QuorumLetter, Members};
use pond_proto::wire::{Beat, Body, ClaimAsk, ClaimEnd, ClaimTell, Role as WireRole, Verdict};
use pond_proto::{Millis, Span};
use pond_quorum::{Core, Input as QuorumInput, Output, Role, SnapshotImage, Start, Tuning};
use pond_sched::{Measured, Scheduler};
use pond_state::{Change, Holder, KeptAnswer, Meta, Order as StateOrder, Reply, State};
use pond_store::{Recovered, Snapshot, Store};
use tokio::sync::mpsc;

use crate::clock::Clock;
use crate::formation::{Formation, Replacement};
use crate::platform::Order;
use crate::publish::Publisher;
use crate::reconcile::{Answer, Reconciler, Step, Times};
use crate::ring::{Input, Unready};
use crate::tickets::{Tickets, Waiter};

/// Inputs that are taken in before outputs are carried out.
const BATCH: usize = 2048;

/// Longest wait for an input.
const TICK: Duration = Duration::from_millis(5);

/// A snapshot is taken at every index that is a multiple of this, on all replicas.
const SNAPSHOT_EVERY: u64 = 8192;

/// Time between looks at what is to be decided, in milliseconds.
const DECIDE_MS: Span = 20;

/// Time between beats to other replicas, in milliseconds.
const BEAT_MS: Span = 200;

/// Time between beats to entries and endpoint processes while nothing changes, in milliseconds.
const TOLD_MS: Span = 2_000;

/// Proposals of this replica that may be open before it plans more.
const OWN_OPEN: usize = 2048;

/// What the deciding thread is made from.
pub struct Parts {
    /// The replica's name.
    pub name: String,
    /// Names and operators' addresses of all replicas.
    pub replicas: Vec<pond_settings::Replica>,
    /// The durable files.
    pub store: Store,
    /// What they held.
    pub recovered: Recovered,
    /// This replica as a member.
    pub member: pond_proto::quorum::Member,
    /// Inputs.
    pub ring: Receiver<Input>,
    /// Orders to the platform thread.
    pub orders: mpsc::Sender<Order>,
    /// Times of leases.
    pub times: Times,
    /// The clocks.
    pub clock: Clock,
    /// The logger.
    pub log: Logger,
    /// Longest time for a planned stop, in milliseconds.
    pub stop_ms: Span,
}

/// What a leader keeps while it leads.
struct Duty {
    reconciler: Reconciler,
    scheduler: Scheduler,
    decided: Millis,
}

/// The deciding thread's state.
pub struct Replica {
    parts: Parts,
    core: Core,
    state: State,
    applied: u64,
    formation: Formation,
    links: BTreeMap<LinkKey, (WireRole, String)>,
    peers: BTreeMap<String, (LinkKey, Sender)>,
    names: BTreeMap<u64, String>,
    publisher: Publisher,
    tickets: Tickets,
    own: BTreeMap<u64, Change>,
    duty: Option<Duty>,
    led: Option<u64>,
    beat: Millis,
    /// Leader and term as entries and endpoint processes were last told, and when.
    told: (String, u64),
    told_at: Millis,
    checksum: (u64, u32),
    list_failed: bool,
    stopping: Option<Millis>,
    killed: bool,
}

impl Replica {
    /// A replica from what its files held.
    ///
    /// # Errors
    /// If the snapshot or an entry cannot be read.
    pub fn new(mut parts: Parts) -> Result<Replica, String> {
        let now = parts.clock.now();
        let recovered = std::mem::replace(
            &mut parts.recovered,
            Recovered {
                id: 0,
                hard: Default::default(),
                snapshot: None,
                entries: Vec::new(),
                cut: 0,
            },
        );
        if recovered.cut > 0 {
            event!(parts.log, TORN_END, "bytes" => recovered.cut);
        }
        let state = match &recovered.snapshot {
            Some(snapshot) => State::decode(&snapshot.data).map_err(|error| error.to_string())?,
            None => State::new(),
        };
        let applied = recovered.snapshot.as_ref().map_or(0, |snapshot| snapshot.head.index);
        let formed = recovered.snapshot.is_some() || !recovered.entries.is_empty();
        let names = parts.replicas.iter().map(|replica| replica.name.clone()).collect();
        let formation = Formation::new(parts.member.clone(), names, formed);
        let start = Start {
            id: recovered.id,
            hard: recovered.hard,
            snapshot: recovered.snapshot.map(|snapshot| SnapshotImage {
                head: snapshot.head,
                data: Arc::new(snapshot.data),
            }),
            entries: recovered.entries,
            members: Members::default(),
            seed: recovered.id,
        };
        let core = Core::new(start, Tuning::default(), now);
        Ok(Replica {
            parts,
            core,
            state,
            applied,
            formation,
            links: BTreeMap::new(),
            peers: BTreeMap::new(),
            names: BTreeMap::new(),
            publisher: Publisher::default(),
            tickets: Tickets::default(),
            own: BTreeMap::new(),
            duty: None,
            led: None,
            beat: now,
            told: (String::new(), 0),
            told_at: Millis(0),
            checksum: (0, 0),
            list_failed: false,
            stopping: None,
            killed: false,
        })
    }

    /// Runs until it is stopped or its files fail.
    ///
    /// # Errors
    /// What failed.
    pub fn run(mut self) -> Result<(), pond_store::Error> {
        self.try_to_form();
        loop {
            self.take_inputs();
            if self.killed {
                return Ok(());
            }
            let now = self.parts.clock.now();
            self.core.step(now, QuorumInput::Tick);
            self.carry_out()?;
            self.lead(now);
            self.carry_out()?;
            self.beat(now);
            if self.may_end(now) {
                return Ok(());
            }
        }
    }

    fn take_inputs(&mut self) {
        let first = match self.parts.ring.recv_timeout(TICK) {
            Ok(input) => input,
            Err(RecvTimeoutError::Timeout) => return,
            Err(RecvTimeoutError::Disconnected) => Input::Stop,
        };
        let now = self.parts.clock.now();
        self.input(now, first);
        for _ in 1..BATCH {
            let Ok(input) = self.parts.ring.try_recv() else { return };
            self.input(now, input);
        }
    }

    fn input(&mut self, now: Millis, input: Input) {
        match input {
            Input::Link(event) => self.link(now, event),
            Input::Order { meta, order, reply } => self.order(now, meta, order, reply),
            Input::Read { look } => {
                let ticket = self.tickets.read(look);
                self.core.step(now, QuorumInput::Read { ticket });
            }
            Input::Status { reply } => {
                let _ = reply.send(self.status());
            }
            Input::Listed(list) => self.listed(now, list),
            Input::Worker(fact) => {
                let wall = self.parts.clock.wall();
                if let Some(duty) = &mut self.duty {
                    if let Err(error) = &fact.result {
                        event!(self.parts.log, ORDER_FAILED,
                            "vm" => fact.vm.to_string(), "why" => error.to_string());
                    }
                    if let Ok(Answer::Usage(usage)) = &fact.result {
                        duty.scheduler.measure(&self.state, &measured(usage, wall));
                    }
                    duty.reconciler.fact(&self.state, now, wall, fact);
                }
            }
            Input::Stop => self.stop(now),
            Input::Kill => self.killed = true,
        }
    }

    fn stop(&mut self, now: Millis) {
        if self.stopping.is_none() {
            event!(self.parts.log, STOPPING);
            self.stopping = Some(now + self.parts.stop_ms);
            self.core.step(now, QuorumInput::HandOver);
        }
    }

    /// Whether a planned stop is done: another leads, or there is no other, or time is up.
    fn may_end(&self, now: Millis) -> bool {
        let Some(until) = self.stopping else { return false };
        let alone = self.core.members().voters().all(|id| id == self.core.id());
        if now >= until {
            event!(self.parts.log, STOP_LATE);
        }
        now >= until || alone || self.core.role() != Role::Leader
    }

    // Links.

    fn link(&mut self, now: Millis, event: Event) {
        match event.kind {
            EventKind::Up { hello, sender, .. } => {
                let role = hello.role();
                self.links.insert(event.link, (role, hello.name.clone()));
                if role == WireRole::Control {
                    let present = Letter::Present(self.formation.present());
                    let letter = QuorumLetter {
                        from: self.core.id(),
                        to: 0,
                        term: self.core.term(),
                        body: Some(present),
                    };
                    sender.send(Body::Quorum(letter));
                    event!(self.parts.log, LINK_UP, "peer" => hello.name.clone());
                    self.peers.insert(hello.name, (event.link, sender));
                } else {
                    let (leader, term) = self.told.clone();
                    self.publisher.link_up(event.link, &hello, sender);
                    self.publisher.beat_one(event.link, &leader, term);
                }
            }
            EventKind::Down(error) => self.link_down(event.link, &error),
            EventKind::Frame(body) => self.frame(now, event.link, body),
        }
    }

    fn link_down(&mut self, link: LinkKey, error: &pond_link::Error) {
        self.publisher.link_down(link);
        let known = self.links.remove(&link);
        self.peers.retain(|_, (other, _)| *other != link);
        match known {
            Some((_, name)) => {
                event!(self.parts.log, LINK_DOWN, "peer" => name, "why" => error.to_string());
            }
            None if link.accepted() => {
                event!(self.parts.log, LINK_REFUSED, "why" => error.to_string());
            }
            None => {}
        }
    }

    fn frame(&mut self, now: Millis, link: LinkKey, body: Body) {
        let Some((role, _)) = self.links.get(&link) else { return };
        match (role, body) {
            (WireRole::Control, Body::Quorum(letter)) => self.letter(now, letter),
            (WireRole::Control, Body::Beat(beat)) => self.compare(link, &beat),
            (_, Body::ViewAck(ack)) => self.publisher.acked(link, ack),
            (WireRole::Entry, Body::ClaimAsk(ask)) => self.claim(now, link, ask),
            (WireRole::Entry, Body::ClaimEnd(end)) => self.end_claim(now, end),
            _ => {}
        }
    }

    fn letter(&mut self, now: Millis, letter: QuorumLetter) {
        if let Some(Letter::Present(present)) = letter.body {
            self.names.insert(present.member.id, present.member.name.clone());
            self.formation.hear(present);
            self.try_to_form();
            return;
        }
        self.core.step(now, QuorumInput::Letter(letter));
    }

    fn try_to_form(&mut self) {
        let Some(members) = self.formation.first_members() else { return };
        event!(self.parts.log, QUORUM_FORMED, "replicas" => members.list.len());
        self.formation.set_formed();
        let start = Start {
            id: self.core.id(),
            hard: Default::default(),
            snapshot: None,
            entries: Vec::new(),
            members,
            seed: self.core.id(),
        };
        if self.core.term() == 0 {
            self.core = Core::new(start, Tuning::default(), self.parts.clock.now());
        }
    }

    /// Compares the checksum of the state with another replica's at the same index.
    fn compare(&mut self, link: LinkKey, beat: &Beat) {
        let (index, checksum) = self.checksum;
        if index > 0 && beat.snapshot_index == index && beat.checksum != checksum {
            let peer = self.links.get(&link).map(|(_, name)| name.clone());
            event!(self.parts.log, STATE_DIFFERS,
                "index" => index, "peer" => peer.unwrap_or_default());
        }
    }

    // Orders, claims and reads.

    fn order(
        &mut self,
        now: Millis,
        meta: Meta,
        order: StateOrder,
        reply: tokio::sync::oneshot::Sender<Result<Reply, Unready>>,
    ) {
        let meta = Meta { at: self.parts.clock.wall(), ..meta };
        self.propose(now, Change::Order { meta, order }, Waiter::Operator(reply));
    }

    fn claim(&mut self, now: Millis, link: LinkKey, ask: ClaimAsk) {
        let ticket = ask.ticket;
        let change = Change::Claim {
            at: self.parts.clock.wall(),
            service: ask.service,
            key: ask.key,
            digest: ask.digest,
            holder: Holder { life: ask.id.life, number: ask.id.number },
        };
        self.propose(now, change, Waiter::Claim { link, ticket });
    }

    fn end_claim(&mut self, now: Millis, end: ClaimEnd) {
        let answer = end.answer.map(|answer| KeptAnswer {
            status: answer.status as u16,
            content_type: answer.content_type,
            body: answer.body,
        });
        let change = Change::Unclaim {
            at: self.parts.clock.wall(),
            service: end.service,
            key: end.key,
            holder: Holder { life: end.id.life, number: end.id.number },
            not_run: end.not_run,
            answer,
        };
        self.propose(now, change, Waiter::Own);
    }

    fn propose(&mut self, now: Millis, change: Change, waiter: Waiter) {
        let data = change.encode();
        let own = matches!(waiter, Waiter::Own);
        let ticket = self.tickets.propose(waiter);
        if own {
            self.own.insert(ticket, change);
        }
        if !self.core.ready() {
            self.reject(ticket);
            return;
        }
        self.core.step(now, QuorumInput::Propose { ticket, data });
    }

    fn reject(&mut self, ticket: u64) {
        let unready = Unready { leader: self.leader_operator() };
        let (waiter, look) = self.tickets.rejected(ticket);
        if let Some(look) = look {
            look(Err(unready.clone()));
        }
        if let Some(waiter) = waiter {
            self.tell_lost(waiter, unready);
        }
        if let (Some(change), Some(duty)) = (self.own.remove(&ticket), &mut self.duty) {
            duty.reconciler.settled(&change);
        }
    }

    fn tell_lost(&self, waiter: Waiter, unready: Unready) {
        match waiter {
            Waiter::Operator(reply) => {
                let _ = reply.send(Err(unready));
            }
            Waiter::Claim { link, ticket } => {
                let verdict = Verdict::NoQuorum as i32;
                let tell = ClaimTell { ticket, verdict, answer: None };
                self.publisher.send(link, Body::ClaimTell(tell));
            }
            Waiter::Own => {}
        }
    }

    /// The leader's address for operators.
    fn leader_operator(&self) -> Option<String> {
        let leader = self.core.leader()?;
        let replica = self.parts.replicas.iter().find(|replica| replica.name == leader.name)?;
        Some(replica.operator.to_string())
    }

    // Outputs of the quorum.

    fn carry_out(&mut self) -> Result<(), pond_store::Error> {
        loop {
            let outputs = self.core.outputs(self.parts.clock.now());
            if outputs.is_empty() {
                return Ok(());
            }
            let persisted = self.persist(&outputs)?;
            for output in outputs {
                self.output(output)?;
            }
            if persisted {
                self.core.step(self.parts.clock.now(), QuorumInput::Persisted);
            }
        }
    }

    /// Sends what need not wait, then writes and syncs what must last.
    fn persist(&mut self, outputs: &[Output]) -> Result<bool, pond_store::Error> {
        for output in outputs {
            if let Output::Send(letter) = output {
                self.send(letter.clone());
            }
            if let Output::Install { image, keeps_log } = output {
                let snapshot =
                    Snapshot { head: image.head.clone(), data: image.data.as_ref().clone() };
                if *keeps_log {
                    self.parts.store.save(&snapshot)?;
                } else {
                    self.parts.store.replace(&snapshot)?;
                }
            }
        }
        let mut wrote = false;
        for output in outputs {
            if let Output::Persist { hard, entries } = output {
                self.parts.store.append(*hard, entries)?;
                wrote = true;
            }
        }
        self.parts.store.sync()?;
        Ok(wrote)
    }

    fn output(&mut self, output: Output) -> Result<(), pond_store::Error> {
        match output {
            Output::Persist { .. } | Output::Send(_) => {}
            Output::SendDurable(letter) => self.send(letter),
            Output::Appended { ticket, index, term } => {
                self.tickets.appended(ticket, index, term);
                if let Some(change) = self.own.remove(&ticket) {
                    // From now on it is known by its place in the log.
                    self.own.insert(OWN_BY_INDEX | index, change);
                }
            }
            Output::Rejected { ticket, .. } => self.reject(ticket),
            Output::Apply(entries) => self.apply(entries)?,
            Output::Install { image, .. } => self.install(&image),
            Output::ReadReady { ticket, index } => {
                self.tickets.confirmed(ticket, index);
                self.look();
            }
            Output::RoleChanged => self.role_changed(),
            Output::MembersChanged(members) => {
                self.formation.set_formed();
                for member in &members.list {
                    self.names.insert(member.id, member.name.clone());
                }
                let names: Vec<&str> =
                    members.list.iter().map(|member| member.name.as_str()).collect();
                event!(self.parts.log, MEMBERS, "members" => names.join(" "));
            }
        }
        Ok(())
    }

    fn send(&self, letter: QuorumLetter) {
        let name = self.names.get(&letter.to);
        if let Some((_, sender)) = name.and_then(|name| self.peers.get(name)) {
            sender.send(Body::Quorum(letter));
        }
    }

    fn apply(&mut self, entries: Vec<Entry>) -> Result<(), pond_store::Error> {
        for entry in entries {
            if entry.index <= self.applied {
                continue;
            }
            self.applied = entry.index;
            if entry.kind() == Kind::Change {
                self.apply_change(&entry);
            }
            if entry.index % SNAPSHOT_EVERY == 0 {
                self.save_snapshot(entry.index)?;
            }
        }
        self.look();
        Ok(())
    }

    fn apply_change(&mut self, entry: &Entry) {
        let Ok(change) = Change::decode(&entry.data) else { return };
        let leads = self.duty.is_some();
        if leads {
            self.log_change(&change);
        }
        if let Some(duty) = &mut self.duty {
            duty.reconciler.notice(&self.state, &change);
            if matches!(change, Change::Order { .. }) {
                duty.scheduler.units_changed();
            }
        }
        let reply = self.state.apply(change);
        if let (Some(own), Some(duty)) =
            (self.own.remove(&(OWN_BY_INDEX | entry.index)), &mut self.duty)
        {
            duty.reconciler.settled(&own);
        }
        let Some((same, waiter)) = self.tickets.applied(entry.index, entry.term) else { return };
        if same {
            self.tell(waiter, reply);
        } else {
            self.tell_lost(waiter, Unready { leader: self.leader_operator() });
        }
    }

    fn tell(&self, waiter: Waiter, reply: Reply) {
        match waiter {
            Waiter::Operator(sender) => {
                match &reply {
                    Reply::Accepted { version, what } => event!(self.parts.log, CHANGE_ACCEPTED,
                        "version" => *version, "what" => what.clone()),
                    other => event!(self.parts.log, CHANGE_REFUSED,
                        "why" => format!("{other:?}")),
                }
                let _ = sender.send(Ok(reply));
            }
            Waiter::Claim { link, ticket } => {
                let Reply::Claim(decided) = reply else { return };
                let answer = decided.answer.map(|kept| pond_proto::wire::Answer {
                    status: u32::from(kept.status),
                    content_type: kept.content_type,
                    body: kept.body,
                    ..Default::default()
                });
                let tell = ClaimTell { ticket, verdict: decided.verdict, answer };
                self.publisher.send(link, Body::ClaimTell(tell));
            }
            Waiter::Own => {}
        }
    }

    fn log_change(&self, change: &Change) {
        let log = &self.parts.log;
        match change {
            Change::Place { unit, decision, .. } => event!(log, PLACED, "unit" => unit.clone(),
                "vm" => decision.vm.clone().unwrap_or_default(), "why" => decision.why.clone()),
            Change::SetAside { unit, decision, .. } => event!(log, SET_ASIDE,
                "unit" => unit.clone(), "why" => decision.why.clone()),
            Change::Steer { task, decision, .. } => {
                let unit = self.state.task(*task).map(|task| task.unit.clone());
                event!(log, STEERED, "unit" => unit.unwrap_or_default(),
                    "task" => task.to_string(), "action" => format!("{:?}", decision.action),
                    "why" => decision.why.clone());
            }
            Change::Warn { unit, decision, .. } => event!(log, DEADLINE_RISK,
                "unit" => unit.clone(), "why" => decision.why.clone()),
            Change::Started { task, .. } => {
                let unit = self.state.task(*task).map(|task| task.unit.clone());
                event!(log, TASK_STARTED, "unit" => unit.unwrap_or_default(),
                    "task" => task.to_string());
            }
            Change::Ended { task, end, .. } => {
                let unit = self.state.task(*task).map(|task| task.unit.clone());
                event!(log, TASK_ENDED, "unit" => unit.unwrap_or_default(),
                    "task" => task.to_string(), "how" => format!("{end:?}"));
            }
            Change::Judged { vm, liveness, why, .. } => {
                let name = self.state.vm(*vm).map(|record| record.vm.name.clone());
                event!(log, VM_JUDGED, "vm" => name.unwrap_or_default(),
                    "liveness" => format!("{liveness:?}"), "why" => why.clone());
            }
            _ => {}
        }
    }

    fn save_snapshot(&mut self, index: u64) -> Result<(), pond_store::Error> {
        let Some(head) = self.core.head_at(index) else { return Ok(()) };
        let data = self.state.encode();
        self.checksum = (index, self.state.checksum());
        let snapshot = Snapshot { head: head.clone(), data };
        self.parts.store.save(&snapshot)?;
        event!(self.parts.log, SNAPSHOT, "index" => index, "bytes" => snapshot.data.len());
        let image = SnapshotImage { head, data: Arc::new(snapshot.data) };
        self.core.step(self.parts.clock.now(), QuorumInput::Compact(image));
        Ok(())
    }

    fn install(&mut self, image: &SnapshotImage) {
        event!(self.parts.log, INSTALLED, "index" => image.head.index);
        if let Ok(state) = State::decode(&image.data) {
            self.state = state;
            self.applied = image.head.index;
        }
    }

    /// Does the reads that are due.
    fn look(&mut self) {
        for look in self.tickets.due(self.applied) {
            look(Ok(&self.state));
        }
    }

    fn role_changed(&mut self) {
        let leads = self.core.role() == Role::Leader;
        if !leads && self.led.take().is_some() {
            event!(self.parts.log, FOLLOWER, "term" => self.core.term());
            self.duty = None;
            self.own.clear();
            let unready = Unready { leader: self.leader_operator() };
            for waiter in self.tickets.drain() {
                self.tell_lost(waiter, unready.clone());
            }
        }
        if leads && self.led.is_none() {
            self.led = Some(self.core.term());
            event!(self.parts.log, LEADER, "term" => self.core.term());
        }
    }

    // Leading.

    fn lead(&mut self, now: Millis) {
        if !self.core.ready() {
            return;
        }
        if self.duty.is_none() {
            let reconciler = Reconciler::new(self.parts.times, self.core.term(), now);
            let scheduler = Scheduler::new();
            self.duty = Some(Duty { reconciler, scheduler, decided: Millis(0) });
            self.publisher.restart();
            self.beat = Millis(0);
        }
        let granting = self.core.lease_until().is_some_and(|until| now < until);
        if granting {
            self.publisher.publish(&self.state, self.core.term());
        }
        let due = self.duty.as_ref().is_some_and(|duty| now.since(duty.decided) >= DECIDE_MS);
        if due && self.stopping.is_none() {
            self.decide(now, granting);
            self.replace_lost_disks(now);
        }
    }

    fn decide(&mut self, now: Millis, granting: bool) {
        let wall = self.parts.clock.wall();
        let Some(mut duty) = self.duty.take() else { return };
        duty.decided = now;
        let publisher = &self.publisher;
        let quiet = |address: &str, task: u64| publisher.quiet(address, task);
        duty.reconciler.tick(&self.state, now, wall, granting, &quiet);
        let steps = duty.reconciler.take_steps();
        let idle = self.tickets.own_open() == 0;
        let plan = if granting && idle && steps.is_empty() {
            duty.scheduler.plan(&self.state, wall)
        } else {
            Vec::new()
        };
        self.duty = Some(duty);
        for step in steps {
            self.step(now, step);
        }
        for change in plan {
            self.propose(now, change, Waiter::Own);
        }
    }

    fn step(&mut self, now: Millis, step: Step) {
        match step {
            Step::Propose(change) => {
                if self.tickets.own_open() < OWN_OPEN {
                    self.propose(now, change, Waiter::Own);
                } else if let Some(duty) = &mut self.duty {
                    duty.reconciler.settled(&change);
                }
            }
            Step::Call { vm, worker, call } => {
                let order = Order { vm, worker, call, sent: now };
                if let Err(error) = self.parts.orders.try_send(order) {
                    let order = error.into_inner();
                    let result = Err(pond_platform::Error::NotSent("the ring is full".to_owned()));
                    let fact = crate::reconcile::Fact { vm, call: order.call, sent: now, result };
                    let wall = self.parts.clock.wall();
                    if let Some(duty) = &mut self.duty {
                        duty.reconciler.fact(&self.state, now, wall, fact);
                    }
                }
            }
        }
    }

    fn replace_lost_disks(&mut self, now: Millis) {
        match self.formation.replacement(self.core.members()) {
            None => {}
            Some(Replacement::Remove(old)) => {
                event!(self.parts.log, REPLACED, "replica" => old.name.clone());
                self.core.step(now, QuorumInput::Remove(old.id));
            }
            Some(Replacement::Add(new)) => self.core.step(now, QuorumInput::Add(new)),
        }
    }

    fn listed(&mut self, now: Millis, list: Result<Vec<pond_proto::Vm>, String>) {
        let wall = self.parts.clock.wall();
        match list {
            Ok(vms) => {
                self.list_failed = false;
                if let Some(duty) = &mut self.duty {
                    duty.reconciler.listed(&self.state, now, wall, vms);
                }
            }
            Err(why) => {
                if !self.list_failed {
                    event!(self.parts.log, LIST_FAILED, "why" => why);
                }
                self.list_failed = true;
            }
        }
    }

    fn beat(&mut self, now: Millis) {
        if now.since(self.beat) < BEAT_MS {
            return;
        }
        self.beat = now;
        let leader = self.core.leader().map(|leader| leader.address.clone()).unwrap_or_default();
        let leads = self.core.ready() && self.stopping.is_none();
        let news = (leader.clone(), self.core.term());
        let due = self.told != news || now.since(self.told_at) >= TOLD_MS;
        if due && (leads || self.core.role() != Role::Leader) {
            self.publisher.beat(&leader, self.core.term());
            self.told = news;
            self.told_at = now;
        }
        let (snapshot_index, checksum) = self.checksum;
        let beat = Beat { leader, term: self.core.term(), snapshot_index, checksum };
        for (_, sender) in self.peers.values() {
            sender.send(Body::Beat(beat.clone()));
        }
    }

    fn status(&self) -> Status {
        let leader = self.core.leader().map(|leader| leader.id);
        let members = self.core.members().list.iter().map(|member| MemberRow {
            name: member.name.clone(),
            voter: member.voter,
            leads: Some(member.id) == leader,
        });
        let version = self.state.version();
        let followers = self.publisher.followers();
        let told = followers.len() as u32;
        let stragglers: Vec<_> =
            followers.into_iter().filter(|follower| follower.version < version).collect();
        Status {
            replica: self.parts.name.clone(),
            term: self.core.term(),
            commit: self.core.commit(),
            members: members.collect(),
            version,
            in_force: told - stragglers.len() as u32,
            told,
            stragglers,
            vms_open: self.state.vms().filter(|vm| vm.open()).count() as u32,
            vms: self.state.vms().count() as u32,
            tasks: self.state.tasks().count() as u32,
            wanting: self.state.wanting().count() as u32,
            claims: self.state.claims().len() as u64,
            checksum: format!("{:08x}", self.state.checksum()),
        }
    }
}

/// Late reports as the scheduler takes them.
fn measured(usage: &Usage, wall: Millis) -> Vec<Measured> {
    let measured = usage.reports.iter().map(|report| Measured {
        task: report.task,
        at: wall - report.age_ms,
        milli_cpu: report.milli_cpu,
        memory_mib: report.memory_mib,
        p99_us: report.p99_us,
        rate: report.rate,
    });
    measured.collect()
}

/// Marks own changes that are known by their place in the log.
const OWN_BY_INDEX: u64 = 1 << 63;
