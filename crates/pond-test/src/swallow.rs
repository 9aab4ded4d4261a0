//! A loopback proxy that swallows the bytes of connections for good, without a reset, while new
//! connections work.

use std::future::pending;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// Bytes that are passed on at once.
const PIECE: usize = 16 << 10;

/// Which bytes of a connection are swallowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Swallowed {
    /// Those of the side that connected.
    Asked,
    /// Those of the side that was connected to.
    Answered,
    /// Those of both sides.
    Both,
}

impl Swallowed {
    /// All ways in which a connection can fall silent.
    pub const ALL: [Swallowed; 3] = [Swallowed::Asked, Swallowed::Answered, Swallowed::Both];
}

/// The proxy; it runs as long as its runtime.
#[derive(Clone)]
pub struct SwallowProxy {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

/// What it has done up to now.
#[derive(Default)]
struct State {
    /// Connections that were taken.
    taken: usize,
    /// How many of the first connections are silent, and which of their bytes are swallowed.
    silent: Option<(usize, Swallowed)>,
}

impl SwallowProxy {
    /// Listens on an address of its own and passes connections on to `target`.
    ///
    /// # Panics
    /// If it cannot listen on loopback.
    pub async fn start(target: SocketAddr) -> SwallowProxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listens");
        let address = listener.local_addr().expect("an address");
        let proxy = SwallowProxy { address, state: Arc::default() };
        let own = proxy.clone();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(own.clone().join(near, target));
            }
        });
        proxy
    }

    /// Where it takes connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// How many connections it has taken.
    pub fn taken(&self) -> usize {
        self.state().taken
    }

    /// From now on these bytes of all connections that there are get lost, and no side learns that
    /// the other closes one. Connections that are taken later work.
    pub fn swallow(&self, swallowed: Swallowed) {
        let mut state = self.state();
        state.silent = Some((state.taken, swallowed));
    }

    async fn join(self, near: TcpStream, target: SocketAddr) {
        let number = {
            let mut state = self.state();
            state.taken += 1;
            state.taken
        };
        // A target that is down closes the near side.
        let Ok(far) = TcpStream::connect(target).await else { return };
        let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
        let asked = self.clone().pass(number, Swallowed::Asked, near_in, far_out);
        tokio::join!(asked, self.pass(number, Swallowed::Answered, far_in, near_out));
    }

    /// Passes the bytes of one side on until it closes, and then its close.
    async fn pass(
        self,
        number: usize,
        own: Swallowed,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
    ) {
        let mut buffer = vec![0; PIECE];
        while let Ok(read @ 1..) = from.read(&mut buffer).await {
            let swallowed = self.silent(number).is_some_and(|s| s == own || s == Swallowed::Both);
            if !swallowed && to.write_all(&buffer[..read]).await.is_err() {
                break;
            }
        }
        if self.silent(number).is_some() {
            // Keeps `to` open.
            pending::<()>().await;
        }
    }

    /// Which bytes of a connection are swallowed, if it is silent.
    fn silent(&self, number: usize) -> Option<Swallowed> {
        self.state().silent.filter(|(last, _)| number <= *last).map(|(_, swallowed)| swallowed)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
