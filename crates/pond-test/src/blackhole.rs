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
pub enum Blackhole {
    /// Those of the side that connected.
    FromClient,
    /// Those of the side that was connected to.
    FromServer,
    /// Those of both sides.
    Both,
}

impl Blackhole {
    /// All ways in which a connection can fall silent.
    pub const ALL: [Blackhole; 3] = [Blackhole::FromClient, Blackhole::FromServer, Blackhole::Both];
}

/// The proxy; it runs as long as its runtime.
#[derive(Clone)]
pub struct BlackholeProxy {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

/// What it has done up to now.
#[derive(Default)]
struct State {
    /// Connections that were taken.
    accepted: usize,
    /// How many of the first connections are silent, and which of their bytes are swallowed.
    silent: Option<(usize, Blackhole)>,
}

impl BlackholeProxy {
    /// Listens on an address of its own and passes connections on to `target`.
    ///
    /// # Panics
    /// If it cannot listen on loopback.
    pub async fn start(target: SocketAddr) -> BlackholeProxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listens");
        let address = listener.local_addr().expect("an address");
        let proxy = BlackholeProxy { address, state: Arc::default() };
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
    pub fn accepted(&self) -> usize {
        self.state().accepted
    }

    /// From now on these bytes of all connections that there are get lost, and no side learns that
    /// the other closes one. Connections that are taken later work.
    pub fn drop_bytes(&self, swallowed: Blackhole) {
        let mut state = self.state();
        state.silent = Some((state.accepted, swallowed));
    }

    async fn join(self, near: TcpStream, target: SocketAddr) {
        let number = {
            let mut state = self.state();
            state.accepted += 1;
            state.accepted
        };
        // A target that is down closes the near side.
        let Ok(far) = TcpStream::connect(target).await else { return };
        let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
        let asked = self.clone().pass(number, Blackhole::FromClient, near_in, far_out);
        tokio::join!(asked, self.pass(number, Blackhole::FromServer, far_in, near_out));
    }

    /// Passes the bytes of one side on until it closes, and then its close.
    async fn pass(
        self,
        number: usize,
        own: Blackhole,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
    ) {
        let mut buffer = vec![0; PIECE];
        while let Ok(read @ 1..) = from.read(&mut buffer).await {
            let swallowed = self.silent(number).is_some_and(|s| s == own || s == Blackhole::Both);
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
    fn silent(&self, number: usize) -> Option<Blackhole> {
        self.state().silent.filter(|(last, _)| number <= *last).map(|(_, swallowed)| swallowed)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
