//! One call of a command.

use std::collections::BTreeMap;
use std::io::Write;

use crate::{Command, Error};

/// How a command ended; the exit status of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exit(pub i32);

impl Exit {
    /// All went well.
    pub const WELL: Exit = Exit(0);
}

/// Where a command prints.
pub struct Out<'a> {
    writer: &'a mut dyn Write,
}

impl<'a> Out<'a> {
    /// Prints to a writer.
    pub fn new(writer: &'a mut dyn Write) -> Out<'a> {
        Out { writer }
    }

    /// Prints a line.
    ///
    /// # Errors
    /// [`Error::Write`] if it cannot be written.
    pub fn line(&mut self, text: impl AsRef<str>) -> Result<(), Error> {
        writeln!(self.writer, "{}", text.as_ref())?;
        self.writer.flush()?;
        Ok(())
    }

    /// Prints a value as JSON.
    ///
    /// # Errors
    /// [`Error::Write`] if it cannot be written.
    pub fn json(&mut self, value: &impl serde::Serialize) -> Result<(), Error> {
        let text = serde_json::to_string_pretty(value).unwrap_or_default();
        self.line(text)
    }
}

/// The arguments and flags that a command was called with.
#[derive(Clone, Debug, Default)]
pub struct Call {
    command: &'static str,
    /// The arguments.
    pub arguments: Vec<String>,
    values: BTreeMap<String, String>,
    switches: Vec<String>,
}

impl Call {
    /// Reads the words after the command's name.
    ///
    /// # Errors
    /// [`Error::Usage`] if they do not fit its signature.
    pub fn read(command: &dyn Command, words: &[String]) -> Result<Call, Error> {
        let usage = |message: String| Error::Usage { command: command.name().to_owned(), message };
        let signature = command.signature();
        let mut options = getopts::Options::new();
        for flag in &signature.flags {
            match flag.value {
                Some(value) => options.optopt("", flag.name, flag.text, value),
                None => options.optflag("", flag.name, flag.text),
            };
        }
        let matches = options.parse(words).map_err(|error| usage(error.to_string()))?;
        let count = matches.free.len();
        if count < signature.least || count > signature.most {
            let wanted = signature.arguments;
            return Err(usage(match wanted {
                "" => format!("'{}' takes no arguments", command.name()),
                _ => format!("'{}' takes {wanted}", command.name()),
            }));
        }
        let mut call =
            Call { command: command.name(), arguments: matches.free.clone(), ..Call::default() };
        for flag in &signature.flags {
            if let Some(value) = flag.value.and_then(|_| matches.opt_str(flag.name)) {
                call.values.insert(flag.name.to_owned(), value);
            } else if matches.opt_present(flag.name) {
                call.switches.push(flag.name.to_owned());
            }
        }
        Ok(call)
    }

    /// The value of a flag.
    pub fn value(&self, name: &str) -> Option<&str> {
        self.values.get(name).map(String::as_str)
    }

    /// Whether a flag without value is there.
    pub fn switch(&self, name: &str) -> bool {
        self.switches.iter().any(|switch| switch == name)
    }

    /// The value of a flag as a number.
    ///
    /// # Errors
    /// [`Error::Usage`] if it is none.
    pub fn number(&self, name: &str) -> Result<Option<u64>, Error> {
        let Some(value) = self.value(name) else { return Ok(None) };
        let number = value.parse().map_err(|_| self.usage(format!("--{name} is '{value}'")))?;
        Ok(Some(number))
    }

    /// An error about this call.
    pub fn usage(&self, message: impl Into<String>) -> Error {
        Error::Usage { command: self.command.to_owned(), message: message.into() }
    }
}
