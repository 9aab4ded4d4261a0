//! `pondbay control`, `pondbay entry` and `pondbay endpoint`.

use std::path::Path;
use std::time::Duration;

use pond_log::Logger;
use pond_settings::{File, Process, load};

use crate::{Call, Command, Error, Example, Exit, Flag, Output, Signature, interrupt};

/// Runs a control replica.
pub struct Control;

/// Runs an entry.
pub struct Entry;

/// Runs an endpoint process.
pub struct Endpoint;

/// Interval at which a control process checks whether its durable storage has failed.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(200);

fn signature() -> Signature {
    Signature::new().with_flag(Flag::value("settings", "FILE", "settings file"))
}

/// Reads the settings file of an invocation and starts the logger.
fn settings(call: &Call) -> Result<(Process, Logger), Error> {
    let file =
        call.value("settings").ok_or_else(|| call.usage_error("--settings FILE is missing"))?;
    match load(Path::new(file))? {
        File::Process(process) => {
            let log = pond_log::start(process.log).new(pond_log::process_name(&process.name));
            Ok((*process, log))
        }
        _ => Err(call.usage_error(format!("{file} is not a settings file of a process"))),
    }
}

impl Command for Control {
    fn name(&self) -> &'static str {
        "control"
    }

    fn signature(&self) -> Signature {
        signature()
    }

    fn description(&self) -> &'static str {
        "Runs a control replica until Ctrl-C or SIGTERM, then hands over leadership and stops."
    }

    fn examples(&self) -> Vec<Example> {
        vec![Example::new(
            "check examples/settings/control-1.yaml",
            "Check the settings, then run `pondbay control --settings` with them",
            "settings of control-1",
        )]
    }

    fn run(&self, call: &Call, _out: &mut Output<'_>) -> Result<Exit, Error> {
        let (settings, log) = settings(call)?;
        let process = pond_control::Process::start(&settings, log)?;
        let (sender, interrupted) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            let _ = sender.send(interrupt::wait());
        });
        while interrupted.recv_timeout(HEALTH_CHECK_INTERVAL).is_err() {
            if process.ended() {
                break;
            }
        }
        Ok(if process.stop() { Exit::SUCCESS } else { Exit(1) })
    }
}

impl Command for Entry {
    fn name(&self) -> &'static str {
        "entry"
    }

    fn signature(&self) -> Signature {
        signature()
    }

    fn description(&self) -> &'static str {
        "Runs an entry until Ctrl-C or SIGTERM, then finishes its requests and stops."
    }

    fn examples(&self) -> Vec<Example> {
        vec![Example::new(
            "check examples/settings/entry-1.yaml",
            "Check the settings, then run `pondbay entry --settings` with them",
            "settings of entry-1",
        )]
    }

    fn run(&self, call: &Call, _out: &mut Output<'_>) -> Result<Exit, Error> {
        let (settings, log) = settings(call)?;
        let process = pond_entry::Process::start(&settings, log)?;
        interrupt::wait()?;
        process.stop();
        Ok(Exit::SUCCESS)
    }
}

impl Command for Endpoint {
    fn name(&self) -> &'static str {
        "endpoint"
    }

    fn signature(&self) -> Signature {
        signature()
    }

    fn description(&self) -> &'static str {
        "Runs the endpoint process of a VM until Ctrl-C or SIGTERM, then refuses new requests, \
         finishes accepted ones and stops."
    }

    fn examples(&self) -> Vec<Example> {
        vec![Example::new(
            "check examples/settings/endpoint-1.yaml",
            "Check the settings, then run `pondbay endpoint --settings` with them",
            "settings of endpoint-matching-1",
        )]
    }

    fn run(&self, call: &Call, _out: &mut Output<'_>) -> Result<Exit, Error> {
        let (settings, log) = settings(call)?;
        let process = pond_endpoint::Process::start(&settings, log)?;
        interrupt::wait()?;
        process.stop();
        Ok(Exit::SUCCESS)
    }
}
