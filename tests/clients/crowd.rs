//! Many clients at once, most of which stop just short of the end of their request and stay connected.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// One in this many clients completes its request, unless all of them do.
const COMPLETE_ONE_IN: usize = 8;

/// Interval at which the progress of a crowd is checked. A crowd that has sent nothing for an interval waits for
/// the process, which has stopped reading.
const SETTLE_INTERVAL: Duration = Duration::from_secs(2);

/// Job id in the head of a message, in place of which each client sends an id of its own.
pub const JOB_ID: &str = "00000000000000ff";

/// Job id of the next client.
static NEXT_JOB: AtomicUsize = AtomicUsize::new(0xff00);

/// Pause between the pieces of a request that is sent piece by piece.
const PIECE_PAUSE: Duration = Duration::from_millis(1);

/// What a client sends: the head, then a unit a number of times, then the end.
#[derive(Clone, Debug)]
pub struct Message {
    head: Vec<u8>,
    unit: Vec<u8>,
    units: usize,
    /// The last bytes; empty if the request has no end.
    end: Vec<u8>,
    pause: Duration,
    complete_one_in: usize,
}

impl Message {
    /// Has all clients complete the request.
    pub fn with_all_complete(mut self) -> Message {
        self.complete_one_in = 1;
        self
    }

    /// Creates a request with a body of `padding` spaces and then `json`, sent at once.
    pub fn whole(head: &str, padding: usize, json: &str) -> Message {
        let length = padding + json.len();
        let (start, end) = json.split_at(json.len() - 1);
        let unit = [" ".repeat(padding).as_bytes(), start.as_bytes()].concat();
        Message {
            head: format!("{head}content-length: {length}\r\n\r\n").into_bytes(),
            unit,
            units: 1,
            end: end.into(),
            pause: Duration::ZERO,
            complete_one_in: COMPLETE_ONE_IN,
        }
    }

    /// Creates a request with a body of `padding` spaces and then `json`, sent in pieces.
    pub fn in_pieces(head: &str, padding: usize, json: &str, piece_bytes: usize) -> Message {
        let units = padding / piece_bytes;
        let length = units * piece_bytes + json.len();
        Message {
            head: format!("{head}content-length: {length}\r\n\r\n").into_bytes(),
            unit: vec![b' '; piece_bytes],
            units,
            end: json.into(),
            pause: PIECE_PAUSE,
            complete_one_in: COMPLETE_ONE_IN,
        }
    }

    /// Creates a request with a chunked body of `padding` spaces, in chunks of `chunk_bytes`, and then `json`.
    pub fn chunked(head: &str, padding: usize, json: &str, chunk_bytes: usize) -> Message {
        let spaces = " ".repeat(chunk_bytes);
        Message {
            head: format!("{head}transfer-encoding: chunked\r\n\r\n").into_bytes(),
            unit: format!("{chunk_bytes:x}\r\n{spaces}\r\n").into_bytes(),
            units: padding / chunk_bytes,
            end: format!("{:x}\r\n{json}\r\n0\r\n\r\n", json.len()).into_bytes(),
            pause: Duration::ZERO,
            complete_one_in: COMPLETE_ONE_IN,
        }
    }

    /// Returns the head with a job id of its own.
    fn own_head(&self) -> Vec<u8> {
        let id = NEXT_JOB.fetch_add(1, Ordering::Relaxed);
        match std::str::from_utf8(&self.head) {
            Ok(head) => head.replace(JOB_ID, &format!("{id:016x}")).into_bytes(),
            Err(_) => self.head.clone(),
        }
    }

    /// Creates a message of `bytes` bytes without an end: `head` and then copies of `unit`.
    pub fn endless(head: &[u8], unit: &[u8], bytes: usize) -> Message {
        Message {
            head: head.into(),
            unit: unit.into(),
            units: bytes / unit.len(),
            end: Vec::new(),
            pause: Duration::ZERO,
            complete_one_in: COMPLETE_ONE_IN,
        }
    }
}

/// Clients that stay connected until the crowd is dropped.
pub struct Crowd {
    clients: JoinSet<()>,
    sent: Arc<AtomicU64>,
    finished: Arc<AtomicUsize>,
}

impl Crowd {
    /// Connects `clients` clients, all of which send the message.
    pub fn start(address: SocketAddr, clients: usize, message: &Message) -> Crowd {
        let message = Arc::new(message.clone());
        let mut crowd = Crowd {
            clients: JoinSet::new(),
            sent: Arc::new(AtomicU64::new(0)),
            finished: Arc::new(AtomicUsize::new(0)),
        };
        for client in 0..clients {
            let (message, sent) = (message.clone(), crowd.sent.clone());
            let finished = crowd.finished.clone();
            crowd.clients.spawn(async move {
                let stream = send(address, &message, client, &sent).await;
                finished.fetch_add(1, Ordering::Relaxed);
                // The connection stays open, or closed by the process, until the crowd is dropped.
                std::future::pending::<()>().await;
                drop(stream);
            });
        }
        crowd
    }

    /// Waits until all clients have sent their message, were disconnected, or wait for the process.
    pub async fn settle(&self) {
        let mut sent = 0;
        while self.finished.load(Ordering::Relaxed) < self.clients.len() {
            sleep(SETTLE_INTERVAL).await;
            let now = self.sent.load(Ordering::Relaxed);
            if std::mem::replace(&mut sent, now) == now {
                return;
            }
        }
    }
}

/// Sends a message on a new connection. Returns the connection unless the process closed it.
async fn send(
    address: SocketAddr,
    message: &Message,
    client: usize,
    sent: &AtomicU64,
) -> std::io::Result<TcpStream> {
    let complete = client.is_multiple_of(message.complete_one_in);
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(&message.own_head()).await?;
    // Short units are sent together, as a client would that has them all.
    let batch = if message.pause.is_zero() { 4096_usize.div_ceil(message.unit.len()) } else { 1 };
    let unit = message.unit.repeat(batch);
    for _ in 0..message.units / batch {
        stream.write_all(&unit).await?;
        sent.fetch_add(unit.len() as u64, Ordering::Relaxed);
        sleep(message.pause).await;
    }
    let last = if complete { message.end.len() } else { message.end.len().saturating_sub(1) };
    stream.write_all(&message.end[..last]).await?;
    if complete && last > 0 {
        let mut answer = [0; 1024];
        let read = stream.read(&mut answer).await?;
        sent.fetch_add(read as u64, Ordering::Relaxed);
    }
    Ok(stream)
}
