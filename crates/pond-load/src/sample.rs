//! Requests and their outcomes.

use std::time::Duration;

use pond_http::{Error, Reply};

/// A planned request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Unique first line of the body.
    pub line: String,
    /// CRC-32C checksum of the body.
    pub crc: u32,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether it carries an idempotency key.
    pub keyed: bool,
}

/// Outcome of a request for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Complete answer to this request.
    Answered,
    /// Answer of an endpoint with a failure status.
    Failed,
    /// The request did not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The connection was refused, lost or timed out.
    Lost,
    /// The answer was invalid, incomplete or belonged to another request.
    Wrong,
}

/// A request with its outcome and latency.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The request.
    pub request: Request,
    /// Its outcome.
    pub outcome: Outcome,
    /// Time from the intended start to the end.
    pub latency: Duration,
    /// Intended start, relative to the start of the load.
    pub start: Duration,
}

/// Determines the outcome from an answer. A direct answer of an endpoint has no outcome header and
/// counts as answered.
pub fn classify(request: &Request, direct: bool, result: &Result<Reply, Error>) -> Outcome {
    let reply = match result {
        Ok(reply) => reply,
        Err(_) => return Outcome::Lost,
    };
    let outcome = if direct { Some("answered") } else { reply.header("pondbay-outcome") };
    match outcome {
        Some("answered") if !reply.status.is_success() => Outcome::Failed,
        Some("answered") if is_complete(request, reply) => Outcome::Answered,
        Some("not-run") => Outcome::NotRun,
        Some("unknown") => Outcome::Unknown,
        _ => Outcome::Wrong,
    }
}

/// Returns whether the body is the stand-in's complete answer to this request.
fn is_complete(request: &Request, reply: &Reply) -> bool {
    let text = String::from_utf8_lossy(&reply.body);
    let is_own_answer = text.starts_with(&format!("answer to {}\n", request.line));
    is_own_answer && text.ends_with(&format!("crc32c {:08x}\n", request.crc))
}
