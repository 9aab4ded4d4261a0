//! Replicas on disks in memory, with links on loopback.
#![allow(dead_code)]

use std::future::{Future, ready};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use pond_clock::Clock;
use pond_job::{Permit, Question, Terms};
use pond_log::Metrics;
use pond_replica::{Adviser, Handle, Replica, Settings};
use pond_store::{Memory, Store};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// Within this time replicas must be linked again and have a leader: two silences of 0.8 s and an
/// election of up to 1 s; the rest is for a busy machine.
pub const BOUND: Duration = Duration::from_secs(10);

/// Time between looks for a leader.
const LOOK: Duration = Duration::from_millis(50);

/// Replicas of a quorum.
pub const REPLICAS: usize = 3;

struct Nobody;

impl Adviser for Nobody {
    fn advise(
        &self,
        _: Question,
    ) -> Pin<Box<dyn Future<Output = Option<Vec<Permit>>> + Send + '_>> {
        Box::pin(ready(None))
    }
}

/// Starts a replica that goes on until the test ends.
pub fn start(
    internal: SocketAddr,
    seeds: &[SocketAddr],
    listener: TcpListener,
    disk: Memory,
) -> Handle {
    start_task(internal, seeds, listener, disk).0
}

/// Starts a replica that the others reach at `internal`, on a disk; how to ask it, and its task.
pub fn start_task(
    internal: SocketAddr,
    seeds: &[SocketAddr],
    listener: TcpListener,
    disk: Memory,
) -> (Handle, JoinHandle<()>) {
    let settings = Settings {
        internal,
        seeds: seeds.iter().map(SocketAddr::to_string).collect(),
        first_start: true,
        data_centre: "here".to_owned(),
        terms: Terms { hold_ms: 1_000, drift_permille: 25, slack_ms: 250, keep_ms: 1_000 },
    };
    let files = Store::open(Box::new(disk)).expect("opens");
    let (metrics, log) = (Metrics::in_memory(), pond_log::silent());
    let adviser = Arc::new(Nobody);
    let started = Replica::start(settings, files, listener, adviser, Clock::new(), metrics, log);
    let (replica, handle) = started.expect("it starts");
    let task = tokio::spawn(async move { replica.run().await.expect("its files last") });
    (handle, task)
}

/// Waits until a replica is sure that it leads.
pub async fn leader(handles: &[Handle]) -> usize {
    let led = async {
        loop {
            for (i, handle) in handles.iter().enumerate() {
                if handle.read().await.is_ok() {
                    return i;
                }
            }
            sleep(LOOK).await;
        }
    };
    timeout(BOUND, led).await.expect("a leader in time")
}

/// Listeners of all replicas, and where they are.
pub async fn listeners() -> (Vec<TcpListener>, Vec<SocketAddr>) {
    let (mut listeners, mut addresses) = (Vec::new(), Vec::new());
    for _ in 0..REPLICAS {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listens");
        addresses.push(listener.local_addr().expect("an address"));
        listeners.push(listener);
    }
    (listeners, addresses)
}
