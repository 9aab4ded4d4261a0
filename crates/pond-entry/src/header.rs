//! The headers of the callers' contract.

use pond_http::Call;
use pond_proto::Span;

/// Names the request among resends.
pub const KEY: &str = "idempotency-key";

/// Whether the request may run more than once.
pub const REPEATABLE: &str = "pondbay-repeatable";

/// How long the caller waits, in milliseconds.
pub const DEADLINE: &str = "pondbay-deadline-ms";

/// What the answer promises.
pub const OUTCOME: &str = "pondbay-outcome";

/// The identity that the request had in pondbay, for logs.
pub const REQUEST: &str = "pondbay-request";

/// The longest key, in bytes.
const KEY_BYTES: usize = 256;

/// The longest deadline, in milliseconds.
const DEADLINE_LIMIT_MS: Span = 600_000;

/// What a caller asks for besides the body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wish {
    /// The service's name.
    pub service: String,
    /// The idempotency key; empty if there is none.
    pub key: String,
    /// It may run more than once.
    pub repeatable: bool,
    /// How long the caller waits, if it says so.
    pub deadline_ms: Option<Span>,
}

/// Reads path and headers.
///
/// # Errors
/// Everything that is wrong, one sentence each.
pub fn read(call: &Call) -> Result<Wish, Vec<String>> {
    let mut findings = Vec::new();
    let wish = Wish {
        service: read_service(call, &mut findings),
        key: read_key(call, &mut findings),
        repeatable: read_repeatable(call, &mut findings),
        deadline_ms: read_deadline(call, &mut findings),
    };
    if findings.is_empty() { Ok(wish) } else { Err(findings) }
}

fn read_service(call: &Call, findings: &mut Vec<String>) -> String {
    let path = call.path.split('?').next().unwrap_or_default();
    let name = path.strip_prefix("/v1/services/").unwrap_or_default();
    if name.is_empty() || name.contains('/') {
        findings.push("the path must be /v1/services/SERVICE".to_owned());
    }
    name.to_owned()
}

fn text<'a>(call: &'a Call, name: &str, findings: &mut Vec<String>) -> Option<&'a str> {
    let mut values = call.headers.get_all(name).iter();
    let first = values.next()?;
    if values.next().is_some() {
        findings.push(format!("{name} is there more than once"));
        return None;
    }
    let text = first.to_str().ok();
    if text.is_none() {
        findings.push(format!("{name} holds bytes that are not printable ASCII"));
    }
    text
}

fn read_key(call: &Call, findings: &mut Vec<String>) -> String {
    let Some(key) = text(call, KEY, findings) else { return String::new() };
    if key.is_empty() || key.len() > KEY_BYTES {
        findings.push(format!("{KEY} must have 1 to {KEY_BYTES} characters"));
    }
    key.to_owned()
}

fn read_repeatable(call: &Call, findings: &mut Vec<String>) -> bool {
    match text(call, REPEATABLE, findings) {
        None | Some("no") => false,
        Some("yes") => true,
        Some(other) => {
            findings.push(format!("{REPEATABLE} is '{other}'; write yes or no"));
            false
        }
    }
}

fn read_deadline(call: &Call, findings: &mut Vec<String>) -> Option<Span> {
    let value = text(call, DEADLINE, findings)?;
    let number = value.parse().ok().filter(|ms| (1..=DEADLINE_LIMIT_MS).contains(ms));
    if number.is_none() {
        let what = format!("{DEADLINE} is '{value}'; write a number from 1 to {DEADLINE_LIMIT_MS}");
        findings.push(what);
    }
    number
}
