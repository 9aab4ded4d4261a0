//! Admission of new jobs by real replicas, with links that are lost and leaders that change. A job that was
//! accepted is never rejected afterwards, and a rejected one is never in the log.

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use pond_job::{Admission, Change, Configuration, Leader, Queue, Reason, Rejection, State};
use pond_link::{Config, Event, EventKind, LinkKey, dial};
use pond_log::Metrics;
use pond_proto::fleet::{JobRef, JobReply, JobRequest, Outcome, Submit, Target, Verb};
use pond_proto::job::{Spec, Step};
use pond_proto::wire::{Body, Role};
use pond_proto::{Incarnation, Millis};
use pond_replica::{Admitter, Handle, Submission};
use pond_store::{Memory, Store};
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

use support::{MEMORY_BYTES, RECOVERY_TIMEOUT, leader, listeners, start_measured};

/// Time after which rejected callers may retry, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_200;

/// Length of the text of a large job, in bytes.
const LARGE_TEXT_BYTES: usize = 3 << 20;

/// Time between looks at the log of a replica.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Incarnation of the entry.
const ENTRY: Incarnation = Incarnation(7);

/// What the admitter of all replicas decides, and how often it was asked about each job.
#[derive(Clone, Default)]
struct Switch(Arc<Mutex<Decisions>>);

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

    fn accept(&self, left: Option<usize>) {
        self.with(|decisions| decisions.left = left);
    }

    fn asked(&self, id: u64) -> usize {
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
fn first_attempt_at(id: u64) -> Millis {
    Millis(1_000 + id)
}

/// A replica with a runtime of its own, which loses power when it is dropped.
struct Node {
    handle: Handle,
    metrics: Metrics,
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
    ) -> Node {
        let (power, off) = oneshot::channel();
        let (started, parts) = std::sync::mpsc::channel();
        let (seeds, admitter) = (seeds.to_vec(), Box::new(switch.clone()));
        let thread = std::thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
            runtime.block_on(async {
                let listener = TcpListener::from_std(listener).expect("a listener");
                let (handle, _, metrics) =
                    start_measured(own, &seeds, listener, disk, Some(admitter));
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
struct Cluster {
    switch: Switch,
    seeds: Vec<SocketAddr>,
    disks: Vec<Memory>,
    nodes: BTreeMap<usize, Node>,
}

impl Cluster {
    /// Starts replicas with these queues.
    async fn start(queues: Vec<Queue>) -> Cluster {
        let (listeners, seeds) = listeners().await;
        let disks: Vec<Memory> = seeds.iter().map(|_| Memory::new()).collect();
        let switch = Switch::default();
        let mut nodes = BTreeMap::new();
        for (i, listener) in listeners.into_iter().enumerate() {
            let listener = listener.into_std().expect("a listener");
            let node = Node::start(seeds[i], &seeds, listener, disks[i].clone(), &switch);
            nodes.insert(i, node);
        }
        let cluster = Cluster { switch, seeds, disks, nodes };
        let configuration = Configuration { version: 1, queues, ..Configuration::default() };
        let leading = cluster.leader().await;
        cluster.nodes[&leading].handle.configure(configuration).await.expect("configured");
        cluster
    }

    async fn leader(&self) -> usize {
        let (keys, handles): (Vec<usize>, Vec<Handle>) =
            self.nodes.iter().map(|(i, node)| (*i, node.handle.clone())).unzip();
        keys[leader(&handles).await]
    }

    /// Cuts the power of a replica.
    fn stop(&mut self, i: usize) {
        self.nodes.remove(&i).expect("a running replica");
    }

    /// Starts a stopped replica from its disk.
    async fn restart(&mut self, i: usize) {
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
        let node = Node::start(self.seeds[i], &self.seeds, listener, disk, &self.switch);
        self.nodes.insert(i, node);
    }

    /// Returns the submitted jobs in the log of a replica, each with its time of submission.
    fn submitted(&self, i: usize) -> Vec<(u64, Millis)> {
        let (_, recovered) = Store::open(Box::new(self.disks[i].copy())).expect("opens");
        let changes = recovered.entries.iter().filter_map(|entry| Change::decode(&entry.data).ok());
        let submitted = |change| match change {
            Change::Submit { id, at, .. } => Some((id, at)),
            _ => None,
        };
        changes.filter_map(submitted).collect()
    }

    /// Connects an entry to the leader.
    async fn connect(&self) -> Entry {
        Entry::connect(self.seeds[self.leader().await]).await
    }
}

/// The link of an entry to a replica.
struct Entry {
    sender: pond_link::Sender,
    events: mpsc::Receiver<Event>,
}

impl Entry {
    async fn connect(replica: SocketAddr) -> Entry {
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

    fn send(&self, ticket: u64, path: &str, verb: Verb, understands_rejection: bool) {
        let target = Target { host: "host".to_owned(), path: path.to_owned() };
        let request = JobRequest { ticket, target, verb: Some(verb), understands_rejection };
        assert!(self.sender.send(Body::JobRequest(request)));
    }

    fn submit(&self, ticket: u64, id: u64) {
        self.send(ticket, "/short/", job(id), true);
    }

    async fn reply(&mut self) -> JobReply {
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

    async fn outcome(&mut self) -> Outcome {
        self.reply().await.outcome()
    }

    /// Returns whether the replica knows a job.
    async fn knows(&mut self, id: u64) -> bool {
        self.send(u64::MAX, "/short/", Verb::Look(JobRef { id }), true);
        match self.outcome().await {
            Outcome::Known => true,
            Outcome::NoJob => false,
            other => panic!("{other:?}"),
        }
    }
}

fn job(id: u64) -> Verb {
    let step = Step { tasks: 1, milli_cpu: 400, estimate_ms: 700, ..Step::default() };
    Verb::Submit(Submit { id, spec: Spec { steps: vec![step], ..Spec::default() } })
}

fn queue(name: &str) -> Queue {
    let (host, prefix) = ("host".to_owned(), format!("/{name}/"));
    Queue { name: name.to_owned(), host, prefix, max_attempts: 3, ..Queue::default() }
}

async fn start() -> Cluster {
    Cluster::start(vec![queue("short")]).await
}

/// Guards against a rejection without the time to retry, against a rejected job that is proposed, and against
/// an objective that counts from a later attempt than the first.
#[tokio::test]
async fn rejected_job_is_answered_counted_and_not_in_the_log() {
    let cluster = start().await;
    let mut entry = cluster.connect().await;
    cluster.switch.accept(Some(1));
    entry.submit(1, 1);
    assert_eq!(entry.outcome().await, Outcome::Accepted);
    entry.submit(2, 2);
    let reply = entry.reply().await;
    assert_eq!((reply.ticket, reply.outcome()), (2, Outcome::Rejected));
    assert_eq!(reply.retry_after_ms, RETRY_AFTER_MS);
    assert!(entry.knows(1).await && !entry.knows(2).await);
    let leading = cluster.leader().await;
    assert_eq!(cluster.submitted(leading), [(1, first_attempt_at(1))]);
    let metrics = cluster.nodes[&leading].metrics.text();
    for outcome in ["accepted", "rejected"] {
        let line = format!("admissions{{queue=\"short\",outcome=\"{outcome}\"}} 1\n");
        assert!(metrics.contains(&line), "{line}{metrics}");
    }
}

/// Guards against jobs that fill the memory of the replicas, against the rejection of a copy of an accepted one, and
/// against memory that is not released with a job.
#[tokio::test]
async fn jobs_without_memory_are_rejected_until_others_have_ended() {
    let cluster = start().await;
    let mut entry = cluster.connect().await;
    let large = |id: u64| {
        let text = "a".repeat(LARGE_TEXT_BYTES);
        let steps = vec![Step { tasks: 1, milli_cpu: 400, ..Step::default() }];
        Verb::Submit(Submit { id, spec: Spec { text, steps, repeat: None } })
    };
    let mut accepted = 0;
    let rejected = loop {
        let id = accepted + 1;
        entry.send(id, "/short/", large(id), true);
        match entry.reply().await {
            reply if reply.outcome() == Outcome::Accepted => accepted = id,
            reply => break reply,
        }
    };
    assert_eq!(rejected.outcome(), Outcome::Rejected);
    assert!(rejected.retry_after_ms > 0);
    assert!(accepted as usize * LARGE_TEXT_BYTES <= MEMORY_BYTES / 10, "{accepted}");
    entry.send(100, "/short/", large(1), true);
    assert_eq!(entry.outcome().await, Outcome::Accepted);
    assert!(!entry.knows(accepted + 1).await);
    entry.send(101, "/short/", Verb::Cancel(JobRef { id: 1 }), true);
    assert_eq!(entry.outcome().await, Outcome::Accepted);
    let released = async {
        for ticket in 200.. {
            entry.send(ticket, "/short/", large(accepted + 1), true);
            if entry.outcome().await == Outcome::Accepted {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(RECOVERY_TIMEOUT, released).await.expect("memory in time");
}

/// Guards against the rejection of a copy whose first request was accepted but is not applied yet.
#[tokio::test]
async fn copy_of_a_job_with_a_proposal_in_flight_is_not_rejected() {
    let cluster = start().await;
    let mut entry = cluster.connect().await;
    for id in 1..=50 {
        cluster.switch.accept(Some(1));
        (0..3).for_each(|copy| entry.submit(3 * id + copy, id));
        for _ in 0..3 {
            assert_eq!(entry.outcome().await, Outcome::Accepted, "job {id}");
        }
        assert_eq!(cluster.switch.asked(id), 1);
    }
}

/// Guards against the rejection of a copy after the answer to an accepted job was lost, by the same leader
/// and by the next one.
#[tokio::test]
async fn copy_of_an_accepted_job_is_accepted_after_a_lost_answer() {
    let mut cluster = start().await;
    let mut entry = cluster.connect().await;
    entry.submit(1, 1);
    assert_eq!(entry.outcome().await, Outcome::Accepted);
    cluster.switch.accept(Some(0));
    drop(entry);
    let mut entry = cluster.connect().await;
    entry.submit(2, 1);
    assert_eq!(entry.outcome().await, Outcome::Accepted);
    cluster.stop(cluster.leader().await);
    let mut entry = cluster.connect().await;
    entry.submit(3, 1);
    assert_eq!(entry.outcome().await, Outcome::Accepted);
    assert_eq!(cluster.switch.asked(1), 1);
}

/// Guards against a job that runs after its caller got a rejection from the leader that followed the one
/// which had accepted and proposed it.
#[tokio::test]
async fn job_whose_leader_is_lost_before_the_commit_is_judged_anew_and_stays_rejected() {
    let mut cluster = start().await;
    let first = cluster.leader().await;
    let entry = cluster.connect().await;
    let others: Vec<usize> = cluster.nodes.keys().copied().filter(|i| *i != first).collect();
    others.iter().for_each(|i| cluster.stop(*i));
    entry.submit(1, 1);
    let proposed = async {
        while cluster.submitted(first).is_empty() {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(RECOVERY_TIMEOUT, proposed).await.expect("proposed before the lease expired");
    assert_eq!(cluster.switch.asked(1), 1);
    cluster.stop(first);
    cluster.switch.accept(Some(0));
    for i in &others {
        cluster.restart(*i).await;
    }
    let mut entry = cluster.connect().await;
    entry.submit(1, 1);
    assert_eq!(entry.outcome().await, Outcome::Rejected);
    assert_eq!(cluster.switch.asked(1), 2);
    // The former leader, whose disk has the proposal, becomes part of the only majority.
    cluster.restart(first).await;
    cluster.stop(others[0]);
    let mut entry = cluster.connect().await;
    assert!(!entry.knows(1).await);
}

/// Guards against an entry of an earlier version that reads a rejection as an acceptance.
#[tokio::test]
async fn entry_of_an_earlier_version_gets_no_rejection() {
    let cluster = start().await;
    let mut entry = cluster.connect().await;
    cluster.switch.accept(Some(0));
    entry.send(1, "/short/", job(1), false);
    assert_eq!(entry.outcome().await, Outcome::Accepted);
    assert_eq!(cluster.switch.asked(1), 0);
    assert!(entry.knows(1).await);
}

/// Guards against a job that runs after its caller got a rejection, because a first copy of the request is
/// read from a lost link after the second copy was rejected.
#[tokio::test]
async fn late_copy_of_a_rejected_request_does_not_run_the_job() {
    let cluster = start().await;
    let mut lost = cluster.connect().await;
    let mut entry = cluster.connect().await;
    cluster.switch.accept(Some(0));
    entry.submit(1, 1);
    assert_eq!(entry.outcome().await, Outcome::Rejected);
    cluster.switch.accept(None);
    lost.submit(1, 1);
    assert_eq!(lost.outcome().await, Outcome::Rejected);
    assert!(!entry.knows(1).await);
    // The caller's next attempt is a new request.
    entry.submit(2, 1);
    assert_eq!(entry.outcome().await, Outcome::Accepted);
}

/// Guards against metrics that grow with each queue that was ever configured.
#[tokio::test]
async fn number_of_counters_is_bounded() {
    let names: Vec<String> = (0..80).map(|i| format!("q{i}")).collect();
    let cluster = Cluster::start(names.iter().map(|name| queue(name)).collect()).await;
    let mut entry = cluster.connect().await;
    for (i, name) in names.iter().enumerate() {
        entry.send(i as u64, &format!("/{name}/"), job(i as u64), true);
        assert_eq!(entry.outcome().await, Outcome::Accepted);
    }
    let metrics = cluster.nodes[&cluster.leader().await].metrics.text();
    assert_eq!(metrics.lines().filter(|line| line.starts_with("admissions{")).count(), 65);
    assert!(metrics.contains("admissions{queue=\"other\",outcome=\"accepted\"} 16\n"));
}
