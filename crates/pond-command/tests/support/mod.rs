//! A running installation for tests, and commands against it.
#![allow(dead_code)]

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use pond_command::{Client, Exit, Out, run};
use pond_local::{Installation, Options};
use pond_proto::operator::{Accepted, ApplyOrder, Origin};
use pond_settings::{File, Installation as InstallationFile, Log, LogFormat, load};

/// How long a condition is waited for before a test gives up.
const PATIENCE: Duration = Duration::from_secs(60);

/// The folder of the repository.
pub fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// A running installation.
pub struct Running {
    pub installation: Installation,
    pub client: Client,
}

/// Reads an example installation, with its lags made short.
pub fn example(name: &str) -> InstallationFile {
    let path = root().join("examples").join(name);
    let File::Installation(mut file) = load(&path).expect("loads") else {
        panic!("{name} holds no installation")
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
    let addresses = installation.operators().iter().map(ToString::to_string).collect();
    let client = Client::new(addresses, None).expect("a client");
    let running = Running { installation, client };
    let request = "test-start".to_owned();
    let origin = Origin { who: "test".to_owned(), request, expect: None };
    let order = ApplyOrder { origin, units: file.units.clone() };
    running.client.post::<Accepted>("/v1/units", &order).expect("units are accepted");
    running
}

impl Running {
    /// The operators' addresses as the flag of a command.
    pub fn control(&self) -> String {
        let addresses: Vec<String> =
            self.installation.operators().iter().map(ToString::to_string).collect();
        addresses.join(",")
    }

    /// Runs a command line against the installation.
    pub fn command(&self, line: &str) -> (Result<Exit, String>, String) {
        command(&format!("{line} --control {}", self.control()))
    }

    /// Waits until a command's output holds a text.
    pub fn wait_for(&self, line: &str, text: &str) -> String {
        let begun = Instant::now();
        loop {
            let (_, printed) = self.command(line);
            if printed.contains(text) {
                return printed;
            }
            assert!(begun.elapsed() < PATIENCE, "'{line}' never printed '{text}':\n{printed}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

/// Runs a command line in the folder of the repository.
pub fn command(line: &str) -> (Result<Exit, String>, String) {
    std::env::set_current_dir(root()).expect("the repository is there");
    let words: Vec<String> = line.split_whitespace().map(str::to_owned).collect();
    let mut printed = Vec::new();
    let result = run(&words, &mut Out::new(&mut printed)).map_err(|error| error.to_string());
    (result, String::from_utf8_lossy(&printed).into_owned())
}

/// Waits until a condition holds.
pub fn until(what: &str, condition: impl Fn() -> bool) {
    let begun = Instant::now();
    while !condition() {
        assert!(begun.elapsed() < PATIENCE, "it never came to this: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}
