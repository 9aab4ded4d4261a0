//! A TCP stream whose writes fail once the peer has accepted nothing for too long, and whose reads are recorded in the
//! account of its connection.

use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

use crate::budget::Account;

/// Longest time without progress of a write. The kernel retransmits an unacknowledged segment after
/// 0.2, 0.4, 0.8, 1.6 and 3.2 s, so a network that recovers within this time loses no answer. Any
/// progress restarts the time, so a caller that is only slow gets the complete answer.
const STALL_TIMEOUT: Duration = Duration::from_millis(6_500);

/// Size of the kernel's send buffer of a connection, in bytes; the kernel doubles it for its own
/// overhead. The kernel reports progress only once a third of the buffer is free again. With its
/// default buffers of several megabytes on fast links, a caller that reads 100 kB a second would seem
/// stalled. The size also limits the memory for slow callers: 4,096 of them use at most half a
/// gigabyte, instead of 16.
const SEND_BUFFER_BYTES: usize = 64 << 10;

/// A connection whose writes fail when the peer accepts nothing for [`STALL_TIMEOUT`].
pub(crate) struct Stream {
    inner: TcpStream,
    account: Arc<Account>,
    /// Largest head of a request, in bytes.
    max_head_bytes: usize,
    /// Timer of a write that waits for the peer.
    stalled: Option<Pin<Box<Sleep>>>,
}

impl Stream {
    /// Wraps a connection and limits its send buffer.
    pub fn new(inner: TcpStream, account: Arc<Account>, max_head_bytes: usize) -> Stream {
        // If the kernel refuses, progress is only reported in larger steps.
        let _ = socket2::SockRef::from(&inner).set_send_buffer_size(SEND_BUFFER_BYTES);
        Stream { inner, account, max_head_bytes, stalled: None }
    }

    /// Returns the result of a write, or an error if the write has been pending for too long.
    fn check_stall<T>(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.stalled = None;
            return written;
        }
        let timer = || Box::pin(sleep_until(Instant::now() + STALL_TIMEOUT));
        ready!(self.stalled.get_or_insert_with(timer).as_mut().poll(context));
        Poll::Ready(Err(ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(context, buffer))?;
        let bytes = buffer.filled().len() - before;
        let recorded = self.account.received(bytes, self.max_head_bytes);
        Poll::Ready(recorded.map_err(|_| ErrorKind::OutOfMemory.into()))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.check_stall(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(context, parts);
        self.check_stall(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.inner).poll_flush(context))?;
        self.account.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
