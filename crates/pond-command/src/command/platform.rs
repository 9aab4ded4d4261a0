//! `pondbay platform`.

use std::path::Path;

use pond_adapter::settings::{Role, Settings};

use crate::{Call, Command, Error, Example, Exit, Flag, Output, Signature};

/// Runs a process on the users' platform.
pub struct Platform;

impl Command for Platform {
    fn name(&self) -> &'static str {
        "platform"
    }

    fn signature(&self) -> Signature {
        Signature::new().with_arguments("entry|agent|control", 1, 1).with_flag(Flag::value(
            "check",
            "FILE",
            "only validate a settings file of the platform",
        ))
    }

    fn description(&self) -> &'static str {
        "Runs a process on the users' platform, with the settings provided by the platform, until \
         SIGTERM."
    }

    fn examples(&self) -> Vec<Example> {
        vec![Example::new(
            "platform entry --check examples/settings/platform-entry.conf",
            "Validate a settings file of the platform",
            "settings of entry-north-1",
        )]
    }

    fn run(&self, call: &Call, out: &mut Output<'_>) -> Result<Exit, Error> {
        let role = match call.arguments.first().map(String::as_str) {
            Some("entry") => Role::Entry,
            Some("agent") => Role::Agent,
            Some("control") => Role::Control,
            _ => return Err(call.usage_error("the role must be entry, agent or control")),
        };
        if let Some(file) = call.value("check") {
            let settings = Settings::read(role, Path::new(file))?;
            out.line(format!("{file}: settings of {}", settings.machine))?;
            return Ok(Exit::SUCCESS);
        }
        pond_adapter::run(role)?;
        Ok(Exit::SUCCESS)
    }
}
