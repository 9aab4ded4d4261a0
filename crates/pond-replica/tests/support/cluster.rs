//! A quorum whose replicas lose power and whose admission is decided by the test, and entries with links to it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use pond_job::{Admission, Change, Configuration, Leader, Queue, Reason, Rejection, State, Timing};
use pond_link::{Config, Event, EventKind, LinkKey, dial};
use pond_log::Metrics;
use pond_proto::fleet::{JobRef, JobReply, JobRequest, Outcome, Submit, Target, Verb};
use pond_proto::job::{Spec, Step};
use pond_proto::wire::{Body, Role};
use pond_proto::{Incarnation, Millis, Span};
use pond_replica::{Admitter, Handle, Settings, Submission};
use pond_store::{Memory, Store};
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

use super::{RECOVERY_TIMEOUT, REPLICAS, leader, listeners, settings, start_settings};

/// Time after which rejected callers may retry, in milliseconds.
pub const RETRY_AFTER_MS: u64 = 1_200;

/// Time between looks at the log of a replica.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Incarnation of the entry.
const ENTRY: Incarnation = Incarnation(7);

/// What the admitter of all replicas decides, and how often it was asked about each job.
#[derive(Clone, Default)]
pub struct Switch(Arc<Mutex<Decisions>>);

#[derive(Default)]
struct Decisions {
    /// Number of jobs to accept from now on; `None` for all.
    left: Option<usize>,
    asked: BTreeMap<u64, usize>,
}

impl Switch {
    fn with<T>(&self, operation: impl FnOnce(&mut Decisions) -> T) -> T {
        operation(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    pub fn accept(&self, left: Option<usize>) {
        self.with(|decisions| decisions.left = left);
    }

    pub fn asked(&self, id: u64) -> usize {
        self.with(|decisions| decisions.asked.get(&id).copied().unwrap_or(0))
    }
}

impl Admitter for Switch {
    fn admit(&mut self, _: &mut Leader, _: &State, submission: Submission<'_>) -> Admission {
        self.with(|decisions| {
            *decisions.asked.entry(submission.id).or_default() += 1;
            match &mut decisions.left {
                Some(0) => Admission::Rejected(Rejection {
                    reason: Reason::Overload,
                    retry_after_ms: RETRY_AFTER_MS,
                    forecast_ms: 9_000,
                    span_ms: 1_000,
                }),
                left => {
                    left.iter_mut().for_each(|left| *left -= 1);
                    Admission::Accepted { submitted_at: first_attempt_at(submission.id) }
                }
            }
        })
    }
}

/// When the caller of a job first tried to submit it, as decided by [`Switch`].
pub fn first_attempt_at(id: u64) -> Millis {
    Millis(1_000 + id)
}

/// A replica with a runtime of its own, which loses power when it is dropped.
pub struct Node {
    handle: Handle,
    pub metrics: Metrics,
    /// Ends the runtime when it is dropped.
    power: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Node {
    fn start(
        own: SocketAddr,
        seeds: &[SocketAddr],
        listener: std::net::TcpListener,
        disk: Memory,
        switch: &Switch,
        retention_ms: Span,
    ) -> Node {
        let (power, off) = oneshot::channel();
        let (started, parts) = std::sync::mpsc::channel();
        let (seeds, admitter) = (seeds.to_vec(), Box::new(switch.clone()));
        let thread = std::thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
            runtime.block_on(async {
                let listener = TcpListener::from_std(listener).expect("a listener");
                let settings = settings(own, &seeds, REPLICAS / 2, true);
                let timing = Timing { retention_ms, ..settings.timing };
                let settings = Settings { timing, ..settings };
                let (handle, _, metrics) = start_settings(settings, listener, disk, Some(admitter));
                started.send((handle, metrics)).expect("the test waits");
                // The sender is dropped to end the replica.
                let _ = off.await;
            });
        });
        let (handle, metrics) = parts.recv().expect("a running replica");
        Node { handle, metrics, power: Some(power), thread: Some(thread) }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.power = None;
        if let Some(thread) = self.thread.take() {
            // If it failed, the test fails without it.
            let _ = thread.join();
        }
    }
}

/// Replicas with one configuration and one switch.
pub struct Cluster {
    pub switch: Switch,
    seeds: Vec<SocketAddr>,
    disks: Vec<Memory>,
    pub nodes: BTreeMap<usize, Node>,
    retention_ms: Span,
}

impl Cluster {
    /// Starts replicas with these queues, which retain what has ended for this long.
    pub async fn start(queues: Vec<Queue>, retention_ms: Span) -> Cluster {
        let (listeners, seeds) = listeners().await;
        let disks: Vec<Memory> = seeds.iter().map(|_| Memory::new()).collect();
        let switch = Switch::default();
        let mut nodes = BTreeMap::new();
        for (i, listener) in listeners.into_iter().enumerate() {
            let listener = listener.into_std().expect("a listener");
            let node =
                Node::start(seeds[i], &seeds, listener, disks[i].clone(), &switch, retention_ms);
            nodes.insert(i, node);
        }
        let cluster = Cluster { switch, seeds, disks, nodes, retention_ms };
        let configuration = Configuration { version: 1, queues, ..Configuration::default() };
        let leading = cluster.leader().await;
        cluster.nodes[&leading].handle.configure(configuration).await.expect("configured");
        cluster
    }

    pub async fn leader(&self) -> usize {
        let (keys, handles): (Vec<usize>, Vec<Handle>) =
            self.nodes.iter().map(|(i, node)| (*i, node.handle.clone())).unzip();
        keys[leader(&handles).await]
    }

    /// Cuts the power of a replica.
    pub fn stop(&mut self, i: usize) {
        self.nodes.remove(&i).expect("a running replica");
    }

    /// Starts a stopped replica from its disk.
    pub async fn restart(&mut self, i: usize) {
        let bound = async {
            loop {
                match TcpListener::bind(self.seeds[i]).await {
                    Ok(listener) => return listener.into_std().expect("a listener"),
                    Err(_) => sleep(Duration::from_millis(20)).await,
                }
            }
        };
        let listener = timeout(RECOVERY_TIMEOUT, bound).await.expect("the address is free");
        let disk = self.disks[i].clone();
        let node = Node::start(
            self.seeds[i],
            &self.seeds,
            listener,
            disk,
            &self.switch,
            self.retention_ms,
        );
        self.nodes.insert(i, node);
    }

    /// Returns the submitted jobs in the log of a replica, each with its time of submission.
    pub fn submitted(&self, i: usize) -> Vec<(u64, Millis)> {
        let (_, recovered) = Store::open(Box::new(self.disks[i].copy())).expect("opens");
        let changes = recovered.entries.iter().filter_map(|entry| Change::decode(&entry.data).ok());
        let submitted = |change| match change {
            Change::Submit { id, at, .. } => Some((id, at)),
            _ => None,
        };
        changes.filter_map(submitted).collect()
    }

    /// Returns the size of the largest cancellation in the log of a replica, in bytes.
    pub fn largest_cancellation_bytes(&self, i: usize) -> usize {
        let (_, recovered) = Store::open(Box::new(self.disks[i].copy())).expect("opens");
        let cancellations = recovered
            .entries
            .iter()
            .filter(|entry| matches!(Change::decode(&entry.data), Ok(Change::Cancel { .. })));
        cancellations.map(|entry| entry.data.len()).max().unwrap_or(0)
    }

    /// Connects an entry to the leader.
    pub async fn connect(&self) -> Entry {
        Entry::connect(self.seeds[self.leader().await]).await
    }
}

/// The link of an entry to a replica.
pub struct Entry {
    sender: pond_link::Sender,
    events: mpsc::Receiver<Event>,
}

impl Entry {
    pub async fn connect(replica: SocketAddr) -> Entry {
        let (sender, mut events) = mpsc::channel(1_024);
        let config = Arc::new(Config::new(Role::Entry, "entry", "here", ENTRY));
        tokio::spawn(dial(replica, LinkKey(0), config, sender));
        loop {
            let event = timeout(RECOVERY_TIMEOUT, events.recv()).await.expect("a link in time");
            if let EventKind::Up { sender, .. } = event.expect("an event").kind {
                return Entry { sender, events };
            }
        }
    }

    pub fn send(&self, ticket: u64, path: &str, verb: Verb, understands_rejection: bool) {
        let target = Target { host: "host".to_owned(), path: path.to_owned() };
        let request = JobRequest { ticket, target, verb: Some(verb), understands_rejection };
        assert!(self.sender.send(Body::JobRequest(request)));
    }

    pub fn submit(&self, ticket: u64, id: u64) {
        self.send(ticket, "/short/", job(id), true);
    }

    pub async fn reply(&mut self) -> JobReply {
        let reply = async {
            loop {
                if let EventKind::Frame(Body::JobReply(reply)) =
                    self.events.recv().await.expect("an event").kind
                {
                    return reply;
                }
            }
        };
        timeout(RECOVERY_TIMEOUT, reply).await.expect("a reply in time")
    }

    pub async fn outcome(&mut self) -> Outcome {
        self.reply().await.outcome()
    }

    /// Returns whether the replica knows a job.
    pub async fn knows(&mut self, id: u64) -> bool {
        self.send(u64::MAX, "/short/", Verb::Look(JobRef { id }), true);
        match self.outcome().await {
            Outcome::Known => true,
            Outcome::NoJob => false,
            other => panic!("{other:?}"),
        }
    }
}

pub fn job(id: u64) -> Verb {
    let step = Step { tasks: 1, milli_cpu: 400, estimate_ms: 700, ..Step::default() };
    Verb::Submit(Submit { id, spec: Spec { steps: vec![step], ..Spec::default() } })
}

pub fn queue(name: &str) -> Queue {
    let (host, prefix) = ("host".to_owned(), format!("/{name}/"));
    Queue { name: name.to_owned(), host, prefix, max_attempts: 3, ..Queue::default() }
}
