//! The program texts that the stand-ins understand.

use std::collections::BTreeMap;

/// A program text such as `match seconds=20 noise=0.3`, read leniently: what is missing has a
/// default.
#[derive(Clone, Debug, PartialEq)]
pub struct Program {
    /// How long a job really runs at full speed, in milliseconds.
    pub run_ms: u64,
    /// How long a request takes on an undisturbed VM, in microseconds.
    pub service_us: u64,
    /// How much it slows services on its VM: 1 doubles their time at full speed.
    pub noise: f64,
    /// How much of its processors it really uses, as a share of its declared size.
    pub use_share: f64,
    /// It fails at its start.
    pub fails: bool,
}

impl Program {
    /// Reads a program text.
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
