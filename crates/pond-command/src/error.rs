//! Errors of commands.

use snafu::Snafu;

/// An error of a command.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The command line is invalid.
    #[snafu(display("{message}\nsee `pondbay help {command}`"))]
    Usage {
        /// Name of the command.
        command: String,
        /// Description of the error.
        message: String,
    },
    /// A file is unreadable or invalid.
    #[snafu(display("{source}"))]
    File {
        /// Cause, with all findings.
        source: pond_settings::Error,
    },
    /// A process could not be started.
    #[snafu(display("{source}"))]
    Process {
        /// Cause.
        source: pond_process::Error,
    },
    /// A platform process could not run.
    #[snafu(display("{source}"))]
    Platform {
        /// Cause.
        source: pond_adapter::Error,
    },
    /// Control refused the request.
    #[snafu(display("refused ({code}): {message}"))]
    Refused {
        /// HTTP status.
        status: u16,
        /// Error code.
        code: String,
        /// Explanation.
        message: String,
    },
    /// No leading control replica answered.
    #[snafu(display(
        "no control replica answered: {reason}\ngive its operator address with --control or in \
         PONDBAY_CONTROL"
    ))]
    ControlUnreachable {
        /// Last failure.
        reason: String,
    },
    /// The record of runs could not be read.
    #[snafu(display("{address}: the record of runs cannot be read: {reason}"))]
    Record {
        /// Address of the record.
        address: String,
        /// Cause.
        reason: String,
    },
    /// Output could not be written.
    #[snafu(display("cannot write output: {source}"))]
    Write {
        /// Cause.
        source: std::io::Error,
    },
}

impl Error {
    /// Returns the exit status: 2 for errors in the user's input, 1 otherwise.
    pub fn status(&self) -> i32 {
        match self {
            Error::Usage { .. } | Error::File { .. } => 2,
            Error::Platform { source } if source.in_settings() => 2,
            _ => 1,
        }
    }
}

impl From<pond_settings::Error> for Error {
    fn from(source: pond_settings::Error) -> Error {
        Error::File { source }
    }
}

impl From<pond_process::Error> for Error {
    fn from(source: pond_process::Error) -> Error {
        Error::Process { source }
    }
}

impl From<std::io::Error> for Error {
    fn from(source: std::io::Error) -> Error {
        Error::Write { source }
    }
}

impl From<pond_adapter::Error> for Error {
    fn from(source: pond_adapter::Error) -> Error {
        Error::Platform { source }
    }
}
