//! Program texts of simulated tasks.

use std::collections::BTreeMap;

/// Parsed program text, such as `match seconds=20 noise=0.3`.
///
/// Parsing is lenient: missing and invalid values get a default.
#[derive(Clone, Debug, PartialEq)]
pub struct Program {
    /// Actual run time of a job at full speed, in milliseconds.
    pub run_ms: u64,
    /// Service time of a request on an undisturbed VM, in microseconds.
    pub service_us: u64,
    /// Slowdown of co-located services at full speed of the task: 1 doubles their service time.
    pub noise: f64,
    /// Actual resource usage as a fraction of the declared size.
    pub use_share: f64,
    /// Whether the task fails at its start.
    pub fails: bool,
}

impl Program {
    /// Parses a program text.
    pub fn parse(text: &str) -> Program {
        let words: BTreeMap<&str, &str> =
            text.split_whitespace().filter_map(|word| word.split_once('=')).collect();
        let number = |key: &str, default: f64| {
            words.get(key).and_then(|value| value.parse().ok()).unwrap_or(default)
        };
        Program {
            run_ms: (number("seconds", 10.0) * 1000.0) as u64,
            service_us: number("service_us", 1000.0) as u64,
            noise: number("noise", 0.0),
            use_share: number("use", 0.9),
            fails: words.get("fails") == Some(&"yes"),
        }
    }
}
