//! The deciding thread: owns the quorum, the files, the state and all decisions.

mod leading;
mod links;
mod orders;
mod outputs;
mod report;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::{Receiver, RecvTimeoutError};
use pond_link::{LinkKey, Sender};
use pond_log::{Logger, event};
use pond_platform::Usage;
use pond_proto::quorum::{Letter, Members};
use pond_proto::wire::Role as WireRole;
use pond_proto::{Millis, Span};
use pond_quorum::{Core, Input as QuorumInput, Role, SnapshotImage, Start, Tuning};
use pond_sched::{Measured, Scheduler};
use pond_state::{Change, State};
use pond_store::{Recovered, Writer};
use tokio::sync::mpsc;

use crate::formation::Formation;
use crate::platform::Order;
use crate::publish::Publisher;
use crate::reconcile::{Answer, Reconciler, Times};
use crate::ring::Input;
use crate::tickets::Tickets;
use pond_clock::Clock;

/// Inputs that are taken in before outputs are carried out.
const BATCH: usize = 2048;

/// Longest wait for an input.
const TICK: Duration = Duration::from_millis(5);

/// What the deciding thread is made from.
pub struct Parts {
    /// The replica's name.
    pub name: String,
    /// Names and operators' addresses of all replicas.
    pub replicas: Vec<pond_settings::Replica>,
    /// Writes the durable files; letters wait in it for what must last before them.
    pub writer: Writer<Letter>,
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
            event!(parts.log, LOG_TRUNCATED, "bytes" => recovered.cut);
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
            // A candidate whose vote for itself cannot last can win nothing.
            if !self.abstains() || self.core.role() == Role::Leader {
                self.core.step(now, QuorumInput::Tick);
            }
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
