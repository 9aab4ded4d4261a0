//! `pondbay check`.

use std::path::Path;

use pond_settings::{File, load};

use crate::{Call, Command, Error, Example, Exit, Out, Signature};

/// Checks a file.
pub struct Check;

impl Command for Check {
    fn name(&self) -> &'static str {
        "check"
    }

    fn signature(&self) -> Signature {
        Signature::new().with_arguments("FILE", 1, 1)
    }

    fn description(&self) -> &'static str {
        "Checks a settings, unit or installation file and reports everything that is wrong with \
         it, each with line, column and what to write instead. Exit status 2 if anything is."
    }

    fn examples(&self) -> Vec<Example> {
        vec![Example::new(
            "check examples/ledgerline.yaml",
            "Check an installation",
            "installation ledgerline",
        )]
    }

    fn run(&self, call: &Call, out: &mut Out<'_>) -> Result<Exit, Error> {
        let name = &call.arguments[0];
        let what = match load(Path::new(name))? {
            File::Process(process) => format!("settings of {}", process.name),
            File::Installation(file) => {
                format!("installation {} with {} units", file.name, file.units.len())
            }
            File::Units(units) => format!("{} units", units.len()),
        };
        out.line(format!("{name}: {what}: well"))?;
        Ok(Exit::WELL)
    }
}
