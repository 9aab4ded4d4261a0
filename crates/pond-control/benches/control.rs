//! Measures three control replicas on the loopback interface with real disk syncs.
//!
//! `cargo bench -p pond-control --bench control` writes the tables of docs/MEASUREMENTS.md.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use pond_control::Process;
use pond_http::{Call, Client, Method};
use pond_link::{Config, EventKind, LinkKey, dial};
use pond_proto::Incarnation;
use pond_proto::operator::{Origin, QuotaOrder, Status};
use pond_proto::quorum::{Entry, Kind};
use pond_proto::wire::{Body, Role as WireRole, ViewAck};
use pond_settings::{Control, Lease, Limits, Listen, Log, Process as Settings, Replica, Role};
use pond_store::{Folder, Store};
use tokio::runtime::Runtime;
use tokio::sync::mpsc;

/// Duration of each rate measurement.
const RATE_TIME: Duration = Duration::from_secs(3);

/// Number of simulated endpoint processes that follow the replicas.
const FOLLOWERS: usize = 1_200;

/// Number of elections that are measured.
const ELECTIONS: usize = 7;

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
    listener.local_addr().expect("an address")
}

/// Three replicas with their settings and data folder.
struct Cluster {
    folder: PathBuf,
    settings: Vec<Settings>,
    running: Vec<Option<Process>>,
}

impl Cluster {
    fn start() -> Cluster {
        let folder =
            std::env::temp_dir().join(format!("pondbay-bench-{:08x}", rand::random::<u32>()));
        let replicas: Vec<Replica> = (0..3)
            .map(|i| Replica {
                name: format!("control-{i}"),
                internal: free_address(),
                operator: free_address(),
            })
            .collect();
        let settings: Vec<Settings> = replicas
            .iter()
            .map(|replica| Settings {
                name: replica.name.clone(),
                data_centre: "here".to_owned(),
                replicas: replicas.clone(),
                role: Role::Control(Control {
                    listen: Listen { internal: replica.internal, operator: replica.operator },
                    data_folder: folder.join(&replica.name),
                    platform: SocketAddr::from(([127, 0, 0, 1], 1)),
                    lease: Lease::default(),
                    operator_tokens: None,
                }),
                limits: Limits::default(),
                log: Log::default(),
                metrics: None,
                token_file: None,
            })
            .collect();
        let running = settings
            .iter()
            .map(|settings| Some(Process::start(settings, pond_log::silent()).expect("starts")))
            .collect();
        Cluster { folder, settings, running }
    }

    fn operators(&self) -> Vec<String> {
        self.settings[0].replicas.iter().map(|replica| replica.operator.to_string()).collect()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for process in self.running.iter_mut().filter_map(Option::take) {
            process.kill();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

async fn order(client: &Client, address: &str) -> bool {
    let origin = Origin {
        who: "bench".into(),
        request: format!("{:x}", rand::random::<u128>()),
        expect: None,
    };
    let order = QuotaOrder { origin, teams: Default::default() };
    let body = serde_json::to_vec(&order).unwrap_or_default();
    let mut call = Call::new(Method::POST, "/v1/quotas", body);
    call.headers.insert("content-type", pond_http::HeaderValue::from_static("application/json"));
    let reply = client.call(address, call, Duration::from_secs(5)).await;
    reply.is_ok_and(|reply| reply.status.is_success())
}

async fn status(client: &Client, address: &str) -> Option<Status> {
    let path = "/v1/status";
    pond_http::get_json(client, address, path, Duration::from_secs(5)).await.ok()
}

/// Returns the index of the replica that accepts orders, and the time it took to find it.
async fn leader(client: &Client, operators: &[String]) -> (usize, Duration) {
    let begun = Instant::now();
    loop {
        for (i, address) in operators.iter().enumerate() {
            if order(client, address).await {
                return (i, begun.elapsed());
            }
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn quantile(sorted: &[Duration], quantile: f64) -> f64 {
    let place = ((sorted.len() as f64 * quantile) as usize).min(sorted.len().saturating_sub(1));
    sorted.get(place).map_or(0.0, |time| time.as_secs_f64() * 1000.0)
}

/// Measures plain writes and syncs of 200 bytes on the same disk.
fn plain_syncs(folder: &Path) -> Vec<Duration> {
    let mut file = File::create(folder.join("bare")).expect("a file");
    let begun = Instant::now();
    let mut times = Vec::new();
    while begun.elapsed() < RATE_TIME {
        let start = Instant::now();
        file.write_all(&[7; 200]).and_then(|()| file.sync_data()).expect("syncs");
        times.push(start.elapsed());
    }
    times.sort_unstable();
    times
}

fn row(name: &str, times: &[Duration], time: Duration) {
    println!(
        "| {name} | {:.0} | {:.3} | {:.3} |",
        times.len() as f64 / time.as_secs_f64(),
        quantile(times, 0.5),
        quantile(times, 0.99)
    );
}

async fn writers(client: &Client, address: &str, count: usize) -> Vec<Duration> {
    let until = Instant::now() + RATE_TIME;
    let tasks: Vec<_> = (0..count)
        .map(|_| {
            let (client, address) = (client.clone(), address.to_owned());
            tokio::spawn(async move {
                let mut times = Vec::new();
                while Instant::now() < until {
                    let start = Instant::now();
                    if order(&client, &address).await {
                        times.push(start.elapsed());
                    }
                }
                times
            })
        })
        .collect();
    let mut all = Vec::new();
    for task in tasks {
        all.extend(task.await.unwrap_or_default());
    }
    all.sort_unstable();
    all
}

fn rates(runtime: &Runtime) {
    println!("\n### Accepted changes\n");
    println!("| writers | a second | p50 ms | p99 ms |\n|---|---|---|---|");
    let cluster = Cluster::start();
    let client = Client::new();
    let bare = plain_syncs(&cluster.folder);
    row("bare syncs", &bare, RATE_TIME);
    let (at, _) = runtime.block_on(leader(&client, &cluster.operators()));
    let address = cluster.operators()[at].clone();
    for count in [1, 16, 256] {
        let times = runtime.block_on(writers(&client, &address, count));
        row(&count.to_string(), &times, RATE_TIME);
    }
}

fn elections(runtime: &Runtime) {
    let mut cluster = Cluster::start();
    let client = Client::new();
    let operators = cluster.operators();
    let mut times = Vec::new();
    for _ in 0..ELECTIONS {
        let (at, _) = runtime.block_on(leader(&client, &operators));
        if let Some(process) = cluster.running[at].take() {
            process.kill();
        }
        let (_, time) = runtime.block_on(leader(&client, &operators));
        times.push(time);
        let again =
            Process::start(&cluster.settings[at], pond_log::silent()).expect("starts again");
        cluster.running[at] = Some(again);
        std::thread::sleep(Duration::from_millis(700));
    }
    times.sort_unstable();
    println!("\n### Election after the leader was killed\n");
    println!(
        "{ELECTIONS} rounds, until an order is accepted again: median {:.0} ms, slowest {:.0} ms.",
        quantile(&times, 0.5),
        quantile(&times, 1.0)
    );
}

/// Returns the number of bytes received on the loopback interface so far.
fn loopback_bytes() -> u64 {
    let text = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text.lines().find(|line| line.trim_start().starts_with("lo:"));
    let bytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
    bytes.unwrap_or(0)
}

/// Runs simulated processes that follow the replicas and acknowledge every configuration.
async fn follow(replicas: Vec<Replica>, stop: Arc<AtomicBool>) {
    let (events, mut happened) = mpsc::channel(65_536);
    let mut key = 0;
    for node in 0..FOLLOWERS {
        let terms =
            Config::new(WireRole::Endpoint, &format!("node-{node}"), "here", Incarnation::random());
        let terms = terms.with_address(&format!("10.0.{}.{}:7", node / 250, node % 250));
        let terms = Arc::new(
            terms.with_heartbeat(pond_follow::HEARTBEAT_INTERVAL, pond_follow::SILENCE_TIMEOUT),
        );
        for replica in &replicas {
            tokio::spawn(dial(replica.internal, LinkKey(key), terms.clone(), events.clone()));
            key += 1;
        }
    }
    let mut senders = HashMap::new();
    while let Some(event) = happened.recv().await {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        match event.kind {
            EventKind::Up { sender, .. } => {
                sender.send(Body::ViewAck(ViewAck::default()));
                senders.insert(event.link, sender);
            }
            EventKind::Frame(Body::View(delta)) => {
                let ack = ViewAck { version: delta.to, drained: Vec::new() };
                if let Some(sender) = senders.get(&event.link) {
                    sender.send(Body::ViewAck(ack));
                }
            }
            _ => {}
        }
    }
}

fn configuration_in_force(runtime: &Runtime) {
    let cluster = Cluster::start();
    let client = Client::new();
    let operators = cluster.operators();
    let (at, _) = runtime.block_on(leader(&client, &operators));
    let stop = Arc::new(AtomicBool::new(false));
    let (replicas, flag) = (cluster.settings[0].replicas.clone(), stop.clone());
    let nodes = std::thread::spawn(move || {
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(follow(replicas, flag));
    });
    let address = &operators[at];
    let all_in = |status: &Status| {
        status.followers as usize == FOLLOWERS && status.in_force == status.followers
    };
    let wait = || async {
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_secs(30) {
            if status(&client, address).await.is_some_and(|status| all_in(&status)) {
                return begun.elapsed();
            }
        }
        begun.elapsed()
    };
    let linked = runtime.block_on(wait());
    let mut times = Vec::new();
    for _ in 0..50 {
        let begun = Instant::now();
        let accepted = runtime.block_on(order(&client, address));
        runtime.block_on(wait());
        if accepted {
            times.push(begun.elapsed());
        }
    }
    times.sort_unstable();
    let before = loopback_bytes();
    std::thread::sleep(Duration::from_secs(5));
    let idle = (loopback_bytes() - before) as f64 / 5.0 / FOLLOWERS as f64;
    println!("\n### Configuration in force at {FOLLOWERS} linked processes\n");
    println!(
        "All linked and up to date after {:.1} s. From an order to in force everywhere, {} orders: median \
         {:.0} ms, p99 {:.0} ms. Idle, each process costs {idle:.0} bytes a second in both \
         directions, headers included.",
        linked.as_secs_f64(),
        times.len(),
        quantile(&times, 0.5),
        quantile(&times, 0.99)
    );
    stop.store(true, Ordering::Relaxed);
    drop(cluster);
    let _ = nodes.join();
}

/// Returns the resident memory of this process, in MiB.
fn memory_mib() -> f64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = text.split_whitespace().nth(1).and_then(|p| p.parse().ok()).unwrap_or(0.0);
    pages * 4096.0 / 1048576.0
}

fn recovery() {
    println!("\n### Recovery of a log without snapshots\n");
    println!("| records | MiB on disk | s to open | MiB in memory |\n|---|---|---|---|");
    for count in [10_000u64, 100_000, 1_000_000] {
        let path =
            std::env::temp_dir().join(format!("pondbay-bench-{:08x}", rand::random::<u32>()));
        let folder = Folder::open(&path).expect("a folder");
        let (mut store, _) = Store::open(Box::new(folder)).expect("opens");
        let entry = |index| Entry { index, term: 1, kind: Kind::Change as i32, data: vec![9; 150] };
        for first in (1..=count).step_by(1000) {
            let entries: Vec<Entry> = (first..first + 1000).map(entry).collect();
            store.append(None, &entries).expect("writes");
        }
        store.sync().expect("syncs");
        let size = store.log_bytes() as f64 / 1048576.0;
        drop(store);
        let before = memory_mib();
        let begun = Instant::now();
        let folder = Folder::open(&path).expect("a folder");
        let (_store, recovered) = Store::open(Box::new(folder)).expect("opens");
        let time = begun.elapsed().as_secs_f64();
        assert_eq!(recovered.entries.len() as u64, count);
        println!("| {count} | {size:.1} | {time:.3} | {:.1} |", memory_mib() - before);
        let _ = fs::remove_dir_all(&path);
    }
}

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime");
    rates(&runtime);
    elections(&runtime);
    configuration_in_force(&runtime);
    recovery();
}
