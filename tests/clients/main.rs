//! Crowds of clients that keep to no rules, against the real processes on machines with little memory and few
//! descriptors.
//!
//! Whatever a crowd sends, each process lives, stays within the memory and the descriptors that its settings state,
//! and answers an ordinary request while the crowd is still connected.

mod crowd;
mod node;

use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use crowd::{Crowd, JOB_ID, Message};
use node::{Gauge, Listener, MAX_OPEN, MEMORY_MB, Node};
use pond_http::{Call, Client, Method, StatusCode};
use serde_json::{Value, json};
use tokio::runtime::Runtime;

/// Number of clients of a crowd.
const CLIENTS: usize = 400;

/// Number of clients of a crowd at a listener that accepts bodies or frames of [`LARGE_BYTES`].
const LARGE_CLIENTS: usize = 40;

/// Number of clients of a crowd that sends very small chunks.
const SMALL_CHUNK_CLIENTS: usize = 64;

/// Largest body of callers, workers and probes, in bytes.
const BODY_BYTES: usize = 256 << 10;

/// Largest body of operators and largest frame of links, in bytes.
const LARGE_BYTES: usize = 4 << 20;

/// Size of a body in very small chunks, in bytes.
const SMALL_CHUNK_BODY_BYTES: usize = 64 << 10;

/// What a client sends that never ends, in bytes.
const ENDLESS_BYTES: usize = 512 << 10;

/// Length of the extension of a chunk, in bytes.
const EXTENSION_BYTES: usize = 8 << 10;

/// Number of crowds whose complete jobs reach control one after the other.
const CROWDS: usize = 4;

/// Number of tasks of a job of many tasks.
const MANY_TASKS: usize = 10_000;

/// Room for the JSON at the end of a body, in bytes.
const JSON_BYTES: usize = 1 << 10;

/// Size of the pieces of a body that is sent piece by piece, in bytes.
const PIECE_BYTES: usize = 16 << 10;

/// Interval at which the memory and the descriptors of a process are read.
const GAUGE_INTERVAL: Duration = Duration::from_millis(5);

/// How long an ordinary request waits for its answer. It only ends a test whose process hangs.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Interval between attempts while the processes start.
const START_INTERVAL: Duration = Duration::from_millis(50);

/// One test at a time: the processes must not share the machine with another crowd.
static TURN: Mutex<()> = Mutex::new(());

/// Number of the next machine.
static NEXT_MACHINE: AtomicU8 = AtomicU8::new(1);

/// Returns an address that no other process of this test uses.
fn next_ip() -> Ipv4Addr {
    let machine = NEXT_MACHINE.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, 126, 1 + (std::process::id() % 250) as u8, machine)
}

/// A control replica, an entry and an agent.
struct Installation {
    runtime: Runtime,
    control: Node,
    entry: Node,
    agent: Node,
    next_job: u64,
    folder: PathBuf,
    _turn: MutexGuard<'static, ()>,
}

impl Installation {
    fn start() -> Installation {
        let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
        let control_ip = next_ip();
        let folder = std::env::temp_dir()
            .join(format!("pondbay-clients-{}-{control_ip}", std::process::id()));
        let start = |role, ip| Node::start(role, ip, control_ip, &folder);
        let mut installation = Installation {
            control: start("control", control_ip),
            entry: start("entry", next_ip()),
            agent: start("agent", next_ip()),
            runtime: Runtime::new().expect("a runtime"),
            next_job: 0,
            folder: folder.clone(),
            _turn: turn,
        };
        let ready = |installation: &mut Installation, listener| {
            while installation.request(listener) != Some(StatusCode::OK) {
                thread::sleep(START_INTERVAL);
            }
        };
        let configure = |installation: &Installation| {
            let body = configuration(installation.entry.ip()).to_string();
            let call = Call::new(Method::PUT, "/config", body).with_json();
            installation.call(Listener::Control, call)
        };
        while configure(&installation) != Some(StatusCode::OK) {
            thread::sleep(START_INTERVAL);
        }
        ready(&mut installation, Listener::Readiness);
        ready(&mut installation, Listener::Callers);
        installation
    }

    fn call(&self, listener: Listener, call: Call) -> Option<StatusCode> {
        let node = if listener == Listener::Control { &self.control } else { &self.entry };
        self.call_node(node, listener, call)
    }

    fn call_node(&self, node: &Node, listener: Listener, call: Call) -> Option<StatusCode> {
        let address = node.address(listener).to_string();
        let reply = self.runtime.block_on(Client::new().call(&address, call, MAX_WAIT));
        reply.inspect_err(|error| println!("{error}")).ok().map(|reply| reply.status)
    }

    /// Sends an ordinary request to the entry.
    fn request(&mut self, listener: Listener) -> Option<StatusCode> {
        self.next_job += 1;
        self.call(listener, ordinary("entry", listener, self.next_job))
    }

    /// Lets a crowd send to a listener, and returns what went wrong.
    fn withstand(
        &mut self,
        role: &str,
        listener: Listener,
        clients: usize,
        message: &Message,
    ) -> Vec<String> {
        self.next_job += 1;
        let call = ordinary(role, listener, self.next_job);
        let nodes = [&self.control, &self.entry, &self.agent];
        let node = nodes.into_iter().find(|node| node.role() == role).expect("a role");
        let watches: Vec<Watch> = nodes.iter().map(|node| Watch::start(node.gauge())).collect();
        let crowd = self.runtime.block_on(async {
            let crowd = Crowd::start(node.address(listener), clients, message);
            crowd.settle().await;
            crowd
        });
        let status = match listener {
            // Links have no requests; the replica is asked at its other listener.
            Listener::Links => self.call_node(node, Listener::Control, call),
            _ => self.call_node(node, listener, call),
        };
        drop(crowd);
        let mut problems = Vec::new();
        let mut check = |holds: bool, problem: String| {
            if !holds {
                problems.push(format!("{role}, {listener:?}: {problem}"));
            }
        };
        for (watch, node) in watches.into_iter().zip([&self.control, &self.entry, &self.agent]) {
            let (peak, watched) = (watch.stop(), node.role());
            let (memory_mb, open) = (peak.memory >> 20, peak.descriptors);
            println!("{role}, {listener:?}: {watched}: {memory_mb} MB, {open} descriptors");
            let within = memory_mb < MEMORY_MB;
            check(within, format!("the {watched} process uses {memory_mb} MB of {MEMORY_MB}"));
            check(open <= MAX_OPEN, format!("the {watched} process has {open} open descriptors"));
        }
        check(status == Some(StatusCode::OK), format!("an ordinary request got {status:?}"));
        for node in [&mut self.control, &mut self.entry, &mut self.agent] {
            let (alive, role) = (node.is_alive(), node.role());
            check(alive, format!("the {role} process has exited"));
        }
        problems
    }
}

impl Drop for Installation {
    fn drop(&mut self) {
        // The folder of a failed test is kept for its logs.
        if !thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns an ordinary request.
fn ordinary(role: &str, listener: Listener, number: u64) -> Call {
    match (role, listener) {
        ("entry", Listener::Callers) => {
            let path = format!("/q/{number:016x}");
            Call::new(Method::POST, &path, job().to_string()).with_json()
        }
        ("agent", Listener::Control) => {
            let path = format!("/executors/i-{number}");
            Call::new(Method::PUT, &path, worker(number).to_string()).with_json()
        }
        (_, Listener::Metrics) => Call::new(Method::GET, "/metrics", ""),
        ("entry", Listener::Readiness) => Call::new(Method::GET, "/readiness", ""),
        _ => Call::new(Method::GET, "/config", ""),
    }
}

fn job() -> Value {
    json!({ "spec": "text", "steps": [{ "count": 1, "cpu": 100, "mem_mb": 16, "estimate_ms": 100 }] })
}

fn worker(number: u64) -> Value {
    json!({ "service": "vms", "address": "127.0.0.1:9", "zone": "here", "version": "v1", "slots": 8,
        "state": "ready", "cold_remaining_ms": 0, "clock_ms": 1000 + number, "sequence": number,
        "capacity": { "cpu": 16000, "mem_mb": 32768, "gpu": 0 }, "labels": ["a"] })
}

/// Returns a configuration with one queue. Callers use the address of the entry as host.
fn configuration(entry: Ipv4Addr) -> Value {
    json!({ "version": 1, "limits": {},
        "routes": [{ "name": "q", "host": entry, "path_prefix": "/q/", "type": "unsafe", "timeout_ms": 3000,
            "target_latency_ms": 500, "priority": 0, "service": "vms", "max_attempts": 4, "stretch": 2.0 }],
        "services": [{ "name": "vms", "health_path": "/health", "max_connections": 64, "protocol": "h1",
            "tls": false, "admission_check": true }] })
}

/// Largest values that were seen.
struct Peak {
    /// Memory in bytes.
    memory: u64,
    descriptors: usize,
}

/// Reads the memory and the descriptors of a process in a thread of its own.
struct Watch {
    stop: Arc<AtomicBool>,
    memory: Arc<AtomicU64>,
    descriptors: Arc<AtomicUsize>,
    thread: thread::JoinHandle<()>,
}

impl Watch {
    fn start(gauge: Gauge) -> Watch {
        let (stop, memory, descriptors) =
            <(Arc<AtomicBool>, Arc<AtomicU64>, Arc<AtomicUsize>)>::default();
        let (stopped, most_memory, most_descriptors) =
            (stop.clone(), memory.clone(), descriptors.clone());
        let thread = thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                most_memory.fetch_max(gauge.memory(), Ordering::Relaxed);
                most_descriptors.fetch_max(gauge.descriptors(), Ordering::Relaxed);
                thread::sleep(GAUGE_INTERVAL);
            }
        });
        Watch { stop, memory, descriptors, thread }
    }

    fn stop(self) -> Peak {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().expect("it reads");
        Peak {
            memory: self.memory.load(Ordering::Relaxed),
            descriptors: self.descriptors.load(Ordering::Relaxed),
        }
    }
}

/// The listeners that accept bodies of [`BODY_BYTES`], with the role that has them.
const SMALL_LISTENERS: [(&str, Listener); 6] = [
    ("entry", Listener::Callers),
    ("entry", Listener::Readiness),
    ("entry", Listener::Metrics),
    ("agent", Listener::Control),
    ("agent", Listener::Metrics),
    ("control", Listener::Metrics),
];

/// Returns the head of a request for the queue up to the headers of its body.
fn head(host: Ipv4Addr) -> String {
    format!("POST /q/{JOB_ID} HTTP/1.1\r\nhost: {host}\r\ncontent-type: application/json\r\n")
}

/// Lets crowds send the message for a body size to all listeners of HTTP, one after the other.
fn withstand_bodies(
    message: impl Fn(&str, usize) -> Message,
    clients: usize,
    bytes: Option<usize>,
) {
    let mut installation = Installation::start();
    let head = head(installation.entry.ip());
    let small = message(&head, bytes.unwrap_or(BODY_BYTES) - JSON_BYTES);
    let large = message(&head, bytes.unwrap_or(LARGE_BYTES) - JSON_BYTES);
    let large_clients = if bytes.is_some() { clients } else { LARGE_CLIENTS };
    let mut problems = Vec::new();
    for (role, listener) in SMALL_LISTENERS {
        problems.extend(installation.withstand(role, listener, clients, &small));
    }
    problems.extend(installation.withstand("control", Listener::Control, large_clients, &large));
    assert!(problems.is_empty(), "{problems:#?}");
}

/// Lets crowds send a message to all listeners of HTTP, one after the other.
fn withstand_heads(message: &Message) {
    let mut installation = Installation::start();
    let mut problems = Vec::new();
    for (role, listener) in SMALL_LISTENERS {
        problems.extend(installation.withstand(role, listener, CLIENTS, message));
    }
    problems.extend(installation.withstand("control", Listener::Control, CLIENTS, message));
    assert!(problems.is_empty(), "{problems:#?}");
}

#[test]
fn large_bodies_that_are_sent_at_once() {
    let message = |head: &str, padding| Message::whole(head, padding, &job().to_string());
    withstand_bodies(message, CLIENTS, None);
}

#[test]
fn large_bodies_that_are_sent_piece_by_piece() {
    let message =
        |head: &str, padding| Message::in_pieces(head, padding, &job().to_string(), PIECE_BYTES);
    withstand_bodies(message, CLIENTS, None);
}

#[test]
fn bodies_in_large_chunks() {
    let message = |head: &str, padding: usize| {
        Message::chunked(head, padding, &job().to_string(), padding / 4)
    };
    withstand_bodies(message, CLIENTS, None);
}

#[test]
fn bodies_in_very_small_chunks() {
    let message = |head: &str, padding| Message::chunked(head, padding, &job().to_string(), 1);
    withstand_bodies(message, SMALL_CHUNK_CLIENTS, Some(SMALL_CHUNK_BODY_BYTES));
}

#[test]
fn bodies_in_very_small_chunks_with_long_extensions() {
    let extension = "a".repeat(EXTENSION_BYTES);
    let unit = format!("1;{extension}\r\n \r\n");
    let mut installation = Installation::start();
    let head = format!("{}transfer-encoding: chunked\r\n\r\n", head(installation.entry.ip()));
    let message = Message::endless(head.as_bytes(), unit.as_bytes(), ENDLESS_BYTES);
    let problems = installation.withstand("entry", Listener::Callers, CLIENTS, &message);
    assert!(problems.is_empty(), "{problems:#?}");
}

#[test]
fn complete_jobs_of_many_steps() {
    let step = r#"{"count":1,"cpu":100,"mem_mb":16,"estimate_ms":9},"#;
    let steps = step.repeat((BODY_BYTES - JSON_BYTES) / step.len());
    let job = format!(r#"{{"spec":"text","steps":[{}]}}"#, steps.trim_end_matches(','));
    let mut installation = Installation::start();
    let message = Message::whole(&head(installation.entry.ip()), 0, &job).with_all_complete();
    let problems = installation.withstand("entry", Listener::Callers, CLIENTS, &message);
    assert!(problems.is_empty(), "{problems:#?}");
}

#[test]
fn complete_jobs_with_long_labels() {
    let step = json!({ "count": 1, "cpu": 100, "requires": "a".repeat(BODY_BYTES - JSON_BYTES) });
    let job = json!({ "spec": "text", "steps": [step] }).to_string();
    let mut installation = Installation::start();
    let message = Message::whole(&head(installation.entry.ip()), 0, &job).with_all_complete();
    let mut problems = Vec::new();
    for _ in 0..CROWDS {
        problems.extend(installation.withstand("entry", Listener::Callers, CLIENTS, &message));
    }
    assert!(problems.is_empty(), "{problems:#?}");
}

#[test]
fn complete_jobs_of_many_tasks() {
    let job = json!({ "spec": "text", "steps": [{ "count": MANY_TASKS, "cpu": 100 }] }).to_string();
    let mut installation = Installation::start();
    let message = Message::whole(&head(installation.entry.ip()), 0, &job).with_all_complete();
    let problems = installation.withstand("entry", Listener::Callers, CLIENTS, &message);
    assert!(problems.is_empty(), "{problems:#?}");
}

#[test]
fn complete_jobs_of_empty_steps() {
    let steps = "{},".repeat((BODY_BYTES - JSON_BYTES) / 3);
    let job = format!(r#"{{"spec":"text","steps":[{}]}}"#, steps.trim_end_matches(','));
    let mut installation = Installation::start();
    let message = Message::whole(&head(installation.entry.ip()), 0, &job).with_all_complete();
    let problems = installation.withstand("entry", Listener::Callers, CLIENTS, &message);
    assert!(problems.is_empty(), "{problems:#?}");
}

#[test]
fn pipelined_requests_whose_answers_are_not_read() {
    let request = |path: &str| format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n").into_bytes();
    let mut installation = Installation::start();
    let mut problems = Vec::new();
    for (role, listener) in SMALL_LISTENERS {
        let path = if listener == Listener::Metrics { "/metrics" } else { "/q/" };
        let message = Message::endless(b"", &request(path), ENDLESS_BYTES);
        problems.extend(installation.withstand(role, listener, CLIENTS, &message));
    }
    let message = Message::endless(b"", &request("/config"), ENDLESS_BYTES);
    problems.extend(installation.withstand("control", Listener::Control, CLIENTS, &message));
    assert!(problems.is_empty(), "{problems:#?}");
}

#[test]
fn many_headers_without_end() {
    let head = b"POST /q/00000000000000ff HTTP/1.1\r\nhost: a\r\n";
    withstand_heads(&Message::endless(head, b"x-filler: a\r\n", ENDLESS_BYTES));
}

#[test]
fn a_header_without_end() {
    let head = b"POST /q/00000000000000ff HTTP/1.1\r\nhost: a\r\nx-filler: ";
    withstand_heads(&Message::endless(head, &[b'a'; PIECE_BYTES], ENDLESS_BYTES));
}

#[test]
fn a_path_without_end() {
    withstand_heads(&Message::endless(b"POST /q/", &[b'a'; PIECE_BYTES], ENDLESS_BYTES));
}

#[test]
fn empty_lines_without_end_before_a_request() {
    withstand_heads(&Message::endless(b"", &b"\r\n".repeat(PIECE_BYTES / 2), ENDLESS_BYTES));
}

#[test]
fn frames_of_links_that_do_not_end() {
    let length = (LARGE_BYTES as u32).to_be_bytes();
    let message = Message::endless(&length, &[0; PIECE_BYTES], LARGE_BYTES - PIECE_BYTES);
    let mut installation = Installation::start();
    let problems = installation.withstand("control", Listener::Links, LARGE_CLIENTS, &message);
    assert!(problems.is_empty(), "{problems:#?}");
}
