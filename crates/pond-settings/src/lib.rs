//! Settings, unit and installation files in YAML.
//!
//! A file is parsed into a tree that keeps the position of every value, then read into typed
//! structs. All errors are reported together as findings, each with line, column, a message and a
//! suggested correction. An invalid file is rejected as a whole.

mod error;
mod finding;
mod installation;
mod process;
mod reader;
mod tree;
mod unit_file;

pub use error::Error;
pub use finding::{Finding, Findings};
pub use installation::{DataCentre, Installation, VmGroup};
pub use process::{
    Control, EndpointProcess, Entry, Lease, Limits, Listen, Log, LogFormat, Metrics, Process,
    Replica, Role,
};
pub use reader::Reader;
pub use tree::{Node, Value};
pub use unit_file::parse as parse_units;

use std::fs;
use std::path::Path;

use pond_proto::Unit;

/// A parsed file.
#[derive(Clone, Debug)]
pub enum File {
    /// Settings of a process.
    Process(Box<Process>),
    /// An installation for `pondbay local`.
    Installation(Installation),
    /// Units for `pondbay apply`.
    Units(Vec<Unit>),
}

/// Reads a file of any kind. The key `role`, `installation` or `units` determines the kind.
///
/// # Errors
/// [`Error::Read`] if the file cannot be read, [`Error::Invalid`] with all findings if it is invalid.
pub fn load(path: &Path) -> Result<File, Error> {
    let name = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|source| Error::read(&name, source))?;
    parse(&name, &text)
}

/// Parses the text of a file of any kind; `name` is the file name in the findings.
///
/// # Errors
/// [`Error::Invalid`] with all findings.
pub fn parse(name: &str, text: &str) -> Result<File, Error> {
    let findings = Findings::new(name);
    let Some(root) = tree::parse(text, &findings) else {
        return Err(Error::invalid(findings));
    };
    let reader = Reader::new(&root, &findings);
    let file = if reader.has("role") {
        File::Process(Box::new(process::read(&reader)))
    } else if reader.has("installation") {
        File::Installation(installation::read(&reader))
    } else if reader.has("units") {
        File::Units(unit_file::read(&reader))
    } else {
        findings.add(
            root.position,
            "this is not a pondbay file",
            "start it with 'role:' (settings), 'installation:' (local) or 'units:' (apply)",
        );
        return Err(Error::invalid(findings));
    };
    reader.finish();
    if findings.is_empty() { Ok(file) } else { Err(Error::invalid(findings)) }
}
