//! Why a file could not be used.

use std::io;

use snafu::Snafu;

use crate::{Finding, Findings};

/// Why a file could not be used.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The file could not be read at all.
    #[snafu(display("{file}: cannot be read: {source}; give the path of a readable file"))]
    Read {
        /// The file.
        file: String,
        /// What the system said.
        source: io::Error,
    },
    /// The file was read and is wrong.
    #[snafu(display("{}", render(file, findings)))]
    Bad {
        /// The file.
        file: String,
        /// All that is wrong, in the order of the file.
        findings: Vec<Finding>,
    },
}

impl Error {
    pub(crate) fn read(file: &str, source: io::Error) -> Error {
        Error::Read { file: file.to_owned(), source }
    }

    pub(crate) fn bad(findings: Findings) -> Error {
        let (file, findings) = findings.into_parts();
        Error::Bad { file, findings }
    }

    /// The findings of a bad file.
    pub fn findings(&self) -> &[Finding] {
        match self {
            Error::Read { .. } => &[],
            Error::Bad { findings, .. } => findings,
        }
    }
}

fn render(file: &str, findings: &[Finding]) -> String {
    let lines: Vec<String> = findings.iter().map(|f| format!("{file}:{f}")).collect();
    lines.join("\n")
}
