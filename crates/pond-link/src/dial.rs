//! The dialling end of links.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};

use crate::event::{Event, EventKind, LinkKey};
use crate::{Config, Error, connection};

/// Wait before the first attempt to reconnect.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum wait before an attempt to reconnect.
const MAX_BACKOFF: Duration = Duration::from_millis(1000);

/// Time that a link must have stayed open to reset the backoff.
const STABLE_AFTER: Duration = Duration::from_secs(5);

/// Keeps a link to `address` open until the event receiver is dropped or the task is aborted.
///
/// A lost link is dialled again with exponential backoff and jitter.
pub async fn dial(
    address: SocketAddr,
    link: LinkKey,
    config: Arc<Config>,
    events: mpsc::Sender<Event>,
) {
    let mut backoff = INITIAL_BACKOFF;
    while !events.is_closed() {
        let opened = Instant::now();
        match connect(address, &config).await {
            Ok((framed, hello)) => {
                connection::run(framed, hello, link, config.clone(), events.clone()).await;
            }
            Err(error) => {
                let kind = EventKind::Down(error);
                let _ = events.send(Event { link, kind }).await;
            }
        }
        if opened.elapsed() >= STABLE_AFTER {
            backoff = INITIAL_BACKOFF;
        }
        let jitter = rand::rng().random_range(0.5..1.0);
        sleep(backoff.mul_f64(jitter)).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

async fn connect(
    address: SocketAddr,
    config: &Config,
) -> Result<(connection::FramedStream, pond_proto::wire::Hello), Error> {
    let timed_out = |_| Error::Silent { ms: config.silence_timeout.as_millis() };
    let stream =
        timeout(config.silence_timeout, TcpStream::connect(address)).await.map_err(timed_out)??;
    connection::handshake(stream, config).await
}
