//! A loopback proxy that drops the bytes of open connections without a reset, while new connections
//! work.

use std::future::pending;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// Size of the copy buffer, in bytes.
const BUFFER_BYTES: usize = 16 << 10;

/// Direction in which the bytes of a connection are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Blackhole {
    /// From the side that connected.
    FromClient,
    /// From the side that accepted.
    FromServer,
    /// In both directions.
    Both,
}

impl Blackhole {
    /// All values.
    pub const ALL: [Blackhole; 3] = [Blackhole::FromClient, Blackhole::FromServer, Blackhole::Both];
}

/// Loopback proxy, which runs as long as its runtime.
#[derive(Clone)]
pub struct BlackholeProxy {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

/// State shared by the connections of a proxy.
#[derive(Default)]
struct State {
    /// Number of accepted connections.
    accepted: usize,
    /// Number of the first connections whose bytes are dropped, and the direction.
    blackhole: Option<(usize, Blackhole)>,
}

impl BlackholeProxy {
    /// Starts a proxy on a free loopback port that forwards connections to `target`.
    ///
    /// # Panics
    /// If no loopback port can be bound.
    pub async fn start(target: SocketAddr) -> BlackholeProxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listens");
        let address = listener.local_addr().expect("an address");
        let proxy = BlackholeProxy { address, state: Arc::default() };
        let acceptor = proxy.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(acceptor.clone().forward(client, target));
            }
        });
        proxy
    }

    /// Returns the address of the proxy.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of accepted connections.
    pub fn accepted(&self) -> usize {
        self.state().accepted
    }

    /// Drops the bytes of all open connections in the given direction from now on. Neither side is
    /// notified when the other closes such a connection. Later connections work.
    pub fn drop_bytes(&self, blackhole: Blackhole) {
        let mut state = self.state();
        state.blackhole = Some((state.accepted, blackhole));
    }

    async fn forward(self, client: TcpStream, target: SocketAddr) {
        let number = {
            let mut state = self.state();
            state.accepted += 1;
            state.accepted
        };
        // If the target is down, the connection of the client is closed.
        let Ok(server) = TcpStream::connect(target).await else { return };
        let ((client_in, client_out), (server_in, server_out)) =
            (client.into_split(), server.into_split());
        let from_client =
            self.clone().forward_direction(number, Blackhole::FromClient, client_in, server_out);
        tokio::join!(
            from_client,
            self.forward_direction(number, Blackhole::FromServer, server_in, client_out)
        );
    }

    /// Forwards the bytes of one direction until the sender closes, and then closes the other side.
    async fn forward_direction(
        self,
        number: usize,
        direction: Blackhole,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
    ) {
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok(read @ 1..) = from.read(&mut buffer).await {
            let blackhole =
                self.blackhole(number).is_some_and(|b| b == direction || b == Blackhole::Both);
            if !blackhole && to.write_all(&buffer[..read]).await.is_err() {
                break;
            }
        }
        if self.blackhole(number).is_some() {
            // Keeps `to` open, so that its peer sees no close.
            pending::<()>().await;
        }
    }

    /// Returns the direction in which the bytes of a connection are dropped, if any.
    fn blackhole(&self, number: usize) -> Option<Blackhole> {
        self.state().blackhole.filter(|(last, _)| number <= *last).map(|(_, blackhole)| blackhole)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
