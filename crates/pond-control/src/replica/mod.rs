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
use pond_proto::quorum::{Envelope, Members};
use pond_proto::wire::Role as WireRole;
use pond_proto::{Millis, Span};
use pond_quorum::{Core, Input as QuorumInput, Role, SnapshotImage, Start, Tuning};
use pond_sched::{Measured, Scheduler};
use pond_state::{Change, State};
use pond_store::{Recovered, Writer};
use tokio::sync::mpsc;

use crate::formation::Formation;
use crate::input::Input;
use crate::platform::Order;
use crate::publish::Publisher;
use crate::reconcile::{Answer, Reconciler, Times};
use crate::tickets::Tickets;
use pond_clock::Clock;

/// Maximum number of inputs that are processed before outputs are carried out.
const MAX_INPUTS_PER_ROUND: usize = 2048;

/// Maximum time to wait for an input.
const INPUT_TIMEOUT: Duration = Duration::from_millis(5);

/// The components that the deciding thread is created from.
pub struct Parts {
    /// The replica's name.
    pub name: String,
    /// The names and operator addresses of all replicas.
    pub replicas: Vec<pond_settings::Replica>,
    /// Writes the durable files; it holds messages to other replicas back until the writes that they
    /// depend on are durable.
    pub writer: Writer<Envelope>,
    /// The contents that were recovered from them.
    pub recovered: Recovered,
    /// This replica as a member.
    pub member: pond_proto::quorum::Member,
    /// Inputs.
    pub input_receiver: Receiver<Input>,
    /// Orders to the platform thread.
    pub orders: mpsc::Sender<Order>,
    /// The durations that the reconciler uses.
    pub times: Times,
    /// The clocks.
    pub clock: Clock,
    /// The logger.
    pub log: Logger,
    /// Maximum time for a planned stop, in milliseconds.
    pub stop_ms: Span,
}

/// The data of a replica while it is the leader.
struct Leadership {
    reconciler: Reconciler,
    scheduler: Scheduler,
    last_decision: Millis,
}

/// The state of the deciding thread.
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
    own_changes: BTreeMap<u64, Change>,
    leadership: Option<Leadership>,
    led_term: Option<u64>,
    last_heartbeat: Millis,
    /// The leader and term that were last announced to entries and endpoint processes, and when.
    announced: (String, u64),
    announced_at: Millis,
    checksum: (u64, u32),
    list_failed: bool,
    stopping: Option<Millis>,
    killed: bool,
}

impl Replica {
    /// Creates a replica from its recovered files.
    ///
    /// # Errors
    /// If the snapshot cannot be decoded.
    pub fn new(mut parts: Parts) -> Result<Replica, String> {
        let now = parts.clock.now();
        let recovered = std::mem::replace(
            &mut parts.recovered,
            Recovered {
                id: 0,
                initial: Vec::new(),
                hard: Default::default(),
                snapshot: None,
                entries: Vec::new(),
                truncated_bytes: 0,
            },
        );
        if recovered.truncated_bytes > 0 {
            event!(parts.log, LOG_TRUNCATED, "bytes" => recovered.truncated_bytes);
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
            own_changes: BTreeMap::new(),
            leadership: None,
            led_term: None,
            last_heartbeat: now,
            announced: (String::new(), 0),
            announced_at: Millis(0),
            checksum: (0, 0),
            list_failed: false,
            stopping: None,
            killed: false,
        })
    }

    /// Runs until it is stopped or its files fail.
    ///
    /// # Errors
    /// The error of the data files.
    pub fn run(mut self) -> Result<(), pond_store::Error> {
        self.try_to_form();
        loop {
            self.take_inputs();
            if self.killed {
                return Ok(());
            }
            let now = self.parts.clock.now();
            // A candidate that cannot store its vote for itself cannot win an election.
            if !self.abstains() || self.core.role() == Role::Leader {
                self.core.step(now, QuorumInput::Tick);
            }
            self.process_outputs()?;
            self.lead(now);
            self.process_outputs()?;
            self.send_heartbeats(now);
            if self.may_end(now) {
                return Ok(());
            }
        }
    }

    fn take_inputs(&mut self) {
        let first = match self.parts.input_receiver.recv_timeout(INPUT_TIMEOUT) {
            Ok(input) => input,
            Err(RecvTimeoutError::Timeout) => return,
            Err(RecvTimeoutError::Disconnected) => Input::Stop,
        };
        let now = self.parts.clock.now();
        self.input(now, first);
        for _ in 1..MAX_INPUTS_PER_ROUND {
            let Ok(input) = self.parts.input_receiver.try_recv() else { return };
            self.input(now, input);
        }
    }

    fn input(&mut self, now: Millis, input: Input) {
        match input {
            Input::Link(event) => self.link(now, event),
            Input::Order { meta, order, reply } => self.order(now, meta, order, reply),
            Input::Read { read_state } => {
                let ticket = self.tickets.read(read_state);
                self.core.step(now, QuorumInput::Read { ticket });
            }
            Input::Status { reply } => {
                let _ = reply.send(self.status());
            }
            Input::Listed(list) => self.listed(now, list),
            Input::Worker(call_result) => {
                let wall = self.parts.clock.wall();
                if let Some(leadership) = &mut self.leadership {
                    if let Err(error) = &call_result.result {
                        event!(self.parts.log, ORDER_FAILED,
                            "vm" => call_result.vm.to_string(), "why" => error.to_string());
                    }
                    if let Ok(Answer::Usage(usage)) = &call_result.result {
                        leadership.scheduler.measure(&self.state, &measured(usage, wall));
                    }
                    leadership.reconciler.call_ended(&self.state, now, wall, call_result);
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
            self.core.step(now, QuorumInput::TransferLeadership);
        }
    }

    /// Returns whether a planned stop is complete: this replica no longer leads, is the only voter,
    /// or has reached the time limit.
    fn may_end(&self, now: Millis) -> bool {
        let Some(until) = self.stopping else { return false };
        let alone = self.core.members().voters().all(|id| id == self.core.id());
        if now >= until {
            event!(self.parts.log, STOP_LATE);
        }
        now >= until || alone || self.core.role() != Role::Leader
    }
}

/// Converts a usage report to the scheduler's measurements.
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
