//! The accepting end of links.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};

use crate::event::{Event, EventKind, LinkKey};
use crate::{Config, Error, connection};

/// Accepts links until the event receiver is dropped or the task is aborted.
///
/// New connections are closed at once while [`Config::max_links`] links are open.
pub async fn accept(listener: TcpListener, config: Arc<Config>, events: mpsc::Sender<Event>) {
    let slots = Arc::new(Semaphore::new(config.max_links));
    let next_key = AtomicU64::new(LinkKey::FIRST_ACCEPTED);
    while !events.is_closed() {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            continue;
        };
        let link = LinkKey(next_key.fetch_add(1, Ordering::Relaxed));
        let Ok(permit) = slots.clone().try_acquire_owned() else {
            let kind = EventKind::Down(Error::TooMany { limit: config.max_links });
            let _ = events.send(Event { link, kind }).await;
            continue;
        };
        let (config, events) = (config.clone(), events.clone());
        tokio::spawn(async move {
            serve(stream, link, config, events).await;
            drop(permit);
        });
    }
}

async fn serve(stream: TcpStream, link: LinkKey, config: Arc<Config>, events: mpsc::Sender<Event>) {
    match connection::handshake(stream, &config).await {
        Ok((framed, hello)) => connection::run(framed, hello, link, config, events).await,
        Err(error) => {
            let _ = events.send(Event { link, kind: EventKind::Down(error) }).await;
        }
    }
}
