//! TCP listeners.

use std::net::{SocketAddr, TcpListener};

use crate::Error;

/// Binds a non-blocking listener for use in an async runtime.
///
/// # Errors
/// [`Error::Listen`] if the address cannot be bound.
pub fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    let failed = |source| Error::Listen { address: address.to_string(), source };
    let listener = TcpListener::bind(address).map_err(failed)?;
    listener.set_nonblocking(true).map_err(failed)?;
    Ok(listener)
}
