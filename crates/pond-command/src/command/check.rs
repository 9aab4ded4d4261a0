//! `pondbay check`.

use std::path::Path;

use pond_settings::{File, load};

use crate::{Call, Command, Error, Example, Exit, Output, Signature};

/// Validates a file.
pub struct Check;

impl Command for Check {
    fn name(&self) -> &'static str {
        "check"
    }

    fn signature(&self) -> Signature {
        Signature::new().with_arguments("FILE", 1, 1)
    }

    fn description(&self) -> &'static str {
        "Validates a settings, unit or installation file and reports all errors, each with line, \
         column and a suggested correction. Exit status 2 if the file is invalid."
    }

    fn examples(&self) -> Vec<Example> {
        vec![Example::new(
            "check examples/ledgerline.yaml",
            "Validate an installation file",
            "installation ledgerline",
        )]
    }

    fn run(&self, call: &Call, out: &mut Output<'_>) -> Result<Exit, Error> {
        let name = &call.arguments[0];
        let summary = match load(Path::new(name))? {
            File::Process(process) => format!("settings of {}", process.name),
            File::Installation(file) => {
                format!("installation {} with {} units", file.name, file.units.len())
            }
            File::Units(units) => format!("{} units", units.len()),
        };
        out.line(format!("{name}: {summary}: valid"))?;
        Ok(Exit::SUCCESS)
    }
}
