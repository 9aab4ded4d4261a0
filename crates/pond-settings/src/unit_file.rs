//! Unit files: services and jobs.

use std::collections::BTreeSet;

use pond_proto::{Job, Kind, Operator, Selector, Service, Size, Term, Unit};

use crate::reader::parsed;
use crate::{Error, File, Node, Reader};

/// Maximum duration in a unit file: 31 days, in seconds.
const MAX_SECONDS: u64 = 31 * 24 * 3600;

/// Default for the maximum number of concurrent requests per service and entry.
const DEFAULT_CONCURRENCY: u64 = 256;

/// Parses the text of a unit file.
///
/// # Errors
/// [`Error::Invalid`] with all findings, also if the file is of another kind.
pub fn parse(name: &str, text: &str) -> Result<Vec<Unit>, Error> {
    match crate::parse(name, text)? {
        File::Units(units) => Ok(units),
        _ => {
            let findings = crate::Findings::new(name);
            let help = "start it with 'units:'";
            findings.add(Default::default(), "this is not a unit file", help);
            Err(Error::invalid(findings))
        }
    }
}

/// Reads the key `units`.
pub(crate) fn read(reader: &Reader<'_>) -> Vec<Unit> {
    let mut names = BTreeSet::new();
    let mut units = Vec::new();
    for node in reader.required_list("units") {
        let unit = read_unit(node, reader);
        if !names.insert(unit.name.clone()) {
            let message = format!("duplicate unit '{}'", unit.name);
            reader.findings().add(node.position, message, "give each unit a unique name");
        }
        units.push(unit);
    }
    units
}

fn read_unit(node: &Node, parent: &Reader<'_>) -> Unit {
    let reader = Reader::new(node, parent.findings());
    let unit = Unit {
        name: reader.name("name"),
        kind: read_kind(&reader),
        labels: reader.string_map("labels").into_iter().collect(),
        size: reader.map("size").map(|map| read_size(&map)).unwrap_or_default(),
        priority: reader.signed_or("priority", -1000..=1000, 0) as i32,
        team: reader.optional_text("team").unwrap_or_else(|| "default".to_owned()),
        selector: read_selector(&reader, "selector").unwrap_or_default(),
        affinity: read_selector(&reader, "affinity"),
        anti_affinity: read_selector(&reader, "anti_affinity"),
        program: reader.text("program"),
    };
    reader.finish();
    unit
}

fn read_kind(reader: &Reader<'_>) -> Kind {
    let service = reader.optional_map("service");
    let job = reader.optional_map("job");
    match (service, job) {
        (Some(service), None) => Kind::Service(read_service(&service)),
        (None, Some(job)) => Kind::Job(read_job(&job)),
        _ => {
            let message = "a unit must be either a service or a job";
            reader.findings().add(reader.position(), message, "write one of 'service:' and 'job:'");
            Kind::Job(Job { run_ms: 0, deadline_ms: None, retries: 0 })
        }
    }
}

fn read_service(reader: &Reader<'_>) -> Service {
    let service = Service {
        replicas: reader.number("replicas", 0..=10_000) as u32,
        slots: reader.number_or("slots", 1..=1024, 8) as u32,
        connections: reader.number_or("connections", 1..=4096, 64) as u32,
        p99_ms: reader.optional_number("p99_ms", 1..=60_000).map(|ms| ms as u32),
        concurrency: reader.number_or("concurrency", 1..=65_536, DEFAULT_CONCURRENCY) as u32,
        rate: reader.number_or("rate", 0..=1_000_000, 0) as u32,
    };
    reader.finish();
    service
}

fn read_job(reader: &Reader<'_>) -> Job {
    let deadline = reader.optional_number("deadline_seconds", 1..=MAX_SECONDS);
    let job = Job {
        run_ms: reader.number("run_seconds", 1..=MAX_SECONDS) * 1000,
        deadline_ms: deadline.map(|seconds| seconds * 1000),
        retries: reader.number_or("retries", 0..=100, 3) as u32,
    };
    reader.finish();
    job
}

/// Reads `processors`, `memory_mib` and `accelerators`.
pub(crate) fn read_size(reader: &Reader<'_>) -> Size {
    let processors = reader.decimal_or("processors", 0.001..=1024.0, 1.0);
    let size = Size {
        milli_cpu: (processors * 1000.0).round() as u32,
        memory_mib: reader.number("memory_mib", 1..=16_777_216) as u32,
        accelerators: reader.number_or("accelerators", 0..=64, 0) as u32,
    };
    reader.finish();
    size
}

fn read_selector(reader: &Reader<'_>, key: &'static str) -> Option<Selector> {
    let node = reader.get(key)?;
    if matches!(node.value, crate::Value::Text(_)) {
        return parsed(reader, key, Selector::parse, "write key=value, key!=value, key or !key");
    }
    let terms = reader.list(key).iter().map(|node| read_term(node, reader)).collect();
    Some(Selector { terms })
}

fn read_term(node: &Node, parent: &Reader<'_>) -> Term {
    let reader = Reader::new(node, parent.findings());
    let operators = Operator::ALL.map(|operator| (operator.as_str(), operator));
    let term = Term {
        key: reader.text("key"),
        operator: reader.choice("operator", &operators),
        values: reader.strings("values"),
    };
    reader.finish();
    if term.operator.takes_values() == term.values.is_empty() {
        let message = format!("operator {} does not match its values", term.operator.as_str());
        let help = "give In and NotIn a list of values, Exists and DoesNotExist none";
        reader.findings().add(node.position, message, help);
    }
    term
}
