//! Starts an installation for tests and runs commands against it.
#![allow(dead_code)]

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use pond_command::{Client, Exit, Output, run};
use pond_local::{Installation, Options};
use pond_proto::operator::{Accepted, ApplyOrder, Origin};
use pond_settings::{File, Installation as InstallationFile, Log, LogFormat, load};

/// Maximum time to wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Returns the root folder of the repository.
pub fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// A running installation.
pub struct Running {
    pub installation: Installation,
    pub client: Client,
}

/// Reads an example installation and shortens its delays.
pub fn example(name: &str) -> InstallationFile {
    let path = root().join("examples").join(name);
    let File::Installation(mut file) = load(&path).expect("loads") else {
        panic!("{name} is not an installation file")
    };
    file.list_lag_ms = 100;
    file.usage_lag_ms = 500;
    file
}

/// Starts an installation on free ports.
pub fn start(file: &InstallationFile) -> Running {
    let log = Log { format: LogFormat::Silent, debug: false };
    let options = Options { log, ..Options::default() };
    let installation = Installation::start(file, &options, pond_log::silent()).expect("it starts");
    let addresses = installation.operator_addresses().iter().map(ToString::to_string).collect();
    let client = Client::new(addresses, None).expect("a client");
    let running = Running { installation, client };
    let request = "test-start".to_owned();
    let origin = Origin { who: "test".to_owned(), request, expect: None };
    let order = ApplyOrder { origin, units: file.units.clone() };
    running.client.post::<Accepted>("/v1/units", &order).expect("units are accepted");
    running
}

impl Running {
    /// Returns the operator addresses as the value of `--control`.
    pub fn control(&self) -> String {
        let addresses: Vec<String> =
            self.installation.operator_addresses().iter().map(ToString::to_string).collect();
        addresses.join(",")
    }

    /// Runs a command line against the installation.
    pub fn command(&self, line: &str) -> (Result<Exit, String>, String) {
        command(&format!("{line} --control {}", self.control()))
    }

    /// Waits until the output of a command contains a text, and returns the output.
    pub fn wait_for(&self, line: &str, text: &str) -> String {
        let started = Instant::now();
        loop {
            let (_, printed) = self.command(line);
            if printed.contains(text) {
                return printed;
            }
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "'{line}' never printed '{text}':\n{printed}"
            );
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

/// Runs a command line in the root folder of the repository. Returns its result and its output.
pub fn command(line: &str) -> (Result<Exit, String>, String) {
    std::env::set_current_dir(root()).expect("the repository is there");
    let args: Vec<String> = line.split_whitespace().map(str::to_owned).collect();
    let mut printed = Vec::new();
    let result = run(&args, &mut Output::new(&mut printed)).map_err(|error| error.to_string());
    (result, String::from_utf8_lossy(&printed).into_owned())
}

/// Waits until a condition holds.
pub fn until(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < WAIT_TIMEOUT, "timed out waiting until: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}
