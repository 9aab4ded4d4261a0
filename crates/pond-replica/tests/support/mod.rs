//! Starts replicas on in-memory disks with loopback links.
#![allow(dead_code)]

pub mod cluster;
pub mod node;

use std::future::{Future, ready};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use pond_clock::Clock;
use pond_job::{Permit, Question, Timing};
use pond_log::Metrics;
use pond_replica::{Admitter, Adviser, Handle, Replica, Settings};
use pond_store::{Memory, Store};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// Time within which replicas must be linked again and have a leader: two silence timeouts of 0.8 s and
/// an election of up to 1 s. The rest allows for a busy machine.
pub const RECOVERY_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which the successor of a replaced replica no longer counts as lost.
pub const CATCH_UP: Duration = Duration::from_secs(4);

/// Time between checks for a leader.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Number of replicas in a quorum.
pub const REPLICAS: usize = 3;

/// Gives no permits.
pub struct NoAdviser;

impl Adviser for NoAdviser {
    fn advise(
        &self,
        _: Question,
    ) -> Pin<Box<dyn Future<Output = Option<Vec<Permit>>> + Send + '_>> {
        Box::pin(ready(None))
    }
}

/// Starts a replica that runs until the test ends.
pub fn start(
    internal: SocketAddr,
    seeds: &[SocketAddr],
    listener: TcpListener,
    disk: Memory,
) -> Handle {
    start_task(internal, seeds, listener, disk).0
}

/// Starts a replica on a disk. The others reach it at `internal`. Returns its handle and its task.
pub fn start_task(
    internal: SocketAddr,
    seeds: &[SocketAddr],
    listener: TcpListener,
    disk: Memory,
) -> (Handle, JoinHandle<()>) {
    let (handle, task, _) = start_measured(internal, seeds, listener, disk, None);
    (handle, task)
}

/// Starts a replica whose new jobs are decided about by `admitter`, if there is one. Also returns its metrics.
pub fn start_measured(
    internal: SocketAddr,
    seeds: &[SocketAddr],
    listener: TcpListener,
    disk: Memory,
    admitter: Option<Box<dyn Admitter>>,
) -> (Handle, JoinHandle<()>, Metrics) {
    start_settings(settings(internal, seeds, REPLICAS / 2, true), listener, disk, admitter)
}

/// Memory of the machines of the replicas, in bytes.
pub const MEMORY_BYTES: usize = 256 << 20;

/// Returns settings of a replica in a quorum that must tolerate `losses` lost replicas.
pub fn settings(
    internal: SocketAddr,
    seeds: &[SocketAddr],
    losses: usize,
    first_start: bool,
) -> Settings {
    Settings {
        internal,
        seeds: seeds.iter().map(SocketAddr::to_string).collect(),
        first_start,
        data_centre: "here".to_owned(),
        tolerated_losses: losses,
        max_links: 4_096,
        memory_bytes: MEMORY_BYTES,
        catch_up_ms: CATCH_UP.as_millis() as u64,
        timing: Timing {
            lease_ms: 1_000,
            drift_permille: 25,
            timer_slack_ms: 250,
            retention_ms: 1_000,
        },
    }
}

/// Starts a replica with the given settings.
pub fn start_with(
    settings: Settings,
    listener: TcpListener,
    disk: Memory,
) -> (Handle, JoinHandle<()>) {
    let (handle, task, _) = start_settings(settings, listener, disk, None);
    (handle, task)
}

fn start_settings(
    settings: Settings,
    listener: TcpListener,
    disk: Memory,
    admitter: Option<Box<dyn Admitter>>,
) -> (Handle, JoinHandle<()>, Metrics) {
    let initial = if settings.first_start { settings.seeds.clone() } else { Vec::new() };
    let files = Store::open_initial(Box::new(disk), &initial).expect("opens");
    let (metrics, log) = (Metrics::in_memory(), pond_log::silent());
    let adviser = Arc::new(NoAdviser);
    let clock = Clock::new();
    let started = Replica::start(settings, files, listener, adviser, clock, metrics.clone(), log);
    let (replica, handle) = started.expect("it starts");
    let replica = match admitter {
        Some(admitter) => replica.with_admitter(admitter),
        None => replica,
    };
    let task = tokio::spawn(async move { replica.run().await.expect("it stops without an error") });
    (handle, task, metrics)
}

/// Waits until a replica leads with a valid lease. Returns its index.
pub async fn leader(handles: &[Handle]) -> usize {
    find_leader(handles).await.expect("a leader in time")
}

/// Waits until a replica leads with a valid lease. Returns its index, or `None` if none does in time.
pub async fn find_leader(handles: &[Handle]) -> Option<usize> {
    let led = async {
        loop {
            for (i, handle) in handles.iter().enumerate() {
                if handle.configuration().await.is_ok() {
                    return i;
                }
            }
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(RECOVERY_TIMEOUT, led).await.ok()
}

/// Opens the listeners of all replicas. Returns them with their addresses.
pub async fn listeners() -> (Vec<TcpListener>, Vec<SocketAddr>) {
    listeners_of(REPLICAS).await
}

/// Opens the listeners of a number of replicas. Returns them with their addresses.
pub async fn listeners_of(replicas: usize) -> (Vec<TcpListener>, Vec<SocketAddr>) {
    let (mut listeners, mut addresses) = (Vec::new(), Vec::new());
    for _ in 0..replicas {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listens");
        addresses.push(listener.local_addr().expect("an address"));
        listeners.push(listener);
    }
    (listeners, addresses)
}
