//! `pondbay control`, `pondbay entry` and `pondbay endpoint`.

use std::path::Path;
use std::time::Duration;

use pond_log::Logger;
use pond_settings::{File, Process, load};

use crate::{Call, Command, Error, Example, Exit, Flag, Out, Signature, interrupt};

/// Runs a control replica.
pub struct Control;

/// Runs an entry.
pub struct Entry;

/// Runs an endpoint process.
pub struct Endpoint;

/// How often a control process looks whether its files have failed.
const WATCH: Duration = Duration::from_millis(200);

fn signature() -> Signature {
    Signature::new().with_flag(Flag::value("settings", "FILE", "its settings"))
}

/// Reads the settings that a call names, and starts the log.
fn settings(call: &Call) -> Result<(Process, Logger), Error> {
    let file = call.value("settings").ok_or_else(|| call.usage("--settings FILE is missing"))?;
    match load(Path::new(file))? {
        File::Process(process) => {
            let log = pond_log::start(process.log).new(pond_log::name(&process.name));
            Ok((*process, log))
        }
        _ => Err(call.usage(format!("{file} holds no settings of a process"))),
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
        "Runs a control replica until Ctrl-C or SIGTERM, then hands over the lead and stops."
    }

    fn examples(&self) -> Vec<Example> {
        vec![Example::new(
            "check examples/settings/control-1.yaml",
            "Check the settings, then run `pondbay control --settings` with them",
            "settings of control-1",
        )]
    }

    fn run(&self, call: &Call, _out: &mut Out<'_>) -> Result<Exit, Error> {
        let (settings, log) = settings(call)?;
        let process = pond_control::Process::start(&settings, log)?;
        let (told, interrupted) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            let _ = told.send(interrupt::wait());
        });
        while interrupted.recv_timeout(WATCH).is_err() {
            if process.ended() {
                break;
            }
        }
        Ok(if process.stop() { Exit::WELL } else { Exit(1) })
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
        "Runs an entry until Ctrl-C or SIGTERM, then finishes the requests that it has and stops."
    }

    fn examples(&self) -> Vec<Example> {
        vec![Example::new(
            "check examples/settings/entry-1.yaml",
            "Check the settings, then run `pondbay entry --settings` with them",
            "settings of entry-1",
        )]
    }

    fn run(&self, call: &Call, _out: &mut Out<'_>) -> Result<Exit, Error> {
        let (settings, log) = settings(call)?;
        let process = pond_entry::Process::start(&settings, log)?;
        interrupt::wait()?;
        process.stop();
        Ok(Exit::WELL)
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
        "Runs the process beside the endpoints of a VM until Ctrl-C or SIGTERM, then refuses new \
         requests, finishes those that it has and stops."
    }

    fn examples(&self) -> Vec<Example> {
        vec![Example::new(
            "check examples/settings/endpoint-1.yaml",
            "Check the settings, then run `pondbay endpoint --settings` with them",
            "settings of endpoint-matching-1",
        )]
    }

    fn run(&self, call: &Call, _out: &mut Out<'_>) -> Result<Exit, Error> {
        let (settings, log) = settings(call)?;
        let process = pond_endpoint::Process::start(&settings, log)?;
        interrupt::wait()?;
        process.stop();
        Ok(Exit::WELL)
    }
}
