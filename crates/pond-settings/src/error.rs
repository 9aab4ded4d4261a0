//! Errors of reading a file.

use std::io;

use snafu::Snafu;

use crate::{Finding, Findings};

/// An unreadable or invalid file.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The file could not be read.
    #[snafu(display("{file}: cannot be read: {source}; give the path of a readable file"))]
    Read {
        /// Name of the file.
        file: String,
        /// Cause.
        source: io::Error,
    },
    /// The file is invalid.
    #[snafu(display("{}", render(file, findings)))]
    Invalid {
        /// Name of the file.
        file: String,
        /// All findings, in the order of the file.
        findings: Vec<Finding>,
    },
}

impl Error {
    pub(crate) fn read(file: &str, source: io::Error) -> Error {
        Error::Read { file: file.to_owned(), source }
    }

    pub(crate) fn invalid(findings: Findings) -> Error {
        let (file, findings) = findings.into_parts();
        Error::Invalid { file, findings }
    }

    /// Returns the findings of an invalid file, or none if it could not be read.
    pub fn findings(&self) -> &[Finding] {
        match self {
            Error::Read { .. } => &[],
            Error::Invalid { findings, .. } => findings,
        }
    }
}

fn render(file: &str, findings: &[Finding]) -> String {
    let lines: Vec<String> = findings.iter().map(|f| format!("{file}:{f}")).collect();
    lines.join("\n")
}
