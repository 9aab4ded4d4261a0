//! Replicas that can be killed at once, each on a runtime of its own.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pond_replica::{Handle, Settings};
use pond_store::{Crash, Memory};
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};

use super::{RECOVERY_TIMEOUT, start_with};

/// Time between attempts to open a listener.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// A replica with its disk, on a runtime of its own so that it can be killed at once.
pub struct Node {
    /// The address at which the others reach it.
    pub address: SocketAddr,
    disk: Memory,
    /// The handle of the running replica.
    pub handle: Handle,
    runtime: Runtime,
}

impl Node {
    /// Starts a replica on a disk.
    pub fn start(settings: Settings, listener: std::net::TcpListener, disk: Memory) -> Node {
        let runtime = Builder::new_multi_thread().worker_threads(1).enable_all().build();
        let runtime = runtime.expect("a runtime");
        let (address, guard) = (settings.internal, runtime.enter());
        let listener = TcpListener::from_std(listener).expect("listens");
        let (handle, _) = start_with(settings, listener, disk.clone());
        drop(guard);
        Node { address, disk, handle, runtime }
    }

    /// Kills the replica. Writes that are not synced are lost, as with its power.
    pub fn kill(self) -> (SocketAddr, Memory) {
        // Blocks until its tasks have ended, which the runtime of the test does not allow.
        let runtime = self.runtime;
        let ended = std::thread::spawn(move || runtime.shutdown_timeout(RECOVERY_TIMEOUT)).join();
        ended.expect("its tasks end");
        self.disk.crash(Crash::DropUnsynced);
        (self.address, self.disk)
    }
}

/// Opens a listener. The address may still be in use for a moment by a replica that was killed.
pub fn bind(address: SocketAddr) -> std::net::TcpListener {
    let started = Instant::now();
    let listener = loop {
        match std::net::TcpListener::bind(address) {
            Err(_) if started.elapsed() < RECOVERY_TIMEOUT => std::thread::sleep(RETRY_INTERVAL),
            bound => break bound.expect("binds"),
        }
    };
    listener.set_nonblocking(true).expect("set");
    listener
}

/// Returns the addresses of replicas.
pub fn addresses(nodes: &[Node]) -> Vec<SocketAddr> {
    nodes.iter().map(|node| node.address).collect()
}

/// Waits until a replica leads with a valid lease. Returns its index, or `None` if none does in time.
pub async fn find_leader(nodes: &[Node]) -> Option<usize> {
    let handles: Vec<Handle> = nodes.iter().map(|node| node.handle.clone()).collect();
    super::find_leader(&handles).await
}

/// Waits until a replica leads with a valid lease. Returns its index.
pub async fn leader(nodes: &[Node]) -> usize {
    find_leader(nodes).await.expect("a leader in time")
}
