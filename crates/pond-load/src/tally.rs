//! What became of each request.

use std::time::Duration;

use pond_http::{Error, Reply};

/// One request as it was planned.
#[derive(Clone, Debug)]
pub struct Asked {
    /// The first line of its body; unique.
    pub line: String,
    /// The checksum of its body.
    pub crc: u32,
    /// It may run more than once.
    pub repeatable: bool,
    /// It carries an idempotency key.
    pub keyed: bool,
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The whole answer to this request.
    Answered,
    /// An endpoint's answer with a failure status.
    Failed,
    /// It did not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// Nothing listened, or the connection broke.
    Lost,
    /// The body was not the answer to this request.
    Wrong,
}

/// One request and its end.
#[derive(Clone, Debug)]
pub struct Tally {
    /// What was asked.
    pub asked: Asked,
    /// How it ended.
    pub ended: Ended,
    /// From its intended start to its end.
    pub latency: Duration,
    /// Its intended start, from the start of the run.
    pub start: Duration,
}

/// Judges an answer.
pub fn judge(asked: &Asked, direct: bool, result: &Result<Reply, Error>) -> Ended {
    let reply = match result {
        Ok(reply) => reply,
        Err(_) => return Ended::Lost,
    };
    let outcome = if direct { Some("answered") } else { reply.header("pondbay-outcome") };
    match outcome {
        Some("answered") if !reply.status.is_success() => Ended::Failed,
        Some("answered") if whole(asked, reply) => Ended::Answered,
        Some("not-run") => Ended::NotRun,
        Some("unknown") => Ended::Unknown,
        _ => Ended::Wrong,
    }
}

/// Whether a body is the stand-in's whole answer to this request.
fn whole(asked: &Asked, reply: &Reply) -> bool {
    let text = String::from_utf8_lossy(&reply.body);
    let begins = text.starts_with(&format!("answer to {}\n", asked.line));
    begins && text.ends_with(&format!("crc32c {:08x}\n", asked.crc))
}
