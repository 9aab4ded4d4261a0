//! What a server closes, refuses and serves when memory or connections are short.

use std::future::Future;
use std::io::Write;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use pond_http::{
    Budget, CONNECTION_BYTES, Call, Client, Handler, Limits, Method, Reply, StatusCode, Stop,
    serve_within,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::yield_now;
use tokio::time::timeout;

/// Longest time for an answer. It only ends a test whose server hangs.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Largest body, in bytes.
const BODY_BYTES: usize = 64 << 10;

/// Number of largest bodies that fit into the memory at the same time.
const BODIES: usize = 4;

/// Echoes the body; a body of `wait` is answered once the handler is released.
struct Echo {
    released: Semaphore,
}

impl Handler for Echo {
    fn handle(&self, call: Call) -> Pin<Box<dyn Future<Output = Reply> + Send + '_>> {
        Box::pin(async move {
            if call.body == "wait" {
                let _permit = self.released.acquire().await;
            }
            Reply::new(StatusCode::OK, call.body)
        })
    }
}

struct Server {
    address: SocketAddr,
    budget: Budget,
    echo: Arc<Echo>,
}

impl Server {
    async fn start(max_connections: usize) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listens");
        let address = listener.local_addr().expect("an address");
        let limits = Limits {
            max_connections,
            read_timeout: MAX_WAIT,
            max_body_bytes: BODY_BYTES,
            ..Limits::default()
        };
        let connection = CONNECTION_BYTES + limits.max_head_bytes;
        let budget = Budget::new(BODIES * (BODY_BYTES + connection));
        let echo = Arc::new(Echo { released: Semaphore::new(0) });
        let served = serve_within(listener, limits, budget.clone(), Stop::new(), echo.clone());
        tokio::spawn(served);
        Server { address, budget, echo }
    }

    /// Connects and sends the head of a request with a body of `length` bytes, and then `body`.
    async fn send(&self, length: usize, body: &[u8]) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).await.expect("connects");
        let head = format!("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.expect("writes");
        stream.write_all(body).await.expect("writes");
        stream
    }

    /// Waits until the server has reserved memory for a number of complete bodies.
    async fn wait_for_bodies(&self, bodies: usize) {
        while self.budget.usage().bytes < bodies * (BODY_BYTES + CONNECTION_BYTES) {
            tokio::task::yield_now().await;
        }
    }

    async fn answers(&self, body: Vec<u8>) -> Reply {
        let call = Call::new(Method::POST, "/", body);
        let reply = Client::new().call(&self.address.to_string(), call, MAX_WAIT).await;
        reply.expect("an answer")
    }
}

/// Reads until the server closes the connection.
async fn read_all(mut stream: TcpStream) -> String {
    let mut answer = Vec::new();
    // The connection may be reset.
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test]
async fn body_that_is_stated_too_large_is_refused_before_it_is_sent() {
    let server = Server::start(8).await;
    let stream = server.send(BODY_BYTES + 1, b"").await;
    assert!(read_all(stream).await.starts_with("HTTP/1.1 413"));
}

#[tokio::test]
async fn refusal_reaches_a_caller_that_goes_on_sending() {
    let server = Server::start(8).await;
    let mut stream = server.send(8 * BODY_BYTES, &vec![b'a'; 8 * BODY_BYTES]).await;
    let mut answer = Vec::new();
    // A reset would be an error here, and may lose the answer on a longer way.
    stream.read_to_end(&mut answer).await.expect("no reset");
    assert!(answer.starts_with(b"HTTP/1.1 413"));
}

#[tokio::test]
async fn oldest_incomplete_request_is_refused_to_make_room() {
    let server = Server::start(64).await;
    let mut incomplete = Vec::new();
    for bodies in 1..=BODIES {
        incomplete.push(server.send(BODY_BYTES, &vec![b'a'; BODY_BYTES - 1]).await);
        server.wait_for_bodies(bodies).await;
    }
    assert_eq!(server.answers(vec![b'b'; BODY_BYTES]).await.body.len(), BODY_BYTES);
    let mut incomplete = incomplete.into_iter();
    let oldest = read_all(incomplete.next().expect("a request")).await;
    assert!(oldest.is_empty() || oldest.starts_with("HTTP/1.1 503"), "{oldest}");
    let mut newest = incomplete.next_back().expect("a request");
    newest.write_all(b"a").await.expect("writes");
    let mut answer = [0; 12];
    newest.read_exact(&mut answer).await.expect("an answer");
    assert_eq!(&answer, b"HTTP/1.1 200");
}

#[tokio::test]
async fn request_without_memory_is_refused_and_none_that_is_handled_is_closed() {
    let server = Server::start(64).await;
    let mut handled = Vec::new();
    let connections = BODIES * (BODY_BYTES + CONNECTION_BYTES) / CONNECTION_BYTES;
    for _ in 0..connections {
        handled.push(server.send(4, b"wait").await);
    }
    let call = Call::new(Method::POST, "/", vec![b'a'; BODY_BYTES]);
    let refused = Client::new().call(&server.address.to_string(), call, MAX_WAIT).await;
    let reply = refused.expect("an answer");
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(reply.header("retry-after"), Some("1"));
    server.echo.released.add_permits(connections);
    for mut stream in handled {
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).await.expect("an answer");
        assert_eq!(&answer, b"HTTP/1.1 200");
    }
}

#[tokio::test]
async fn complete_requests_above_the_limit_of_connections_are_all_served() {
    const CALLERS: usize = 100;
    let server = Server::start(8).await;
    // The server runs on this thread, so all requests have arrived before it accepts the first connection.
    let send = |_| {
        let mut stream = std::net::TcpStream::connect(server.address).expect("connects");
        let request = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\r\na";
        stream.write_all(request).expect("writes");
        stream.set_nonblocking(true).expect("a stream");
        TcpStream::from_std(stream).expect("a stream")
    };
    let streams: Vec<TcpStream> = (0..CALLERS).map(send).collect();
    for mut stream in streams {
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).await.expect("an answer");
        assert_eq!(&answer, b"HTTP/1.1 200");
    }
}

#[tokio::test]
async fn large_answers_that_are_not_read_make_room_for_others() {
    let server = Server::start(64).await;
    let mut unread = Vec::new();
    for _ in 0..8 * BODIES {
        let stream = server.send(BODY_BYTES, &vec![b'a'; BODY_BYTES]).await;
        unread.push(stream);
    }
    assert_eq!(server.answers(b"b".to_vec()).await.status, StatusCode::OK);
    let limit = BODIES * (BODY_BYTES + CONNECTION_BYTES + Limits::default().max_head_bytes);
    assert!(server.budget.usage().bytes <= limit, "{:?}", server.budget.usage());
}

#[tokio::test]
async fn connection_above_the_limit_closes_the_one_that_has_stood_still_for_longest() {
    let server = Server::start(2).await;
    let client = Client::new();
    let address = server.address.to_string();
    let call = || Call::new(Method::POST, "/", "a");
    let incomplete = server.send(BODY_BYTES, b"a").await;
    server.wait_for_bodies(1).await;
    client.call(&address, call(), MAX_WAIT).await.expect("an answer");
    server.answers(b"b".to_vec()).await;
    read_all(incomplete).await;
    let reclaimed = server.budget.usage().reclaimed;
    client.call(&address, call(), MAX_WAIT).await.expect("an answer");
    assert_eq!(server.budget.usage().reclaimed, reclaimed);
}

#[tokio::test]
async fn answers_that_are_not_read_make_room_before_a_new_connection_does() {
    let server = Server::start(4).await;
    let mut unread = Vec::new();
    // Each has more answers than the system buffers.
    let request = format!("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {BODY_BYTES}\r\n\r\n");
    for _ in 0..4 {
        let mut stream = TcpStream::connect(server.address).await.expect("connects");
        for _ in 0..64 {
            let body = [request.as_bytes(), &vec![b'a'; BODY_BYTES]].concat();
            let written = timeout(Duration::from_millis(50), stream.write_all(&body)).await;
            if written.is_err() {
                break;
            }
        }
        unread.push(stream);
    }
    // It is accepted before its request arrives, and others that also read nothing come after it.
    let mut ordinary = TcpStream::connect(server.address).await.expect("connects");
    for _ in 0..3 {
        unread.push(TcpStream::connect(server.address).await.expect("connects"));
        yield_now().await;
    }
    ordinary
        .write_all(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\r\nb")
        .await
        .expect("writes");
    let mut answer = [0; 12];
    ordinary.read_exact(&mut answer).await.expect("an answer");
    assert_eq!(&answer, b"HTTP/1.1 200");
}

#[tokio::test]
async fn largest_request_is_served_in_any_form() {
    let server = Server::start(8).await;
    let mut stream = TcpStream::connect(server.address).await.expect("connects");
    // The limit of the platform's configurations for a head.
    let filler = "a".repeat((16 << 10) - "POST / HTTP/1.1\r\nhost: a\r\nx: \r\n\r\n".len() - 28);
    let head =
        format!("POST / HTTP/1.1\r\nhost: a\r\nx: {filler}\r\ntransfer-encoding: chunked\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("writes");
    stream.write_all("1\r\na\r\n".repeat(BODY_BYTES).as_bytes()).await.expect("writes");
    stream.write_all(b"0\r\n\r\n").await.expect("writes");
    let mut answer = vec![0; 12 + BODY_BYTES];
    stream.read_exact(&mut answer).await.expect("an answer");
    assert!(answer.starts_with(b"HTTP/1.1 200"));
}

#[tokio::test]
async fn head_without_end_and_empty_lines_are_refused() {
    for unit in ["x: a\r\n", "\r\n"] {
        let server = Server::start(8).await;
        let mut stream = TcpStream::connect(server.address).await.expect("connects");
        let start = if unit == "\r\n" { "" } else { "POST / HTTP/1.1\r\n" };
        stream.write_all(start.as_bytes()).await.expect("writes");
        stream.write_all(unit.repeat((64 << 10) / unit.len()).as_bytes()).await.expect("writes");
        let answer = read_all(stream).await;
        assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
    }
}
