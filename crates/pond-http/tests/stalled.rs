//! Callers whose connections fall silent for good, without a reset: they keep no places for good.

use std::future::{Future, ready};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use pond_http::{Call, Client, Handler, Limits, Method, Reply, StatusCode, Stop, serve};
use pond_test::{Blackhole, BlackholeProxy};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// How long the server waits for a caller.
const READ: Duration = Duration::from_millis(200);

/// Within this time places are free again: a few times what the server waits, and some seconds for a
/// busy machine.
const BOUND: Duration = Duration::from_secs(10);

/// Larger than what the system takes in for a connection on loopback.
const LARGE: usize = 64 << 20;

/// What a slow caller takes at a time, in bytes, and how often: 50 kB a second. The system tells the
/// server of it in steps of 64 kB on loopback, one in 1.3 s.
const FEW: usize = 1024;
const OFTEN: Duration = Duration::from_millis(20);

/// Bytes that the system holds for a slow caller to take. With megabytes it would tell the server
/// of progress only when a sixteenth of them has been taken.
const HELD: u32 = 64 << 10;

/// Places for connections.
const PLACES: usize = 4;

/// Answers with nothing, or with more than can be under way.
struct Speaker;

impl Handler for Speaker {
    fn handle(&self, call: Call) -> Pin<Box<dyn Future<Output = Reply> + Send + '_>> {
        let bytes = if call.path == "/large" { vec![0; LARGE] } else { Vec::new() };
        Box::pin(ready(Reply::new(StatusCode::OK, bytes)))
    }
}

async fn server() -> (SocketAddr, Stop, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listens");
    let address = listener.local_addr().expect("an address");
    let stop = Stop::new();
    let limits = Limits { connections: PLACES, read: READ, body_bytes: 1000 };
    let served = tokio::spawn(serve(listener, limits, stop.clone(), Arc::new(Speaker)));
    (address, stop, served)
}

/// Sends a request on a connection of its own.
async fn ask(address: SocketAddr, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("connects");
    let request = format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n");
    stream.write_all(request.as_bytes()).await.expect("writes");
    stream
}

async fn is_served(address: SocketAddr) {
    let call = Call::new(Method::GET, "/", Vec::new());
    let reply = Client::new().call(&address.to_string(), call, BOUND).await;
    assert_eq!(reply.expect("an answer").status, StatusCode::OK);
}

#[tokio::test]
async fn callers_that_fall_silent_after_an_answer_lose_their_places() {
    for swallowed in Blackhole::ALL {
        let (address, _, _) = server().await;
        let proxy = BlackholeProxy::start(address).await;
        let mut silent = Vec::new();
        for _ in 0..PLACES {
            let mut stream = ask(proxy.address(), "/").await;
            let mut answer = [0; 12];
            stream.read_exact(&mut answer).await.expect("an answer");
            silent.push(stream);
        }
        proxy.drop_bytes(swallowed);
        is_served(address).await;
    }
}

#[tokio::test]
async fn callers_that_take_no_answer_lose_their_places() {
    let (address, _, _) = server().await;
    let mut stalled = Vec::new();
    for _ in 0..PLACES {
        stalled.push(ask(address, "/large").await);
    }
    is_served(address).await;
}

#[tokio::test]
async fn caller_that_takes_no_answer_does_not_hold_up_a_stop() {
    let (address, stop, served) = server().await;
    let mut stalled = ask(address, "/large").await;
    let mut begun = [0; 12];
    stalled.read_exact(&mut begun).await.expect("an answer that begins");
    stop.stop();
    timeout(BOUND, served).await.expect("in time").expect("it ends");
}

#[tokio::test]
async fn caller_that_takes_a_large_answer_slowly_gets_all_of_it() {
    let (address, _, _) = server().await;
    let mut stream = ask(address, "/large").await;
    let mut read = 0;
    let mut buffer = vec![0; 8 << 20];
    while read < LARGE {
        tokio::time::sleep(READ / 2).await;
        let more = stream.read(&mut buffer).await.expect("reads");
        assert!(more > 0, "cut off after {read} bytes");
        read += more;
    }
}

#[tokio::test]
async fn caller_that_takes_a_few_bytes_at_a_time_may_be_slow_for_longer_than_a_stalled_one() {
    let (address, _, _) = server().await;
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(HELD).expect("a bound");
    let mut stream = socket.connect(address).await.expect("connects");
    stream.write_all(b"GET /large HTTP/1.1\r\nhost: a\r\n\r\n").await.expect("writes");
    let begun = Instant::now();
    let mut buffer = vec![0; 8 << 20];
    let mut read = 0;
    while begun.elapsed() < BOUND {
        tokio::time::sleep(OFTEN).await;
        read += stream.read_exact(&mut buffer[..FEW]).await.expect("reads");
    }
    // What the system held for it would have come after a cut, too; the rest would not.
    while read < LARGE {
        let more = stream.read(&mut buffer).await.expect("reads");
        assert!(more > 0, "cut off after {read} bytes");
        read += more;
    }
}
