//! Thousands of callers that are slow, or that send half a head or half a body: the server stays
//! within the memory of a thin machine and serves others beside them. Alone in its file, as it reads the
//! memory of the whole process.

use std::future::{Future, ready};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use pond_http::{Bytes, Call, Client, Handler, Limits, Method, Reply, StatusCode, Stop, serve};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Callers of each sort; three thousand together, of the 4,096 places of an entry.
const CROWD: usize = 1_000;

/// What the crowd may add to the memory of the process, in bytes: less than half of the 160 MB of a
/// thin machine. The callers' ends are in it, too.
const MEMORY: usize = 64 << 20;

/// An answer larger than what the system takes at once.
const ANSWER: usize = 512 << 10;

const READ: Duration = Duration::from_secs(4);

struct Speaker {
    answer: Bytes,
}

impl Handler for Speaker {
    fn handle(&self, _: Call) -> Pin<Box<dyn Future<Output = Reply> + Send + '_>> {
        Box::pin(ready(Reply::new(StatusCode::OK, self.answer.clone())))
    }
}

/// Connects and sends some bytes.
async fn send(address: SocketAddr, bytes: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("connects");
    stream.write_all(bytes.as_bytes()).await.expect("writes");
    stream
}

async fn crowd(address: SocketAddr, bytes: &str) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    for _ in 0..CROWD {
        streams.push(send(address, bytes).await);
    }
    streams
}

/// Resident memory of this process, in bytes.
fn resident() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("a status");
    let line = status.lines().find(|line| line.starts_with("VmRSS")).expect("a line");
    let kilobytes = line.split_whitespace().nth(1).expect("a figure");
    kilobytes.parse::<usize>().expect("a number") << 10
}

async fn all_of(mut stream: TcpStream) -> Vec<u8> {
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.expect("reads");
    answer
}

#[tokio::test]
async fn thousands_of_slow_callers_stay_within_the_memory_of_a_thin_machine() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listens");
    let address = listener.local_addr().expect("an address");
    let limits = Limits { read_timeout: READ, ..Limits::default() };
    let speaker = Arc::new(Speaker { answer: Bytes::from(vec![0; ANSWER]) });
    tokio::spawn(serve(listener, limits, Stop::new(), speaker));
    let before = resident();

    let mut slow = crowd(address, "GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n").await;
    let heads = crowd(address, "POST / HTTP/1.1\r\nhost:").await;
    let bodies =
        crowd(address, "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1000\r\n\r\nabc").await;
    let mut few = [0; 12];
    for stream in &mut slow {
        stream.read_exact(&mut few).await.expect("a few bytes");
    }
    let call = Call::new(Method::GET, "/", Vec::new());
    let beside = Client::new().call(&address.to_string(), call, READ).await;
    assert_eq!(beside.expect("an answer").body.len(), ANSWER);
    let grown = resident().saturating_sub(before);
    assert!(grown < MEMORY, "grown by {grown} bytes");

    for stream in slow {
        assert!(all_of(stream).await.len() > ANSWER - few.len());
    }
    for stream in bodies {
        assert!(all_of(stream).await.starts_with(b"HTTP/1.1 408"));
    }
    for stream in heads {
        assert!(all_of(stream).await.is_empty());
    }
}
