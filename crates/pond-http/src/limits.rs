//! Limits of a server, and refusals of requests that exceed them.

use std::time::Duration;

use http::StatusCode;

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of open connections. A further one closes another, in the order of [`crate::Budget`]; if
    /// none can be closed it waits.
    pub max_connections: usize,
    /// Longest time to receive the head of a request, and the same again for its body.
    pub read_timeout: Duration,
    /// Largest head of a request with the empty lines before it, in bytes; at least 8,192.
    pub max_head_bytes: usize,
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
    /// Size of the kernel's receive buffer of a connection, in bytes; the kernel doubles it for its own overhead. What
    /// has arrived and is not read takes memory, also of connections that were not accepted yet. A larger buffer
    /// lets a large body arrive faster over a long way.
    pub receive_buffer_bytes: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_connections: 4096,
            read_timeout: Duration::from_secs(10),
            max_head_bytes: 24 << 10,
            max_body_bytes: 1 << 20,
            receive_buffer_bytes: 16 << 10,
        }
    }
}

/// Why a request was refused before the handler saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// The body is too large.
    TooLarge,
    /// The body did not arrive in time.
    TooSlow,
    /// The body is incomplete.
    CutOff,
    /// There is no memory for the request.
    NoMemory,
}

impl Refused {
    /// Returns the HTTP status for the refusal.
    pub fn status(self) -> StatusCode {
        match self {
            Refused::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Refused::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Refused::CutOff => StatusCode::BAD_REQUEST,
            Refused::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}
