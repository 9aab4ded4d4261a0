//! Why a link could not be opened or was lost.

use std::io;

use snafu::Snafu;

/// Why a link could not be opened or was lost.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The connection failed.
    #[snafu(display("the connection failed: {source}"))]
    Io {
        /// What the system said.
        source: io::Error,
    },
    /// The other end closed the connection.
    #[snafu(display("the other end closed the link"))]
    Closed,
    /// Nothing came in for too long.
    #[snafu(display("nothing was heard for {ms} ms"))]
    Silent {
        /// For how long.
        ms: u128,
    },
    /// A frame could not be read.
    #[snafu(display("a frame could not be read: {what}"))]
    BadFrame {
        /// Why.
        what: String,
    },
    /// The first frame was no hello.
    #[snafu(display("the first frame was no hello"))]
    NoHello,
    /// The other end speaks another version.
    #[snafu(display(
        "the other end speaks version {theirs}, this one {ours}; run the same release on both"
    ))]
    Version {
        /// The other end's.
        theirs: u32,
        /// This end's.
        ours: u32,
    },
    /// The other end shows another token.
    #[snafu(display("the other end shows another token; give both the same token_file"))]
    Token,
    /// There are as many links as the settings allow.
    #[snafu(display("there are {limit} links already"))]
    TooMany {
        /// The limit.
        limit: usize,
    },
}

impl From<io::Error> for Error {
    fn from(source: io::Error) -> Error {
        // The codec reports a frame over the limit as invalid data.
        if source.kind() == io::ErrorKind::InvalidData {
            return Error::BadFrame { what: source.to_string() };
        }
        Error::Io { source }
    }
}
