//! Errors of links.

use std::io;

use snafu::Snafu;

/// Reason why a link could not be opened or was lost.
#[derive(Debug, Snafu)]
pub enum Error {
    /// An I/O error of the connection.
    #[snafu(display("connection failed: {source}"))]
    Io {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The peer closed the connection.
    #[snafu(display("peer closed the link"))]
    Closed,
    /// No frame was received within the silence timeout.
    #[snafu(display("no frame received for {ms} ms"))]
    Silent {
        /// Timeout in milliseconds.
        ms: u128,
    },
    /// A frame could not be decoded.
    #[snafu(display("invalid frame: {reason}"))]
    BadFrame {
        /// What is invalid about it.
        reason: String,
    },
    /// The first frame was not a hello.
    #[snafu(display("first frame was not a hello"))]
    NoHello,
    /// The peer uses another protocol version.
    #[snafu(display(
        "peer uses protocol version {theirs}, this process {ours}; run the same release on both"
    ))]
    Version {
        /// Version of the peer.
        theirs: u32,
        /// Version of this process.
        ours: u32,
    },
    /// The peer presented another token.
    #[snafu(display("peer presented another token; configure the same token_file on both ends"))]
    Token,
    /// The maximum number of links is open already.
    #[snafu(display("limit of {limit} open links reached"))]
    TooMany {
        /// Maximum number of open links.
        limit: usize,
    },
}

impl From<io::Error> for Error {
    fn from(source: io::Error) -> Error {
        // The codec reports a frame above the size limit as `InvalidData`.
        if source.kind() == io::ErrorKind::InvalidData {
            return Error::BadFrame { reason: source.to_string() };
        }
        Error::Io { source }
    }
}
