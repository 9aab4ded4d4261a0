//! Idle connections that stop answering permanently, without a reset, while new connections work.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use pond_http::{Call, Client, Method};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const MAX_WAIT: Duration = Duration::from_millis(100);

/// Answers the requests on a connection. One that was opened before `silent` was set gets no answers
/// after that.
async fn serve(mut stream: TcpStream, silent: Arc<AtomicBool>) {
    let opened_before = !silent.load(Ordering::SeqCst);
    let mut bytes = [0; 1024];
    while let Ok(read) = stream.read(&mut bytes).await {
        if read == 0 {
            return;
        }
        if opened_before && silent.load(Ordering::SeqCst) {
            continue;
        }
        if stream.write_all(ANSWER).await.is_err() {
            return;
        }
    }
}

#[tokio::test]
async fn one_timed_out_call_drops_all_idle_connections() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (silent, opened) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let (silent_flag, open_count) = (silent.clone(), opened.clone());
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            open_count.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(serve(stream, silent_flag.clone()));
        }
    });
    let client = Client::new();
    let call = || client.call(&address, Call::new(Method::GET, "/", Vec::new()), MAX_WAIT);
    let (first, second, third) = tokio::join!(call(), call(), call());
    assert!(first.is_ok() && second.is_ok() && third.is_ok());
    assert_eq!(opened.load(Ordering::SeqCst), 3);
    silent.store(true, Ordering::SeqCst);
    assert!(call().await.is_err());
    assert!(call().await.is_ok());
}
