//! Moves frames over one open connection.

use std::sync::Arc;

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use pond_proto::wire::{Body, Frame, Heartbeat, Hello, VERSION};
use prost::Message;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::event::{Event, EventKind, LinkKey, Sender};
use crate::{Error, Terms};

/// A connection that carries frames.
pub type Wire = Framed<TcpStream, LengthDelimitedCodec>;

/// Frames that are written before they are flushed together.
const FLUSH_FRAMES: usize = 64;

/// Sends the own hello and checks the other end's.
pub async fn shake_hands(stream: TcpStream, terms: &Terms) -> Result<(Wire, Hello), Error> {
    stream.set_nodelay(true)?;
    let codec = LengthDelimitedCodec::builder().max_frame_length(terms.frame_bytes).new_codec();
    let mut wire = Framed::new(stream, codec);
    let body = Body::Hello(terms.hello.clone());
    wire.send(encode(body)).await?;
    let first = timeout(terms.silence, wire.next()).await;
    let silent = |_| Error::Silent { ms: terms.silence.as_millis() };
    let frame = first.map_err(silent)?.ok_or(Error::Closed)??;
    let Body::Hello(hello) = decode(&frame)? else { return Err(Error::NoHello) };
    if hello.version != VERSION {
        return Err(Error::Version { theirs: hello.version, ours: VERSION });
    }
    if hello.token != terms.hello.token {
        return Err(Error::Token);
    }
    Ok((wire, hello))
}

/// Runs an open link to its end and tells its owner what happens.
pub async fn run(
    wire: Wire,
    hello: Hello,
    link: LinkKey,
    terms: Arc<Terms>,
    events: mpsc::Sender<Event>,
) {
    let address = match wire.get_ref().peer_addr() {
        Ok(address) => address,
        Err(source) => return down(&events, link, source.into()).await,
    };
    let (queue, waiting) = mpsc::channel(terms.queue);
    let kind = EventKind::Up { hello, address, sender: Sender::new(queue) };
    if events.send(Event { link, kind }).await.is_err() {
        return;
    }
    let (sink, stream) = wire.split();
    let lost = tokio::select! {
        lost = write_frames(sink, waiting, &terms) => lost,
        lost = read_frames(stream, link, &terms, &events) => lost,
    };
    down(&events, link, lost).await;
}

async fn down(events: &mpsc::Sender<Event>, link: LinkKey, error: Error) {
    let _ = events.send(Event { link, kind: EventKind::Down(error) }).await;
}

async fn write_frames(
    mut sink: futures::stream::SplitSink<Wire, Bytes>,
    mut waiting: mpsc::Receiver<Body>,
    terms: &Terms,
) -> Error {
    let mut batch = Vec::with_capacity(FLUSH_FRAMES);
    loop {
        batch.clear();
        let received = timeout(terms.beat, waiting.recv_many(&mut batch, FLUSH_FRAMES)).await;
        match received {
            Ok(0) => return Error::Closed,
            Ok(_) => {}
            Err(_) => batch.push(Body::Heartbeat(Heartbeat::default())),
        }
        for body in batch.drain(..) {
            if let Err(source) = sink.feed(encode(body)).await {
                return source.into();
            }
        }
        if let Err(source) = sink.flush().await {
            return source.into();
        }
    }
}

async fn read_frames(
    mut stream: futures::stream::SplitStream<Wire>,
    link: LinkKey,
    terms: &Terms,
    events: &mpsc::Sender<Event>,
) -> Error {
    let silence = tokio::time::sleep(terms.silence);
    tokio::pin!(silence);
    loop {
        let next = tokio::select! {
            next = stream.next() => next,
            () = &mut silence => return Error::Silent { ms: terms.silence.as_millis() },
        };
        silence.as_mut().reset(Instant::now() + terms.silence);
        let body = match next {
            None => return Error::Closed,
            Some(Err(source)) => return source.into(),
            Some(Ok(frame)) => match decode(&frame) {
                Ok(body) => body,
                Err(error) => return error,
            },
        };
        // An empty beat only keeps the link alive.
        if body == Body::Heartbeat(Heartbeat::default()) {
            continue;
        }
        if events.send(Event { link, kind: EventKind::Frame(body) }).await.is_err() {
            return Error::Closed;
        }
    }
}

fn encode(body: Body) -> Bytes {
    Frame::new(body).encode_to_vec().into()
}

fn decode(bytes: &[u8]) -> Result<Body, Error> {
    let frame =
        Frame::decode(bytes).map_err(|error| Error::BadFrame { what: error.to_string() })?;
    frame.body.ok_or_else(|| Error::BadFrame { what: "it carries nothing known".to_owned() })
}
