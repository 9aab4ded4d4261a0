//! The listening end of links.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};

use crate::event::{Event, EventKind, LinkKey};
use crate::{Config, Error, pump};

/// Accepts links until the receiver of the events is gone or the task is ended.
///
/// Beyond [`Terms::links`] open links, new connections are closed at once.
pub async fn accept(listener: TcpListener, terms: Arc<Config>, events: mpsc::Sender<Event>) {
    let room = Arc::new(Semaphore::new(terms.links));
    let keys = AtomicU64::new(LinkKey::FIRST_ACCEPTED);
    while !events.is_closed() {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            continue;
        };
        let link = LinkKey(keys.fetch_add(1, Ordering::Relaxed));
        let Ok(permit) = room.clone().try_acquire_owned() else {
            let kind = EventKind::Down(Error::TooMany { limit: terms.links });
            let _ = events.send(Event { link, kind }).await;
            continue;
        };
        let (terms, events) = (terms.clone(), events.clone());
        tokio::spawn(async move {
            serve(stream, link, terms, events).await;
            drop(permit);
        });
    }
}

async fn serve(stream: TcpStream, link: LinkKey, terms: Arc<Config>, events: mpsc::Sender<Event>) {
    match pump::shake_hands(stream, &terms).await {
        Ok((wire, hello)) => pump::run(wire, hello, link, terms, events).await,
        Err(error) => {
            let _ = events.send(Event { link, kind: EventKind::Down(error) }).await;
        }
    }
}
