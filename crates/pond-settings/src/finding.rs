//! Findings: errors in a file with their positions.

use std::cell::RefCell;
use std::fmt;

/// A position in a file. Lines and columns are counted from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Line.
    pub line: usize,
    /// Column.
    pub column: usize,
}

/// An error in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Position of the error.
    pub position: Position,
    /// Description of the error.
    pub message: String,
    /// Suggested correction.
    pub help: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Position { line, column } = self.position;
        write!(f, "{line}:{column}: {}; {}", self.message, self.help)
    }
}

/// Collects the findings of a file while it is read.
#[derive(Debug)]
pub struct Findings {
    file: String,
    list: RefCell<Vec<Finding>>,
}

impl Findings {
    /// Creates an empty collection for the named file.
    pub fn new(file: &str) -> Findings {
        Findings { file: file.to_owned(), list: RefCell::default() }
    }

    /// Adds a finding.
    pub fn add(&self, position: Position, message: impl Into<String>, help: impl Into<String>) {
        let finding = Finding { position, message: message.into(), help: help.into() };
        self.list.borrow_mut().push(finding);
    }

    /// Returns whether no finding has been added.
    pub fn is_empty(&self) -> bool {
        self.list.borrow().is_empty()
    }

    /// Returns the file name and the findings in the order of the file.
    pub fn into_parts(self) -> (String, Vec<Finding>) {
        let mut list = self.list.into_inner();
        list.sort_by_key(|finding| finding.position);
        (self.file, list)
    }
}
