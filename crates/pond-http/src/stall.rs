//! A stream that fails once its other end has taken nothing for too long.

use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

/// The other end may take nothing of what is written for this long. The system sends an unanswered
/// segment again after 0.2, 0.4, 0.8, 1.6 and 3.2 s, so a link that is back within this time loses
/// no answer. Any progress starts it anew, so a caller that is only slow gets the whole answer.
const PATIENCE: Duration = Duration::from_millis(6_500);

/// Bytes that the system holds for a connection to be sent; it uses twice that for its own
/// account. It tells of progress only when a third of it is free again: with megabytes, as it takes
/// for fast links, a caller that takes 100 kB a second would seem to take nothing. It also bounds
/// what slow callers cost: 4,096 of them half a gigabyte at most, instead of 16.
const SEND_BYTES: usize = 64 << 10;

/// A connection whose writes fail when the other end takes nothing for [`PATIENCE`].
pub(crate) struct Stream {
    inner: TcpStream,
    /// There while a write waits for the other end.
    stalled: Option<Pin<Box<Sleep>>>,
}

impl Stream {
    /// Watches over a connection and bounds what the system holds for it.
    pub fn new(inner: TcpStream) -> Stream {
        // Where the system refuses, only the grain of progress is coarser.
        let _ = socket2::SockRef::from(&inner).set_send_buffer_size(SEND_BYTES);
        Stream { inner, stalled: None }
    }

    /// Passes the result of a write on, or fails when it has waited for too long.
    fn watch<T>(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.stalled = None;
            return written;
        }
        let until = || Box::pin(sleep_until(Instant::now() + PATIENCE));
        ready!(self.stalled.get_or_insert_with(until).as_mut().poll(context));
        Poll::Ready(Err(ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.watch(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(context, parts);
        self.watch(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
