//! What a link makes of an other end that is wrong, silent or hostile.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pond_link::{Error, Event, EventKind, Terms, accept};
use pond_proto::Incarnation;
use pond_proto::wire::{Body, Frame, Heartbeat, Hello, Role, VERSION};
use prost::Message;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

fn terms() -> Terms {
    Terms::new(Role::Endpoint, "endpoint", "here", Incarnation(1))
        .with_limits(4096, 16)
        .with_token("secret")
        .with_times(Duration::from_millis(50), Duration::from_millis(300))
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

async fn listen(terms: Terms) -> (SocketAddr, mpsc::Receiver<Event>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listens");
    let address = listener.local_addr().expect("an address");
    let (events, happened) = mpsc::channel(64);
    tokio::spawn(accept(listener, Arc::new(terms), events));
    (address, happened)
}

fn framed(body: Body) -> Vec<u8> {
    let content = Frame::new(body).encode_to_vec();
    let mut bytes = (content.len() as u32).to_be_bytes().to_vec();
    bytes.extend(content);
    bytes
}

/// What the owner is told of a link on which these bytes came, until it is lost.
async fn fate(bytes: Vec<u8>) -> Error {
    let (address, mut happened) = listen(terms()).await;
    let mut stream = TcpStream::connect(address).await.expect("connects");
    stream.write_all(&bytes).await.expect("writes");
    // The owner of a link ends it by dropping its sender.
    let mut kept = Vec::new();
    loop {
        match happened.recv().await.expect("an event").kind {
            EventKind::Down(error) => return error,
            EventKind::Up { sender, .. } => kept.push(sender),
            EventKind::Frame(_) => {}
        }
    }
}

#[tokio::test]
async fn strangers_are_refused_with_the_reason() {
    let other_version = Body::Hello(Hello { version: 99, ..hello() });
    let error = fate(framed(other_version)).await;
    assert!(matches!(error, Error::Version { theirs: 99, .. }), "{error}");
    let other_token = Body::Hello(Hello { token: "guess".to_owned(), ..hello() });
    assert!(matches!(fate(framed(other_token)).await, Error::Token));
    let no_hello = Body::Heartbeat(Heartbeat { term: 7, ..Heartbeat::default() });
    assert!(matches!(fate(framed(no_hello)).await, Error::NoHello));
}

#[tokio::test]
async fn bad_frames_end_the_link() {
    let table: [(&str, Vec<u8>); 4] = [
        ("too long", vec![0x7f, 0xff, 0xff, 0xff]),
        ("garbage", [&5u32.to_be_bytes()[..], &[0xff; 5]].concat()),
        ("of an unknown kind", [&2u32.to_be_bytes()[..], &[0xfa, 0x3f]].concat()),
        ("empty", 0u32.to_be_bytes().to_vec()),
    ];
    for (name, bytes) in table {
        let all = [framed(Body::Hello(hello())), bytes].concat();
        let error = fate(all).await;
        assert!(matches!(error, Error::BadFrame { .. }), "{name}: {error}");
    }
}

#[tokio::test]
async fn an_end_that_says_nothing_is_given_up() {
    for bytes in [Vec::new(), framed(Body::Hello(hello()))] {
        let error = fate(bytes).await;
        assert!(matches!(error, Error::Silent { .. }), "{error}");
    }
}

#[tokio::test]
async fn links_beyond_the_limit_are_closed_at_once() {
    let (address, mut happened) = listen(Terms { links: 2, ..terms() }).await;
    let mut streams = Vec::new();
    for _ in 0..3 {
        let mut stream = TcpStream::connect(address).await.expect("connects");
        stream.write_all(&framed(Body::Hello(hello()))).await.expect("writes");
        streams.push(stream);
    }
    let mut kept = Vec::new();
    let refused = loop {
        match happened.recv().await.expect("an event").kind {
            EventKind::Down(error) => break error,
            EventKind::Up { sender, .. } => kept.push(sender),
            EventKind::Frame(_) => {}
        }
    };
    assert!(matches!(refused, Error::TooMany { limit: 2 }), "{refused}");
}

#[tokio::test]
async fn a_full_queue_refuses_frames_and_blocks_nobody() {
    let (address, mut happened) = listen(terms()).await;
    let mut stream = TcpStream::connect(address).await.expect("connects");
    stream.write_all(&framed(Body::Hello(hello()))).await.expect("writes");
    let Some(Event { kind: EventKind::Up { sender, .. }, .. }) = happened.recv().await else {
        panic!("it is not up")
    };
    // This thread's runtime does not run the writer before it is awaited.
    let sent = (0..100).filter(|term| {
        sender.send(Body::Heartbeat(Heartbeat { term: term + 1, ..Heartbeat::default() }))
    });
    assert_eq!(sent.count(), 16);
    let mut read = vec![0; 64];
    assert!(stream.read(&mut read).await.expect("reads") > 0);
}
