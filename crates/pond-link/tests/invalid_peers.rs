//! Peers that are incompatible, silent or hostile.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pond_link::{Config, Error, Event, EventKind, accept};
use pond_proto::Incarnation;
use pond_proto::wire::{Body, Frame, Heartbeat, Hello, Role, VERSION};
use prost::Message;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

fn config() -> Config {
    Config::new(Role::Endpoint, "endpoint", "here", Incarnation(1))
        .with_limits(4096, 16)
        .with_token("secret")
        .with_heartbeat(Duration::from_millis(50), Duration::from_millis(300))
}

fn hello() -> Hello {
    Hello {
        version: VERSION,
        role: Role::Entry as i32,
        name: "entry".to_owned(),
        incarnation: 2,
        token: "secret".to_owned(),
        ..Hello::default()
    }
}

async fn listen(config: Config) -> (SocketAddr, mpsc::Receiver<Event>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listens");
    let address = listener.local_addr().expect("an address");
    let (sender, events) = mpsc::channel(64);
    tokio::spawn(accept(listener, Arc::new(config), sender));
    (address, events)
}

fn framed(body: Body) -> Vec<u8> {
    let content = Frame::new(body).encode_to_vec();
    let mut bytes = (content.len() as u32).to_be_bytes().to_vec();
    bytes.extend(content);
    bytes
}

/// Sends raw bytes to a listener and returns the error with which it drops the link.
async fn error_after(bytes: Vec<u8>) -> Error {
    let (address, mut events) = listen(config()).await;
    let mut stream = TcpStream::connect(address).await.expect("connects");
    stream.write_all(&bytes).await.expect("writes");
    // Dropping a sender would close its link.
    let mut senders = Vec::new();
    loop {
        match events.recv().await.expect("an event").kind {
            EventKind::Down(error) => return error,
            EventKind::Up { sender, .. } => senders.push(sender),
            EventKind::Frame(_) => {}
        }
    }
}

#[tokio::test]
async fn incompatible_peers_are_refused_with_the_reason() {
    let other_version = Body::Hello(Hello { version: 99, ..hello() });
    let error = error_after(framed(other_version)).await;
    assert!(matches!(error, Error::Version { theirs: 99, .. }), "{error}");
    let other_token = Body::Hello(Hello { token: "guess".to_owned(), ..hello() });
    assert!(matches!(error_after(framed(other_token)).await, Error::Token));
    let no_hello = Body::Heartbeat(Heartbeat { term: 7, ..Heartbeat::default() });
    assert!(matches!(error_after(framed(no_hello)).await, Error::NoHello));
}

#[tokio::test]
async fn invalid_frames_close_the_link() {
    let table: [(&str, Vec<u8>); 4] = [
        ("too long", vec![0x7f, 0xff, 0xff, 0xff]),
        ("garbage", [&5u32.to_be_bytes()[..], &[0xff; 5]].concat()),
        ("of an unknown kind", [&2u32.to_be_bytes()[..], &[0xfa, 0x3f]].concat()),
        ("empty", 0u32.to_be_bytes().to_vec()),
    ];
    for (name, bytes) in table {
        let all = [framed(Body::Hello(hello())), bytes].concat();
        let error = error_after(all).await;
        assert!(matches!(error, Error::BadFrame { .. }), "{name}: {error}");
    }
}

/// Guards against peers that make a process hold a large frame before it knows who they are.
#[tokio::test]
async fn large_frame_before_the_hello_closes_the_link() {
    let (address, mut events) = listen(config().with_limits(4 << 20, 16)).await;
    let mut stream = TcpStream::connect(address).await.expect("connects");
    stream.write_all(&(1_u32 << 20).to_be_bytes()).await.expect("writes");
    let kind = events.recv().await.expect("an event").kind;
    assert!(matches!(kind, EventKind::Down(Error::BadFrame { .. })), "{kind:?}");
}

#[tokio::test]
async fn large_frame_after_the_hello_is_received() {
    let (address, mut events) = listen(config().with_limits(4 << 20, 16)).await;
    let mut stream = TcpStream::connect(address).await.expect("connects");
    let name = "a".repeat(1 << 20);
    let large = Body::Hello(Hello { name, ..hello() });
    stream.write_all(&framed(Body::Hello(hello()))).await.expect("writes");
    stream.write_all(&framed(large.clone())).await.expect("writes");
    let mut senders = Vec::new();
    loop {
        match events.recv().await.expect("an event").kind {
            EventKind::Up { sender, .. } => senders.push(sender),
            EventKind::Frame(body) => return assert_eq!(body, large),
            EventKind::Down(error) => panic!("{error}"),
        }
    }
}

#[tokio::test]
async fn silent_peer_is_disconnected() {
    for bytes in [Vec::new(), framed(Body::Hello(hello()))] {
        let error = error_after(bytes).await;
        assert!(matches!(error, Error::Silent { .. }), "{error}");
    }
}

#[tokio::test]
async fn links_beyond_the_limit_are_closed_at_once() {
    let (address, mut events) = listen(Config { max_links: 2, ..config() }).await;
    let mut streams = Vec::new();
    for _ in 0..3 {
        let mut stream = TcpStream::connect(address).await.expect("connects");
        stream.write_all(&framed(Body::Hello(hello()))).await.expect("writes");
        streams.push(stream);
    }
    let mut senders = Vec::new();
    let refused = loop {
        match events.recv().await.expect("an event").kind {
            EventKind::Down(error) => break error,
            EventKind::Up { sender, .. } => senders.push(sender),
            EventKind::Frame(_) => {}
        }
    };
    assert!(matches!(refused, Error::TooMany { limit: 2 }), "{refused}");
}

#[tokio::test]
async fn full_queue_refuses_frames_without_blocking() {
    let (address, mut events) = listen(config()).await;
    let mut stream = TcpStream::connect(address).await.expect("connects");
    stream.write_all(&framed(Body::Hello(hello()))).await.expect("writes");
    let Some(Event { kind: EventKind::Up { sender, .. }, .. }) = events.recv().await else {
        panic!("the link is not up")
    };
    // The runtime is single-threaded: the writer does not run before the next await.
    let sent = (0..100).filter(|term| {
        sender.send(Body::Heartbeat(Heartbeat { term: term + 1, ..Heartbeat::default() }))
    });
    assert_eq!(sent.count(), 16);
    let mut read = vec![0; 64];
    assert!(stream.read(&mut read).await.expect("reads") > 0);
}
