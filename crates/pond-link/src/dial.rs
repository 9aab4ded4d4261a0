//! The dialling end of a link.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};

use crate::event::{Event, EventKind, LinkKey};
use crate::{Config, Error, pump};

/// The first wait before a link is tried again.
const FIRST_WAIT: Duration = Duration::from_millis(50);

/// The longest wait before a link is tried again.
const LONGEST_WAIT: Duration = Duration::from_millis(1000);

/// A link that stayed open this long starts again with the first wait.
const STEADY: Duration = Duration::from_secs(5);

/// Keeps a link to `address` until the receiver of the events is gone or the task is ended.
pub async fn dial(
    address: SocketAddr,
    link: LinkKey,
    terms: Arc<Config>,
    events: mpsc::Sender<Event>,
) {
    let mut wait = FIRST_WAIT;
    while !events.is_closed() {
        let opened = Instant::now();
        match connect(address, &terms).await {
            Ok((wire, hello)) => {
                pump::run(wire, hello, link, terms.clone(), events.clone()).await;
            }
            Err(error) => {
                let kind = EventKind::Down(error);
                let _ = events.send(Event { link, kind }).await;
            }
        }
        if opened.elapsed() >= STEADY {
            wait = FIRST_WAIT;
        }
        let spread = rand::rng().random_range(0.5..1.0);
        sleep(wait.mul_f64(spread)).await;
        wait = (wait * 2).min(LONGEST_WAIT);
    }
}

async fn connect(
    address: SocketAddr,
    terms: &Config,
) -> Result<(pump::Wire, pond_proto::wire::Hello), Error> {
    let silent = |_| Error::Silent { ms: terms.silence.as_millis() };
    let stream = timeout(terms.silence, TcpStream::connect(address)).await.map_err(silent)??;
    pump::shake_hands(stream, terms).await
}
