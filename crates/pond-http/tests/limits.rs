//! How the server handles slow, large and incomplete requests, and how the client handles incomplete
//! answers.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use pond_http::{Call, Client, Handler, Limits, Method, Reply, StatusCode, Stop, serve};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Counts requests and answers each with its own body.
#[derive(Default)]
struct Echo {
    seen: AtomicU32,
}

impl Handler for Echo {
    fn handle(&self, call: Call) -> Pin<Box<dyn Future<Output = Reply> + Send + '_>> {
        self.seen.fetch_add(1, Ordering::Relaxed);
        Box::pin(async move { Reply::new(StatusCode::OK, call.body) })
    }
}

async fn server() -> (SocketAddr, Arc<Echo>, Stop) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listens");
    let address = listener.local_addr().expect("an address");
    let (echo, stop) = (Arc::new(Echo::default()), Stop::new());
    let limits = Limits {
        max_connections: 8,
        read_timeout: Duration::from_millis(200),
        max_body_bytes: 1000,
        ..Limits::default()
    };
    tokio::spawn(serve(listener, limits, stop.clone(), echo.clone()));
    (address, echo, stop)
}

/// Sends bytes and reads until the server closes the connection.
async fn exchange(address: SocketAddr, bytes: &[u8], close: bool) -> String {
    let mut stream = TcpStream::connect(address).await.expect("connects");
    stream.write_all(bytes).await.expect("writes");
    if close {
        stream.shutdown().await.expect("shuts");
    }
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test]
async fn incomplete_requests_never_reach_the_handler() {
    let head =
        |length: u32| format!("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n");
    let table: [(&str, String, bool, &str); 5] = [
        ("a head that never ends", "POST / HTTP/1.1\r\nhost:".to_owned(), false, ""),
        ("a body that never arrives", head(10), false, "HTTP/1.1 408"),
        ("an incomplete body", format!("{}abc", head(10)), true, "HTTP/1.1 400"),
        (
            "a body that is too large",
            format!("{}{}", head(2000), "x".repeat(2000)),
            true,
            "HTTP/1.1 413",
        ),
        ("not HTTP", "hello\r\n\r\n".to_owned(), true, "HTTP/1.1 400"),
    ];
    for (name, bytes, close, expected) in table {
        let (address, echo, _) = server().await;
        let answer = exchange(address, bytes.as_bytes(), close).await;
        assert!(answer.starts_with(expected), "{name}: {answer}");
        assert_eq!(echo.seen.load(Ordering::Relaxed), 0, "{name}");
    }
}

#[tokio::test]
async fn idle_connections_at_the_limit_do_not_block_others_for_ever() {
    let (address, _, _) = server().await;
    let mut idle = Vec::new();
    for _ in 0..8 {
        idle.push(TcpStream::connect(address).await.expect("connects"));
    }
    // All eight connections are in use until the idle ones time out.
    let call = Call::new(Method::POST, "/", "a");
    let reply = Client::new().call(&address.to_string(), call, Duration::from_secs(20)).await;
    assert_eq!(reply.expect("an answer").body, "a");
}

#[tokio::test]
async fn stop_answers_requests_that_have_arrived() {
    let (address, _, stop) = server().await;
    let client = Client::new();
    let send = || client.call("", Call::new(Method::POST, "/", "a"), Duration::from_secs(5));
    drop(send());
    let mut stream = TcpStream::connect(address).await.expect("connects");
    stream
        .write_all(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\na")
        .await
        .expect("writes");
    stop.stop();
    stream.write_all(b"b").await.expect("writes");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("reads");
    assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("ab"), "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
}

/// Starts a server that sends `bytes` after the first request on each connection and then closes it.
async fn server_sending(bytes: &'static [u8]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listens");
    let address = listener.local_addr().expect("an address").to_string();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = [0; 1024];
            let _ = stream.read(&mut head).await;
            let _ = stream.write_all(bytes).await;
        }
    });
    address
}

#[tokio::test]
async fn client_reports_whether_a_request_may_have_run() {
    let client = Client::new();
    let call = || Call::new(Method::POST, "/", "a");
    let max_wait = Duration::from_millis(500);
    let nobody = client.call("127.0.0.1:1", call(), max_wait).await;
    assert!(nobody.expect_err("nobody listens").not_sent());
    let table: [(&str, &'static [u8]); 4] = [
        ("closed without an answer", b""),
        ("an incomplete head", b"HTTP/1.1 200 OK\r\ncontent-le"),
        ("an incomplete body", b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc"),
        ("an incomplete chunk", b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nab"),
    ];
    for (name, bytes) in table {
        let address = server_sending(bytes).await;
        let error = client.call(&address, call(), max_wait).await.expect_err(name);
        assert!(!error.not_sent(), "{name}: {error}");
    }
}

#[tokio::test]
async fn idle_connection_that_was_closed_is_replaced() {
    let address = server_sending(b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na").await;
    let client = Client::new();
    for _ in 0..3 {
        let call = Call::new(Method::POST, "/", "a");
        let reply = client.call(&address, call, Duration::from_secs(5)).await;
        assert_eq!(reply.expect("an answer").body, "a");
        // Gives the client time to notice that the server has closed the connection.
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
