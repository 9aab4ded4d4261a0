//! Callers that stop responding permanently, without a reset, do not occupy connections forever.

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

/// Read timeout of the server.
const READ_TIMEOUT: Duration = Duration::from_millis(200);

/// Longest time until connections are available again: a few times the timeouts of the server, plus
/// some seconds for a busy machine.
const MAX_RECOVERY: Duration = Duration::from_secs(10);

/// Size of an answer, in bytes; larger than what the kernel buffers for a loopback connection.
const LARGE_BYTES: usize = 64 << 20;

/// Size and interval of a slow caller's reads: 50 kB a second. On loopback the kernel reports the
/// progress to the server in steps of 64 kB, one every 1.3 s.
const SLOW_READ_BYTES: usize = 1024;
const SLOW_READ_INTERVAL: Duration = Duration::from_millis(20);

/// Receive buffer of a slow caller, in bytes. With megabytes the kernel would report progress to the
/// server only once a sixteenth of the buffer has been read.
const RECEIVE_BUFFER_BYTES: u32 = 64 << 10;

/// Maximum number of connections of the server.
const MAX_CONNECTIONS: usize = 4;

/// Answers with an empty body, or on `/large` with more than the kernel buffers.
struct LargeOrEmpty;

impl Handler for LargeOrEmpty {
    fn handle(&self, call: Call) -> Pin<Box<dyn Future<Output = Reply> + Send + '_>> {
        let bytes = if call.path == "/large" { vec![0; LARGE_BYTES] } else { Vec::new() };
        Box::pin(ready(Reply::new(StatusCode::OK, bytes)))
    }
}

async fn server() -> (SocketAddr, Stop, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listens");
    let address = listener.local_addr().expect("an address");
    let stop = Stop::new();
    let limits = Limits {
        max_connections: MAX_CONNECTIONS,
        read_timeout: READ_TIMEOUT,
        max_body_bytes: 1000,
        ..Limits::default()
    };
    let served = tokio::spawn(serve(listener, limits, stop.clone(), Arc::new(LargeOrEmpty)));
    (address, stop, served)
}

/// Sends a request on a new connection.
async fn send_request(address: SocketAddr, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("connects");
    let request = format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n");
    stream.write_all(request.as_bytes()).await.expect("writes");
    stream
}

async fn assert_served(address: SocketAddr) {
    let call = Call::new(Method::GET, "/", Vec::new());
    let reply = Client::new().call(&address.to_string(), call, MAX_RECOVERY).await;
    assert_eq!(reply.expect("an answer").status, StatusCode::OK);
}

#[tokio::test]
async fn callers_that_stop_responding_after_an_answer_are_disconnected() {
    for blackhole in Blackhole::ALL {
        let (address, _, _) = server().await;
        let proxy = BlackholeProxy::start(address).await;
        let mut silent = Vec::new();
        for _ in 0..MAX_CONNECTIONS {
            let mut stream = send_request(proxy.address(), "/").await;
            let mut answer = [0; 12];
            stream.read_exact(&mut answer).await.expect("an answer");
            silent.push(stream);
        }
        proxy.drop_bytes(blackhole);
        assert_served(address).await;
    }
}

#[tokio::test]
async fn callers_that_read_no_answer_are_disconnected() {
    let (address, _, _) = server().await;
    let mut stalled = Vec::new();
    for _ in 0..MAX_CONNECTIONS {
        stalled.push(send_request(address, "/large").await);
    }
    assert_served(address).await;
}

#[tokio::test]
async fn caller_that_reads_no_answer_does_not_hold_up_a_stop() {
    let (address, stop, served) = server().await;
    let mut stalled = send_request(address, "/large").await;
    let mut begun = [0; 12];
    stalled.read_exact(&mut begun).await.expect("an answer that begins");
    stop.stop();
    timeout(MAX_RECOVERY, served).await.expect("in time").expect("it ends");
}

#[tokio::test]
async fn caller_that_reads_a_large_answer_slowly_gets_all_of_it() {
    let (address, _, _) = server().await;
    let mut stream = send_request(address, "/large").await;
    let mut read = 0;
    let mut buffer = vec![0; 8 << 20];
    while read < LARGE_BYTES {
        tokio::time::sleep(READ_TIMEOUT / 2).await;
        let more = stream.read(&mut buffer).await.expect("reads");
        assert!(more > 0, "cut off after {read} bytes");
        read += more;
    }
}

#[tokio::test]
async fn caller_that_reads_a_few_bytes_at_a_time_is_not_disconnected_as_stalled() {
    let (address, _, _) = server().await;
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("a receive buffer");
    let mut stream = socket.connect(address).await.expect("connects");
    stream.write_all(b"GET /large HTTP/1.1\r\nhost: a\r\n\r\n").await.expect("writes");
    let begun = Instant::now();
    let mut buffer = vec![0; 8 << 20];
    let mut read = 0;
    while begun.elapsed() < MAX_RECOVERY {
        tokio::time::sleep(SLOW_READ_INTERVAL).await;
        read += stream.read_exact(&mut buffer[..SLOW_READ_BYTES]).await.expect("reads");
    }
    // Buffered data would arrive even after a disconnect; the rest of the answer would not.
    while read < LARGE_BYTES {
        let more = stream.read(&mut buffer).await.expect("reads");
        assert!(more > 0, "cut off after {read} bytes");
        read += more;
    }
}
