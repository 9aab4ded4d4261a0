//! `pondbay local`.

use std::path::{Path, PathBuf};

use pond_local::{Installation, Options};
use pond_proto::operator::{Accepted, ApplyOrder, Origin};
use pond_settings::{File, Installation as InstallationFile, Log, LogFormat, load};

use crate::{Call, Client, Command, Error, Example, Exit, Flag, Output, Signature, interrupt};

/// Runs a local installation in one process.
pub struct Local;

/// Default first port.
const DEFAULT_FIRST_PORT: u16 = 7400;

/// Number of consecutive ports that must be free to use the default first port.
const PORT_COUNT: u16 = 32;

impl Command for Local {
    fn name(&self) -> &'static str {
        "local"
    }

    fn signature(&self) -> Signature {
        Signature::new()
            .with_arguments("FILE", 1, 1)
            .with_flag(Flag::value(
                "data",
                "FOLDER",
                "folder for durable files (default: temporary)",
            ))
            .with_flag(Flag::value(
                "port",
                "PORT",
                "first port (default 7400 if available, else any free ports)",
            ))
            .with_flag(Flag::switch("quiet", "disable logging"))
            .with_flag(Flag::switch("json", "log in JSON"))
            .with_flag(Flag::switch("once", "stop once everything has started"))
    }

    fn description(&self) -> &'static str {
        "Runs a small but complete installation on loopback in this process, with stand-ins for \
         the platform, until Ctrl-C or SIGTERM."
    }

    fn examples(&self) -> Vec<Example> {
        vec![Example::new(
            "local --quiet --once --port 0 examples/found-property-matching.yaml",
            "Start an installation and stop it at once",
            "curl",
        )]
    }

    fn run(&self, call: &Call, out: &mut Output<'_>) -> Result<Exit, Error> {
        let name = &call.arguments[0];
        let File::Installation(file) = load(Path::new(name))? else {
            return Err(call.usage_error(format!("{name} is not an installation file")));
        };
        let options = options(call)?;
        let log = pond_log::start(options.log);
        let installation = Installation::start(&file, &options, log)?;
        let created = create_units(&file, &installation);
        print_addresses(&file, &installation, out)?;
        match created {
            Ok(accepted) => {
                out.line(format!("{} (version {})", accepted.what, accepted.version))?
            }
            Err(error) => {
                installation.stop();
                return Err(error);
            }
        }
        if !call.switch("once") {
            interrupt::wait()?;
        }
        out.line("stopping")?;
        installation.stop();
        out.line("stopped")?;
        Ok(Exit::SUCCESS)
    }
}

fn options(call: &Call) -> Result<Options, Error> {
    let format = match (call.switch("quiet"), call.switch("json")) {
        (true, _) => LogFormat::Silent,
        (false, true) => LogFormat::Json,
        (false, false) => LogFormat::Terminal,
    };
    let first_port = match call.number("port")? {
        Some(0) => None,
        Some(port) => Some(
            u16::try_from(port).map_err(|_| call.usage_error("--port must be at most 65535"))?,
        ),
        None => ports_free(DEFAULT_FIRST_PORT).then_some(DEFAULT_FIRST_PORT),
    };
    Ok(Options {
        data_folder: call.value("data").map(PathBuf::from),
        log: Log { format, debug: false },
        first_port,
    })
}

fn ports_free(first: u16) -> bool {
    let free = |port| std::net::TcpListener::bind(("127.0.0.1", port)).is_ok();
    (first..first + PORT_COUNT).all(free)
}

/// Creates the units of the file through the operators' API.
fn create_units(file: &InstallationFile, running: &Installation) -> Result<Accepted, Error> {
    let addresses = running.operator_addresses().iter().map(ToString::to_string).collect();
    let client = Client::new(addresses, None)?;
    // A fixed request identity: with a persistent data folder, a restart creates no units again.
    let request = format!("local-{}", file.name);
    let origin = Origin { who: "local".to_owned(), request, expect: None };
    client.post("/v1/units", &ApplyOrder { origin, units: file.units.clone() })
}

fn print_addresses(
    file: &InstallationFile,
    running: &Installation,
    out: &mut Output<'_>,
) -> Result<(), Error> {
    let join = |addresses: Vec<std::net::SocketAddr>| {
        addresses.iter().map(ToString::to_string).collect::<Vec<_>>().join(",")
    };
    let callers = running.caller_addresses();
    let operators = join(running.operator_addresses());
    out.line(format!("installation {}", file.name))?;
    out.line(format!("  callers:   {}", join(callers.clone())))?;
    out.line(format!("  operators: {operators}"))?;
    out.line(format!("  record of runs: http://{}/v1/record", running.record_address()))?;
    out.line(format!("\nshow its status:\n  pondbay status --control {operators}"))?;
    let service = file.units.iter().find(|unit| unit.service().is_some());
    if let (Some(service), Some(entry)) = (service, callers.first()) {
        out.line(format!(
            "call a service:\n  curl -i --retry 5 -d 'hello' -H 'Pondbay-Repeatable: yes' \
             http://{entry}/v1/services/{}\n",
            service.name
        ))?;
    }
    Ok(())
}
