//! The frames of one open connection.

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
use crate::{Config, Error};

/// TCP stream that carries length-delimited frames.
pub type FramedStream = Framed<TcpStream, LengthDelimitedCodec>;

/// Maximum size of a hello without its token, in bytes. Anyone can connect, and what a frame takes until it is
/// complete is not limited otherwise.
const MAX_HELLO_BYTES: usize = 4 << 10;

/// Maximum number of frames written before a flush.
const MAX_BATCH_FRAMES: usize = 64;

/// Exchanges hellos with the peer and checks the version and token of the peer's hello.
///
/// # Errors
/// If the connection fails, the peer sends no hello within the silence timeout, or its version or
/// token differs.
pub async fn handshake(stream: TcpStream, config: &Config) -> Result<(FramedStream, Hello), Error> {
    stream.set_nodelay(true)?;
    let max_hello_bytes = MAX_HELLO_BYTES + config.hello.token.len();
    let codec = LengthDelimitedCodec::builder().max_frame_length(max_hello_bytes).new_codec();
    let mut framed = Framed::new(stream, codec);
    let body = Body::Hello(config.hello.clone());
    framed.send(encode(body)).await?;
    let first = timeout(config.silence_timeout, framed.next()).await;
    let timed_out = |_| Error::Silent { ms: config.silence_timeout.as_millis() };
    let frame = first.map_err(timed_out)?.ok_or(Error::Closed)??;
    let Body::Hello(hello) = decode(&frame)? else { return Err(Error::NoHello) };
    if hello.version != VERSION {
        return Err(Error::Version { theirs: hello.version, ours: VERSION });
    }
    if hello.token != config.hello.token {
        return Err(Error::Token);
    }
    framed.codec_mut().set_max_frame_length(config.max_frame_bytes);
    Ok((framed, hello))
}

/// Runs an open link until it is lost and reports its events to the owner.
pub async fn run(
    framed: FramedStream,
    hello: Hello,
    link: LinkKey,
    config: Arc<Config>,
    events: mpsc::Sender<Event>,
) {
    let address = match framed.get_ref().peer_addr() {
        Ok(address) => address,
        Err(source) => return report_down(&events, link, source.into()).await,
    };
    let (queue, queued) = mpsc::channel(config.queue_capacity);
    let kind = EventKind::Up { hello, address, sender: Sender::new(queue) };
    if events.send(Event { link, kind }).await.is_err() {
        return;
    }
    let (sink, stream) = framed.split();
    let error = tokio::select! {
        error = write_frames(sink, queued, &config) => error,
        error = read_frames(stream, link, &config, &events) => error,
    };
    report_down(&events, link, error).await;
}

async fn report_down(events: &mpsc::Sender<Event>, link: LinkKey, error: Error) {
    let _ = events.send(Event { link, kind: EventKind::Down(error) }).await;
}

async fn write_frames(
    mut sink: futures::stream::SplitSink<FramedStream, Bytes>,
    mut queued: mpsc::Receiver<Body>,
    config: &Config,
) -> Error {
    let mut batch = Vec::with_capacity(MAX_BATCH_FRAMES);
    loop {
        batch.clear();
        let received =
            timeout(config.heartbeat_interval, queued.recv_many(&mut batch, MAX_BATCH_FRAMES))
                .await;
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
    mut stream: futures::stream::SplitStream<FramedStream>,
    link: LinkKey,
    config: &Config,
    events: &mpsc::Sender<Event>,
) -> Error {
    let deadline = tokio::time::sleep(config.silence_timeout);
    tokio::pin!(deadline);
    loop {
        let next = tokio::select! {
            next = stream.next() => next,
            () = &mut deadline => return Error::Silent { ms: config.silence_timeout.as_millis() },
        };
        deadline.as_mut().reset(Instant::now() + config.silence_timeout);
        let body = match next {
            None => return Error::Closed,
            Some(Err(source)) => return source.into(),
            Some(Ok(frame)) => match decode(&frame) {
                Ok(body) => body,
                Err(error) => return error,
            },
        };
        // An empty heartbeat carries nothing for the owner.
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
        Frame::decode(bytes).map_err(|error| Error::BadFrame { reason: error.to_string() })?;
    frame.body.ok_or_else(|| Error::BadFrame { reason: "unknown or missing body".to_owned() })
}
