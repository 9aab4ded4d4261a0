//! The task that owns everything of a replica.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pond_clock::Clock;
use pond_job::{Change, Leader, State, Terms};
use pond_link::{Event, LinkKey, Sender};
use pond_log::{Logger, Metrics, event};
use pond_proto::fleet::Lead;
use pond_proto::quorum::{Letter, Member, Members};
use pond_proto::{Millis, Span};
use pond_quorum::{Core, Input, Role, SnapshotImage, Start, Tuning};
use pond_store::{Recovered, Snapshot, Store, Writer};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::adviser::Adviser;
use crate::formation::Formation;
use crate::handle::{Handle, Request};
use crate::operators::Held;
use crate::peers::Peers;
use crate::waiting::{Waiter, Waiting};

/// Requests of operators that may wait: far more than operators send at once.
const REQUESTS: usize = 64;

/// Events of links that may wait: more than a second of reports, with two a second from each of
/// 1,200 agents.
pub(crate) const EVENTS: usize = 4096;

/// Inputs that are taken in before outputs are carried out together, with one sync: half a second
/// of the peak of 1,000 starts a second.
const BATCH: usize = 512;

/// Longest time between looks at what is due, in milliseconds: half a heartbeat.
const TICK_MS: u64 = 50;

/// Without word from a leader for this long, or up to twice as long, a replica asks for votes, in
/// milliseconds. A follower on a tenth of a core may be silent for some hundred milliseconds.
const ELECTION_MS: Span = 500;

/// Time between heartbeats of the leader, in milliseconds: a fifth of the shortest election.
const HEARTBEAT_MS: Span = 100;

/// Longest time that a planned stop waits for another leader, in milliseconds: two elections.
const STOP_MS: Span = 1_500;

/// What a replica is made from.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where it takes internal links; also its name among the replicas.
    pub internal: SocketAddr,
    /// Internal addresses of replicas to begin with.
    pub seeds: Vec<String>,
    /// Whether the whole system starts for the first time, so that the seeds form the quorum.
    pub first_start: bool,
    /// Its data centre.
    pub data_centre: String,
    /// Times of leases.
    pub terms: Terms,
}

/// A process that has a link to this replica.
pub(crate) struct Guest {
    /// What it calls itself.
    pub name: String,
    /// Sends to it.
    pub sender: Sender,
    /// Address and identity, if it is a replica that has presented itself.
    pub presented: Option<(String, u64)>,
}

/// A replica.
pub struct Replica {
    pub(crate) settings: Settings,
    /// Writes the durable files; letters wait in it for what must last before them.
    pub(crate) writer: Writer<Letter>,
    /// Since when the disk is full.
    pub(crate) full_since: Option<Millis>,
    /// When that was last told.
    pub(crate) full_told: Option<Millis>,
    pub(crate) core: Core,
    pub(crate) state: State,
    /// Entries of the log up to this index are applied.
    pub(crate) applied: u64,
    pub(crate) formation: Formation,
    pub(crate) peers: Peers,
    pub(crate) guests: BTreeMap<LinkKey, Guest>,
    pub(crate) waiting: Waiting,
    /// Operators who wait until it is known who leads.
    pub(crate) held: Vec<Held>,
    /// There while this replica leads.
    pub(crate) leader: Option<Leader>,
    /// What those who are linked were last told about the lead.
    pub(crate) told: Option<Lead>,
    pub(crate) metrics: Metrics,
    pub(crate) log: Logger,
    /// Where the leader asks which workers may run a step.
    pub(crate) adviser: Arc<dyn Adviser>,
    /// Brings answers of the adviser back.
    pub(crate) own: Handle,
    /// Until when a planned stop waits for another leader.
    pub(crate) stopping: Option<Millis>,
    links: mpsc::Receiver<Event>,
    requests: mpsc::Receiver<Request>,
    clock: Clock,
}

impl Replica {
    /// A replica from its files and what they held, with its links on the current runtime.
    ///
    /// # Errors
    /// If the snapshot cannot be read.
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
        let core = core(recovered, Members::default(), clock.now());
        let (requests, request_queue) = mpsc::channel(REQUESTS);
        let (events, links) = mpsc::channel(EVENTS);
        let peers = Peers::start(&settings, listener, events, log.clone());
        let handle = Handle { requests };
        let replica = Replica {
            settings,
            writer: Writer::new(store),
            full_since: None,
            full_told: None,
            core,
            state,
            applied,
            formation,
            peers,
            guests: BTreeMap::new(),
            waiting: Waiting::default(),
            held: Vec::new(),
            leader: None,
            told: None,
            metrics,
            log,
            adviser,
            own: handle.clone(),
            stopping: None,
            links,
            requests: request_queue,
            clock,
        };
        replica.show_evacuations();
        Ok((replica, handle))
    }

    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Time of day in milliseconds since 1970; only timed jobs and the order of jobs depend on it.
    pub(crate) fn wall(&self) -> Millis {
        self.clock.wall()
    }

    /// Runs until it is stopped.
    ///
    /// # Errors
    /// What failed of the files.
    pub async fn run(mut self) -> Result<(), pond_store::Error> {
        self.learn_members();
        loop {
            let now = self.now();
            // A candidate whose vote for itself cannot last can win nothing.
            if !self.abstains() || self.core.role() == Role::Leader {
                self.core.step(now, Input::Tick);
            }
            self.carry_out()?;
            self.lead(now);
            self.carry_out()?;
            self.tell_who_leads(now);
            self.answer_held(now);
            if self.may_end(now) {
                return Ok(());
            }
            self.take_inputs().await;
        }
    }

    async fn take_inputs(&mut self) {
        tokio::select! {
            Some(event) = self.links.recv() => self.link(event),
            Some(request) = self.requests.recv() => self.request(request),
            () = sleep(Duration::from_millis(TICK_MS)) => {}
        }
        for _ in 0..BATCH {
            let Ok(event) = self.links.try_recv() else { break };
            self.link(event);
        }
        while let Ok(request) = self.requests.try_recv() {
            self.request(request);
        }
    }

    fn request(&mut self, request: Request) {
        let now = self.now();
        match request {
            Request::Operator(order) => self.operator(now, order),
            Request::Learn(addresses) => self.peers.learn(&addresses),
            Request::Advised(question, permits) => {
                if let Some(leader) = &mut self.leader {
                    leader.advised(now, &question, permits);
                }
            }
            Request::Stop => self.stop(now),
        }
    }

    /// Whether this replica leads, no other can, and its disk takes what it accepts.
    pub(crate) fn certain(&self, now: Millis) -> bool {
        !self.abstains()
            && self.core.ready()
            && self.core.lease_until().is_some_and(|until| now < until)
    }

    /// Proposes a change.
    pub(crate) fn propose(&mut self, now: Millis, change: &Change, waiter: Waiter) {
        if self.abstains() {
            return self.reject(waiter);
        }
        match change.encode() {
            Ok(data) => {
                let ticket = self.waiting.ticket(waiter);
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
            self.stopping = Some(now + STOP_MS);
            self.core.step(now, Input::HandOver);
        }
    }

    /// Whether a planned stop is done: another leads, or time is up.
    fn may_end(&self, now: Millis) -> bool {
        let Some(until) = self.stopping else { return false };
        let other = self.core.leader().is_some_and(|leader| leader.id != self.core.id());
        let led = self.core.role() == Role::Leader;
        now >= until || (!led && other) || !self.formation.formed()
    }

    /// Takes the quorum's first members once all of them are there.
    pub(crate) fn try_to_form(&mut self) {
        let Some(members) = self.formation.first_members() else { return };
        if self.core.term() != 0 {
            return;
        }
        event!(self.log, QUORUM_FORMED, "replicas" => members.list.len());
        self.formation.set_formed();
        let recovered = Recovered {
            id: self.core.id(),
            hard: Default::default(),
            snapshot: None,
            entries: Vec::new(),
            cut: 0,
        };
        self.core = core(recovered, members, self.now());
        self.learn_members();
    }
}

/// The state of the newest snapshot, or nothing yet; a torn end of the files is logged.
fn recovered_state(recovered: &Recovered, log: &Logger) -> Result<State, String> {
    if recovered.cut > 0 {
        event!(log, LOG_TRUNCATED, "bytes" => recovered.cut);
    }
    match &recovered.snapshot {
        Some(snapshot) => State::decode(&snapshot.data),
        None => Ok(State::new()),
    }
}

/// How this replica presents itself at first: as new, unless its files hold a log.
fn formation(settings: &Settings, recovered: &Recovered) -> Formation {
    let address = settings.internal.to_string();
    let own = Member { id: recovered.id, name: address.clone(), address, voter: true };
    let formed = recovered.snapshot.is_some() || !recovered.entries.is_empty();
    let first = if settings.first_start { settings.seeds.clone() } else { Vec::new() };
    Formation::new(own, first, formed)
}

fn core(recovered: Recovered, members: Members, now: Millis) -> Core {
    let image =
        |snapshot: Snapshot| SnapshotImage { head: snapshot.head, data: Arc::new(snapshot.data) };
    let start = Start {
        id: recovered.id,
        hard: recovered.hard,
        snapshot: recovered.snapshot.map(image),
        entries: recovered.entries,
        members,
        seed: recovered.id,
    };
    let tuning =
        Tuning { election_ms: ELECTION_MS, heartbeat_ms: HEARTBEAT_MS, ..Tuning::default() };
    Core::new(start, tuning, now)
}
