//! Listeners.

use std::net::{SocketAddr, TcpListener};

use crate::Error;

/// A listener that a runtime can take over.
///
/// # Errors
/// [`Error::Listen`] with the address.
pub fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    let failed = |source| Error::Listen { address: address.to_string(), source };
    let listener = TcpListener::bind(address).map_err(failed)?;
    listener.set_nonblocking(true).map_err(failed)?;
    Ok(listener)
}
