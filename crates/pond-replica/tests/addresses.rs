//! Addresses of replicas that are gone: for how long they are dialled.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pond_clock::{Clock, Manual};
use pond_link::{Event, LinkKey, dial};
use pond_log::Metrics;
use pond_proto::wire::Role;
use pond_proto::{Incarnation, Span};
use pond_replica::Replica;
use pond_store::{Memory, Store};
use pond_uplink::{HEARTBEAT_INTERVAL, SILENCE_TIMEOUT};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use support::{NoAdviser, settings};

/// Longer than regions are usually cut off from each other, in milliseconds.
const LONG_MS: Span = 3 * 3_600_000;

/// Time in which an address that is not reached is dialled at least once: a silence timeout and a wait of 1 s.
const DIAL_INTERVAL: Duration = Duration::from_secs(3);

/// Time in which a replica notices that a link is lost or an address has expired.
const NOTICED: Duration = Duration::from_millis(500);

/// Opens a listener on a free port, which is closed again. Returns its address.
async fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listens");
    listener.local_addr().expect("an address")
}

/// Starts a replica that waits for the quorum of `seeds`, with a clock that is advanced by the test.
async fn start(seeds: &[SocketAddr]) -> (SocketAddr, Arc<Manual>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listens");
    let own = listener.local_addr().expect("an address");
    let time = Arc::new(Manual::default());
    let clock = Clock::with_source(time.clone());
    let files = Store::open(Box::new(Memory::new())).expect("opens");
    let settings = settings(own, seeds, 1, false);
    let (metrics, log) = (Metrics::in_memory(), pond_log::silent());
    let started =
        Replica::start(settings, files, listener, Arc::new(NoAdviser), clock, metrics, log);
    let (replica, _) = started.expect("it starts");
    tokio::spawn(replica.run());
    (own, time)
}

/// Dials the replica as another one at `address`, until the task is aborted.
fn present(replica: SocketAddr, address: SocketAddr) -> (JoinHandle<()>, mpsc::Receiver<Event>) {
    let config = pond_link::Config::new(Role::Control, "other", "here", Incarnation(2))
        .with_address(&address.to_string())
        .with_heartbeat(HEARTBEAT_INTERVAL, SILENCE_TIMEOUT);
    let (events, received) = mpsc::channel(64);
    (tokio::spawn(dial(replica, LinkKey(0), Arc::new(config), events)), received)
}

/// Whether a connection to `address` is attempted.
async fn is_dialled(address: SocketAddr) -> bool {
    let listener = TcpListener::bind(address).await.expect("listens");
    timeout(DIAL_INTERVAL, listener.accept()).await.is_ok()
}

/// Guards against replicas that dial every address for good that they ever learned.
#[tokio::test]
async fn address_of_a_replica_that_is_gone_is_dialled_until_it_presents_itself_again() {
    let (replica, time) = start(&[]).await;
    let address = free_address().await;
    let (other, events) = present(replica, address);
    assert!(is_dialled(address).await);
    other.abort();
    drop(events);
    sleep(NOTICED).await;
    assert!(is_dialled(address).await, "it may only be restarting");
    sleep(NOTICED).await;
    time.advance(LONG_MS);
    sleep(NOTICED).await;
    assert!(!is_dialled(address).await);
    let (_other, _events) = present(replica, address);
    assert!(is_dialled(address).await, "it is back");
}

/// Guards against a replica that loses the way to the others for good during a long partition.
#[tokio::test]
async fn seed_is_dialled_however_long_it_is_unreachable() {
    let seed = free_address().await;
    let (_, time) = start(&[seed]).await;
    time.advance(LONG_MS);
    sleep(NOTICED).await;
    assert!(is_dialled(seed).await);
}

/// Guards against the loss of the link in one direction to a replica that is linked in the other.
#[tokio::test]
async fn replica_that_is_linked_is_dialled_however_long_it_is_unreachable() {
    let (replica, time) = start(&[]).await;
    let address = free_address().await;
    let (_other, _events) = present(replica, address);
    sleep(NOTICED).await;
    time.advance(LONG_MS);
    sleep(NOTICED).await;
    assert!(is_dialled(address).await);
}
