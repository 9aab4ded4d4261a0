//! The main task of a replica, which owns all of its state.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pond_clock::Clock;
use pond_job::{Change, Leader, State, Timing};
use pond_link::{Event, LinkKey, Sender};
use pond_log::{Logger, Metrics, event};
use pond_proto::fleet::LeaderInfo;
use pond_proto::quorum::{Envelope, Member, Members};
use pond_proto::{Incarnation, Millis, Span};
use pond_quorum::{Core, Input, Role, SnapshotImage, Start, Tuning};
use pond_store::{Recovered, Snapshot, Store, Writer};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::admission::{Admitter, Counters, JobMemory, LeaderAdmitter, Rejections};
use crate::adviser::Adviser;
use crate::formation::Formation;
use crate::handle::{Handle, Request};
use crate::operators::Deferred;
use crate::peers::Peers;
use crate::pending::{Pending, Waiter};
use crate::redundancy::Redundancy;

/// Capacity of the queue of operators' requests: far more than operators send at once.
const REQUEST_QUEUE: usize = 64;

/// Capacity of the queue of link events: more than a second of reports, with two per second from each
/// of 1,200 agents.
pub(crate) const EVENT_QUEUE: usize = 4096;

/// Maximum number of link events that are handled before their outputs are processed together with one
/// sync: half a second at the peak rate of 1,000 starts per second.
const MAX_BATCH: usize = 512;

/// Longest time between checks of timers, in milliseconds: half a heartbeat.
const TICK_MS: u64 = 50;

/// Shortest election timeout, in milliseconds; the actual timeout is random, up to twice as long. A
/// follower on a tenth of a core may be silent for some hundred milliseconds.
const ELECTION_MS: Span = 500;

/// Interval between heartbeats of the leader, in milliseconds: a fifth of the shortest election timeout.
const HEARTBEAT_MS: Span = 100;

/// Longest time that a planned stop waits for another leader, in milliseconds. Covers two elections.
const STOP_TIMEOUT_MS: Span = 1_500;

/// The settings of a replica.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The address at which it accepts internal links; also its name among the replicas.
    pub internal: SocketAddr,
    /// Internal addresses of the replicas that are known at the start.
    pub seeds: Vec<String>,
    /// Whether the whole system starts for the first time, so that the seeds form the quorum.
    pub first_start: bool,
    /// Its data centre.
    pub data_centre: String,
    /// Number of replicas that may be lost at the same time, with their disks.
    pub tolerated_losses: usize,
    /// Time in milliseconds after the start of a replica from which it no longer counts as lost, nor does the
    /// one that it replaces.
    pub catch_up_ms: Span,
    /// Maximum number of links that it accepts.
    pub max_links: usize,
    /// Memory of its machine, in bytes.
    pub memory_bytes: usize,
    /// Durations of leases and of their safety margins.
    pub timing: Timing,
}

/// A process with a link that this replica accepted: an entry, an agent or another replica.
pub(crate) struct Client {
    /// The name that it gave.
    pub name: String,
    /// The address at which it accepts links, if it is a replica.
    pub address: Option<String>,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The sending end of the link.
    pub sender: Sender,
    /// The address and the disk identity, if it is a replica that has presented itself.
    pub presented: Option<(String, u64)>,
}

/// A replica.
pub struct Replica {
    pub(crate) settings: Settings,
    /// Writes the durable files. Messages wait in it for the writes that must be durable first.
    pub(crate) writer: Writer<Envelope>,
    /// Since when the disk is full, if it is.
    pub(crate) full_since: Option<Millis>,
    /// When the full disk was last logged.
    pub(crate) full_logged_at: Option<Millis>,
    pub(crate) core: Core,
    pub(crate) state: State,
    /// Index of the last applied log entry.
    pub(crate) applied: u64,
    pub(crate) formation: Formation,
    pub(crate) peers: Peers,
    pub(crate) clients: BTreeMap<LinkKey, Client>,
    pub(crate) pending: Pending,
    /// Requests of operators that wait until a leader is known.
    pub(crate) deferred: Vec<Deferred>,
    /// Present while this replica leads.
    pub(crate) leader: Option<Leader>,
    /// The last recorded view of the voters, and whether it was logged.
    pub(crate) redundancy: Option<(Redundancy, bool)>,
    /// The last announcement to the linked processes of who leads.
    pub(crate) announced: Option<LeaderInfo>,
    pub(crate) metrics: Metrics,
    pub(crate) log: Logger,
    /// Decides which workers may run a step.
    pub(crate) adviser: Arc<dyn Adviser>,
    /// Decides whether new jobs are accepted.
    pub(crate) admitter: Box<dyn Admitter>,
    pub(crate) rejections: Rejections,
    pub(crate) job_memory: JobMemory,
    /// Size of the log entries that were applied since the last snapshot, in bytes.
    pub(crate) unsnapshotted_bytes: usize,
    pub(crate) admission_counters: Counters,
    /// Returns answers of the adviser to this task.
    pub(crate) handle: Handle,
    /// Until when a planned stop waits for another leader.
    pub(crate) stopping: Option<Millis>,
    links: mpsc::Receiver<Event>,
    requests: mpsc::Receiver<Request>,
    clock: Clock,
}

impl Replica {
    /// Creates a replica from its opened files and starts its links on the current runtime.
    ///
    /// # Errors
    /// A message if the snapshot cannot be decoded.
    pub fn start(
        settings: Settings,
        files: (Store, Recovered),
        listener: TcpListener,
        adviser: Arc<dyn Adviser>,
        clock: Clock,
        metrics: Metrics,
        log: Logger,
    ) -> Result<(Replica, Handle), String> {
        let (store, recovered) = files;
        let state = recovered_state(&recovered, &log)?;
        let formation = formation(&settings, &recovered);
        let applied = recovered.snapshot.as_ref().map_or(0, |snapshot| snapshot.head.index);
        let core = core(recovered, clock.now());
        let job_memory = JobMemory::new(settings.memory_bytes);
        let (requests, request_queue) = mpsc::channel(REQUEST_QUEUE);
        let (events, links) = mpsc::channel(EVENT_QUEUE);
        let peers = Peers::start(&settings, listener, events, log.clone());
        let handle = Handle { requests };
        let replica = Replica {
            settings,
            writer: Writer::new(store),
            full_since: None,
            full_logged_at: None,
            core,
            state,
            applied,
            formation,
            peers,
            clients: BTreeMap::new(),
            pending: Pending::default(),
            deferred: Vec::new(),
            leader: None,
            redundancy: None,
            announced: None,
            metrics,
            log,
            adviser,
            admitter: Box::new(LeaderAdmitter),
            rejections: Rejections::default(),
            job_memory,
            unsnapshotted_bytes: 0,
            admission_counters: Counters::default(),
            handle: handle.clone(),
            stopping: None,
            links,
            requests: request_queue,
            clock,
        };
        replica.update_evacuation_gauge();
        Ok((replica, handle))
    }

    /// Has `admitter` decide about new jobs instead of the leader.
    pub fn with_admitter(mut self, admitter: Box<dyn Admitter>) -> Replica {
        self.admitter = admitter;
        self
    }

    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns the time of day in milliseconds since 1970. Only timed jobs and the order of jobs depend on it.
    pub(crate) fn wall_time(&self) -> Millis {
        self.clock.wall()
    }

    /// Runs the replica until it is stopped.
    ///
    /// # Errors
    /// An error of the files, except a full disk.
    pub async fn run(mut self) -> Result<(), pond_store::Error> {
        self.connect_to_members();
        loop {
            let now = self.now();
            // A candidate must store its vote for itself; with a full disk it cannot win.
            if !self.disk_is_full() || self.core.role() == Role::Leader {
                self.core.step(now, Input::Tick);
            }
            self.process_outputs()?;
            self.form_quorum_if_ready();
            self.lead(now);
            self.process_outputs()?;
            self.drop_expired_addresses(now);
            self.record_redundancy();
            self.announce_leader(now);
            self.answer_deferred(now);
            if self.may_stop(now) {
                return Ok(());
            }
            self.take_inputs().await;
        }
    }

    async fn take_inputs(&mut self) {
        tokio::select! {
            Some(event) = self.links.recv() => self.handle_link_event(event),
            Some(request) = self.requests.recv() => self.handle_request(request),
            () = sleep(Duration::from_millis(TICK_MS)) => {}
        }
        for _ in 0..MAX_BATCH {
            let Ok(event) = self.links.try_recv() else { break };
            self.handle_link_event(event);
        }
        while let Ok(request) = self.requests.try_recv() {
            self.handle_request(request);
        }
    }

    fn handle_request(&mut self, request: Request) {
        let now = self.now();
        match request {
            Request::Operator(command) => self.operator_request(now, command),
            Request::AddAddresses(addresses) => self.peers.replace_seeds(now, &addresses),
            Request::Advised(question, permits) => {
                if let Some(leader) = &mut self.leader {
                    leader.advised(now, &question, permits);
                }
            }
            Request::Stop => self.stop(now),
        }
    }

    /// Whether this replica leads, its lease excludes other leaders, its disk can store proposals, and its state
    /// includes all that earlier leaders acknowledged.
    pub(crate) fn holds_lease(&self, now: Millis) -> bool {
        // The core is ready when the entries of earlier leaders are committed, and the leader is created when
        // they are applied.
        !self.disk_is_full()
            && self.core.ready()
            && self.leader.is_some()
            && self.core.lease_until().is_some_and(|until| now < until)
    }

    /// Proposes a change.
    pub(crate) fn propose(&mut self, now: Millis, change: &Change, waiter: Waiter) {
        if self.disk_is_full() {
            return self.reject(waiter);
        }
        match change.encode() {
            Ok(data) => {
                let ticket = self.pending.ticket(waiter);
                self.core.step(now, Input::Propose { ticket, data });
            }
            Err(why) => {
                event!(self.log, CHANGE_REFUSED, "why" => why);
                self.reject(waiter);
            }
        }
    }

    fn stop(&mut self, now: Millis) {
        if self.stopping.is_none() {
            event!(self.log, STOPPING);
            self.stopping = Some(now + STOP_TIMEOUT_MS);
            self.core.step(now, Input::TransferLeadership);
        }
    }

    /// Whether a planned stop is complete: another replica leads, or the timeout has passed.
    fn may_stop(&self, now: Millis) -> bool {
        let Some(until) = self.stopping else { return false };
        let other = self.core.leader().is_some_and(|leader| leader.id != self.core.id());
        let leads = self.core.role() == Role::Leader;
        now >= until || (!leads && other) || !self.formation.formed()
    }

    /// Forms the quorum once all initial members have presented themselves. The core must have no outputs left:
    /// its term and its vote are kept as they are on the disk.
    fn form_quorum_if_ready(&mut self) {
        let Some(members) = self.formation.initial_members() else { return };
        event!(self.log, QUORUM_FORMED, "replicas" => members.list.len());
        self.formation.set_formed();
        let start = Start {
            id: self.core.id(),
            hard: self.core.hard_state(),
            snapshot: None,
            entries: Vec::new(),
            members,
            seed: self.core.id(),
        };
        self.core = Core::new(start, tuning(), self.now());
        self.connect_to_members();
    }
}

/// Returns the state of the newest snapshot, or an empty state. Logs a truncated end of the log files.
fn recovered_state(recovered: &Recovered, log: &Logger) -> Result<State, String> {
    if recovered.truncated_bytes > 0 {
        event!(log, LOG_TRUNCATED, "bytes" => recovered.truncated_bytes);
    }
    match &recovered.snapshot {
        Some(snapshot) => State::decode(&snapshot.data),
        None => Ok(State::new()),
    }
}

/// Creates the formation. This replica counts as new unless its files hold a log.
fn formation(settings: &Settings, recovered: &Recovered) -> Formation {
    let address = settings.internal.to_string();
    let own = Member { id: recovered.id, name: address.clone(), address, voter: true };
    let formed = recovered.snapshot.is_some() || !recovered.entries.is_empty();
    let first_start = settings.first_start.then(|| settings.seeds.clone());
    let initial = first_start.unwrap_or_else(|| recovered.initial.clone());
    Formation::new(own, initial, formed)
}

fn core(recovered: Recovered, now: Millis) -> Core {
    let image =
        |snapshot: Snapshot| SnapshotImage { head: snapshot.head, data: Arc::new(snapshot.data) };
    let start = Start {
        id: recovered.id,
        hard: recovered.hard,
        snapshot: recovered.snapshot.map(image),
        entries: recovered.entries,
        members: Members::default(),
        seed: recovered.id,
    };
    Core::new(start, tuning(), now)
}

fn tuning() -> Tuning {
    Tuning { election_ms: ELECTION_MS, heartbeat_ms: HEARTBEAT_MS, ..Tuning::default() }
}
