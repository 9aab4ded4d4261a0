//! `pondbay version`.

use crate::{Call, Command, Error, Example, Exit, Output, Signature};

/// Prints the version.
pub struct Version;

impl Command for Version {
    fn name(&self) -> &'static str {
        "version"
    }

    fn signature(&self) -> Signature {
        Signature::new()
    }

    fn description(&self) -> &'static str {
        "Prints the program version."
    }

    fn examples(&self) -> Vec<Example> {
        vec![Example::new("version", "Show the version", "pondbay ")]
    }

    fn run(&self, _call: &Call, out: &mut Output<'_>) -> Result<Exit, Error> {
        out.line(format!("pondbay {}", env!("CARGO_PKG_VERSION")))?;
        Ok(Exit::SUCCESS)
    }
}
