//! Invocation of a command: arguments, output and exit status.

use std::collections::BTreeMap;
use std::io::Write;

use crate::{Command, Error};

/// Exit status of the process after a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exit(pub i32);

impl Exit {
    /// The command succeeded.
    pub const SUCCESS: Exit = Exit(0);
}

/// Output of a command.
pub struct Output<'a> {
    writer: &'a mut dyn Write,
}

impl<'a> Output<'a> {
    /// Creates an output that prints to `writer`.
    pub fn new(writer: &'a mut dyn Write) -> Output<'a> {
        Output { writer }
    }

    /// Prints a line and flushes.
    ///
    /// # Errors
    /// [`Error::Write`] if it cannot be written.
    pub fn line(&mut self, text: impl AsRef<str>) -> Result<(), Error> {
        writeln!(self.writer, "{}", text.as_ref())?;
        self.writer.flush()?;
        Ok(())
    }

    /// Prints a value as indented JSON.
    ///
    /// # Errors
    /// [`Error::Write`] if it cannot be written.
    pub fn json(&mut self, value: &impl serde::Serialize) -> Result<(), Error> {
        let text = serde_json::to_string_pretty(value).unwrap_or_default();
        self.line(text)
    }
}

/// Arguments and flags of an invocation.
#[derive(Clone, Debug, Default)]
pub struct Call {
    command: &'static str,
    /// Positional arguments.
    pub arguments: Vec<String>,
    values: BTreeMap<String, String>,
    switches: Vec<String>,
}

impl Call {
    /// Parses the arguments after the command name.
    ///
    /// # Errors
    /// [`Error::Usage`] if they do not match the command's signature.
    pub fn parse(command: &dyn Command, args: &[String]) -> Result<Call, Error> {
        let usage = |message: String| Error::Usage { command: command.name().to_owned(), message };
        let signature = command.signature();
        let mut options = getopts::Options::new();
        for flag in &signature.flags {
            match flag.value_name {
                Some(value_name) => options.optopt("", flag.name, flag.description, value_name),
                None => options.optflag("", flag.name, flag.description),
            };
        }
        let matches = options.parse(args).map_err(|error| usage(error.to_string()))?;
        let count = matches.free.len();
        if count < signature.min_arguments || count > signature.max_arguments {
            let expected = signature.arguments;
            return Err(usage(match expected {
                "" => format!("'{}' takes no arguments", command.name()),
                _ => format!("'{}' expects {expected}", command.name()),
            }));
        }
        let mut call =
            Call { command: command.name(), arguments: matches.free.clone(), ..Call::default() };
        for flag in &signature.flags {
            if let Some(value) = flag.value_name.and_then(|_| matches.opt_str(flag.name)) {
                call.values.insert(flag.name.to_owned(), value);
            } else if matches.opt_present(flag.name) {
                call.switches.push(flag.name.to_owned());
            }
        }
        Ok(call)
    }

    /// Returns the value of a flag.
    pub fn value(&self, name: &str) -> Option<&str> {
        self.values.get(name).map(String::as_str)
    }

    /// Returns whether a flag without value is set.
    pub fn switch(&self, name: &str) -> bool {
        self.switches.iter().any(|switch| switch == name)
    }

    /// Returns the value of a flag as a number.
    ///
    /// # Errors
    /// [`Error::Usage`] if the value is not a number.
    pub fn number(&self, name: &str) -> Result<Option<u64>, Error> {
        let Some(value) = self.value(name) else { return Ok(None) };
        let number = value.parse().map_err(|_| {
            self.usage_error(format!("--{name} must be a whole number, not '{value}'"))
        })?;
        Ok(Some(number))
    }

    /// Creates a usage error about this invocation.
    pub fn usage_error(&self, message: impl Into<String>) -> Error {
        Error::Usage { command: self.command.to_owned(), message: message.into() }
    }
}
