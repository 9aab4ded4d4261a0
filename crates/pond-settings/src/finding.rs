//! Findings: what is wrong in a file, and where.

use std::cell::RefCell;
use std::fmt;

/// A place in a file; both counts start at 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// Line.
    pub line: usize,
    /// Column.
    pub column: usize,
}

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Where.
    pub place: Place,
    /// What is wrong.
    pub message: String,
    /// What to write instead.
    pub help: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Place { line, column } = self.place;
        write!(f, "{line}:{column}: {}; {}", self.message, self.help)
    }
}

/// All findings of one file, collected while it is read.
#[derive(Debug)]
pub struct Findings {
    file: String,
    list: RefCell<Vec<Finding>>,
}

impl Findings {
    /// No findings yet for the file of that name.
    pub fn new(file: &str) -> Findings {
        Findings { file: file.to_owned(), list: RefCell::default() }
    }

    /// Adds one.
    pub fn add(&self, place: Place, message: impl Into<String>, help: impl Into<String>) {
        let finding = Finding { place, message: message.into(), help: help.into() };
        self.list.borrow_mut().push(finding);
    }

    /// Whether nothing is wrong so far.
    pub fn is_empty(&self) -> bool {
        self.list.borrow().is_empty()
    }

    /// The file's name and the findings in the order of the file.
    pub fn into_parts(self) -> (String, Vec<Finding>) {
        let mut list = self.list.into_inner();
        list.sort_by_key(|finding| finding.place);
        (self.file, list)
    }
}
