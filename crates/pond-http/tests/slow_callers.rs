//! With thousands of callers that read slowly, or that send only part of a head or body, the server
//! stays within the memory of a small machine and serves other callers meanwhile. The test has a file
//! of its own, as it measures the memory of the whole process.

use std::future::{Future, ready};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use pond_http::{Bytes, Call, Client, Handler, Limits, Method, Reply, StatusCode, Stop, serve};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Number of callers of each of three kinds; an entry allows 4,096 connections.
const CALLERS: usize = 1_000;

/// Maximum growth of the process's memory, in bytes: less than half of the 160 MB of a small machine.
/// It includes the callers' ends of the connections.
const MAX_GROWTH_BYTES: usize = 64 << 20;

/// Size of an answer, in bytes; larger than what the kernel buffers.
const ANSWER_BYTES: usize = 512 << 10;

const READ_TIMEOUT: Duration = Duration::from_secs(4);

struct FixedAnswer {
    answer: Bytes,
}

impl Handler for FixedAnswer {
    fn handle(&self, _: Call) -> Pin<Box<dyn Future<Output = Reply> + Send + '_>> {
        Box::pin(ready(Reply::new(StatusCode::OK, self.answer.clone())))
    }
}

/// Connects and sends `bytes`.
async fn send(address: SocketAddr, bytes: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("connects");
    stream.write_all(bytes.as_bytes()).await.expect("writes");
    stream
}

async fn connect_many(address: SocketAddr, bytes: &str) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    for _ in 0..CALLERS {
        streams.push(send(address, bytes).await);
    }
    streams
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("a status");
    let line = status.lines().find(|line| line.starts_with("VmRSS")).expect("a line");
    let kilobytes = line.split_whitespace().nth(1).expect("a figure");
    kilobytes.parse::<usize>().expect("a number") << 10
}

async fn read_all(mut stream: TcpStream) -> Vec<u8> {
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.expect("reads");
    answer
}

#[tokio::test]
async fn thousands_of_slow_callers_fit_in_the_memory_of_a_small_machine() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listens");
    let address = listener.local_addr().expect("an address");
    let limits = Limits { read_timeout: READ_TIMEOUT, ..Limits::default() };
    let handler = Arc::new(FixedAnswer { answer: Bytes::from(vec![0; ANSWER_BYTES]) });
    tokio::spawn(serve(listener, limits, Stop::new(), handler));
    let before = resident_bytes();

    let mut slow =
        connect_many(address, "GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n").await;
    let heads = connect_many(address, "POST / HTTP/1.1\r\nhost:").await;
    let bodies =
        connect_many(address, "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1000\r\n\r\nabc")
            .await;
    let mut first_bytes = [0; 12];
    for stream in &mut slow {
        stream.read_exact(&mut first_bytes).await.expect("a few bytes");
    }
    let call = Call::new(Method::GET, "/", Vec::new());
    let other = Client::new().call(&address.to_string(), call, READ_TIMEOUT).await;
    assert_eq!(other.expect("an answer").body.len(), ANSWER_BYTES);
    let growth = resident_bytes().saturating_sub(before);
    assert!(growth < MAX_GROWTH_BYTES, "memory grew by {growth} bytes");

    for stream in slow {
        assert!(read_all(stream).await.len() > ANSWER_BYTES - first_bytes.len());
    }
    for stream in bodies {
        assert!(read_all(stream).await.starts_with(b"HTTP/1.1 408"));
    }
    for stream in heads {
        assert!(read_all(stream).await.is_empty());
    }
}
