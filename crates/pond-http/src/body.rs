//! Receives the body of a request.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::timeout;

use crate::budget::{Account, Full};
use crate::{Limits, Refused};

/// Smallest buffer of a body whose size is not known, in bytes.
const MIN_BUFFER_BYTES: usize = 1 << 10;

/// Receives a complete body.
///
/// # Errors
/// See [`Refused`]. A body that states a size above a limit is refused before any of it is read.
pub(crate) async fn receive(
    body: Incoming,
    limits: Limits,
    account: &Account,
) -> Result<Bytes, Refused> {
    tokio::select! {
        biased;
        () = account.reclaimed() => Err(Refused::NoMemory),
        received = timeout(limits.read_timeout, receive_all(body, limits, account)) => {
            received.unwrap_or(Err(Refused::TooSlow))
        }
    }
}

async fn receive_all(
    mut body: Incoming,
    limits: Limits,
    account: &Account,
) -> Result<Bytes, Refused> {
    let stated = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if stated > limits.max_body_bytes {
        return Err(Refused::TooLarge);
    }
    let mut buffer = Buffer { bytes: Vec::new(), max_bytes: limits.max_body_bytes, account };
    buffer.grow(stated)?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| match account.has_overflowed() {
            true => Refused::NoMemory,
            false => Refused::CutOff,
        })?;
        if let Some(data) = frame.data_ref() {
            buffer.push(data)?;
        }
    }
    Ok(buffer.bytes.into())
}

/// A body in contiguous memory. The chunks of a body are copied, as each keeps a whole read buffer alive.
struct Buffer<'a> {
    bytes: Vec<u8>,
    max_bytes: usize,
    account: &'a Account,
}

impl Buffer<'_> {
    fn push(&mut self, data: &[u8]) -> Result<(), Refused> {
        let needed = self.bytes.len() + data.len();
        if needed > self.max_bytes {
            return Err(Refused::TooLarge);
        }
        if needed > self.bytes.capacity() {
            let doubled = (2 * self.bytes.capacity()).max(MIN_BUFFER_BYTES);
            self.grow(doubled.min(self.max_bytes).max(needed))?;
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    fn grow(&mut self, capacity: usize) -> Result<(), Refused> {
        let extra = capacity - self.bytes.capacity();
        self.account.reserve(extra).map_err(|Full| Refused::NoMemory)?;
        self.bytes.reserve_exact(capacity - self.bytes.len());
        Ok(())
    }
}
