//! HTTP headers and path of callers' requests.

use pond_http::Call;
use pond_proto::Span;

/// Idempotency key: the same for a request and its resends.
pub const KEY: &str = "idempotency-key";

/// Whether the request may run more than once: `yes` or `no`.
pub const REPEATABLE: &str = "pondbay-repeatable";

/// How long the caller waits, in milliseconds.
pub const DEADLINE: &str = "pondbay-deadline-ms";

/// Outcome of the request: answered, not run or unknown.
pub const OUTCOME: &str = "pondbay-outcome";

/// ID of the request within pondbay, for logs.
pub const REQUEST: &str = "pondbay-request";

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Longest deadline, in milliseconds.
const MAX_DEADLINE_MS: Span = 600_000;

/// Path and header values of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Name of the service.
    pub service: String,
    /// Idempotency key; empty if there is none.
    pub key: String,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// How long the caller waits, in milliseconds, if given.
    pub deadline_ms: Option<Span>,
}

/// Parses the path and headers of a request.
///
/// # Errors
/// All errors found, one sentence each.
pub fn parse(call: &Call) -> Result<Options, Vec<String>> {
    let mut errors = Vec::new();
    let options = Options {
        service: read_service(call, &mut errors),
        key: read_key(call, &mut errors),
        repeatable: read_repeatable(call, &mut errors),
        deadline_ms: read_deadline(call, &mut errors),
    };
    if errors.is_empty() { Ok(options) } else { Err(errors) }
}

fn read_service(call: &Call, errors: &mut Vec<String>) -> String {
    let path = call.path.split('?').next().unwrap_or_default();
    let name = path.strip_prefix("/v1/services/").unwrap_or_default();
    if name.is_empty() || name.contains('/') {
        errors.push("the path must be /v1/services/SERVICE".to_owned());
    }
    name.to_owned()
}

fn text<'a>(call: &'a Call, name: &str, errors: &mut Vec<String>) -> Option<&'a str> {
    let mut values = call.headers.get_all(name).iter();
    let first = values.next()?;
    if values.next().is_some() {
        errors.push(format!("{name} is there more than once"));
        return None;
    }
    let text = first.to_str().ok();
    if text.is_none() {
        errors.push(format!("{name} holds bytes that are not printable ASCII"));
    }
    text
}

fn read_key(call: &Call, errors: &mut Vec<String>) -> String {
    let Some(key) = text(call, KEY, errors) else { return String::new() };
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        errors.push(format!("{KEY} must have 1 to {MAX_KEY_BYTES} characters"));
    }
    key.to_owned()
}

fn read_repeatable(call: &Call, errors: &mut Vec<String>) -> bool {
    match text(call, REPEATABLE, errors) {
        None | Some("no") => false,
        Some("yes") => true,
        Some(other) => {
            errors.push(format!("{REPEATABLE} is '{other}'; write yes or no"));
            false
        }
    }
}

fn read_deadline(call: &Call, errors: &mut Vec<String>) -> Option<Span> {
    let value = text(call, DEADLINE, errors)?;
    let number = value.parse().ok().filter(|ms| (1..=MAX_DEADLINE_MS).contains(ms));
    if number.is_none() {
        let message =
            format!("{DEADLINE} is '{value}'; write a number from 1 to {MAX_DEADLINE_MS}");
        errors.push(message);
    }
    number
}
