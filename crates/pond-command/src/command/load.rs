//! `pondbay load`.

use std::time::{Duration, Instant};

use pond_http::{Call as HttpCall, Client, Method};
use pond_load::{Plan, Report, Sample, Target, Violations, check, run, svg};
use serde::Serialize;

use crate::table::Table;
use crate::{Call, Command, Error, Example, Exit, Flag, Output, Signature};

/// Generates load on services and verifies every answer.
pub struct Load;

/// Output of `--json`.
#[derive(Serialize)]
struct JsonOutput<'a> {
    reports: &'a [Report],
    #[serde(rename = "broken")]
    violations: Option<Violations>,
}

impl Command for Load {
    fn name(&self) -> &'static str {
        "load"
    }

    fn signature(&self) -> Signature {
        Signature::new()
            .with_arguments("SERVICE ...", 1, 64)
            .with_flag(Flag::value("entry", "ADDRESS", "entry addresses, separated by commas"))
            .with_flag(Flag::value(
                "direct",
                "ADDRESS",
                "compare with direct requests to this endpoint",
            ))
            .with_flag(Flag::value(
                "record",
                "ADDRESS",
                "verify against the record of runs at this address",
            ))
            .with_flag(Flag::value("rate", "N", "requests per second (default 100)"))
            .with_flag(Flag::value("seconds", "N", "duration in seconds (default 10)"))
            .with_flag(Flag::value(
                "repeatable",
                "PERCENT",
                "share of repeatable requests (default 50)",
            ))
            .with_flag(Flag::value(
                "keyed",
                "PERCENT",
                "share of requests with an idempotency key among the others (default 50)",
            ))
            .with_flag(Flag::value("deadline", "MS", "deadline of each request (default 10000)"))
            .with_flag(Flag::value("svg", "FILE", "write a latency plot to this file"))
            .with_flag(Flag::switch("json", "print JSON"))
    }

    fn description(&self) -> &'static str {
        "Generates open-loop load on services through entries: arrivals at random times do not \
         wait for answers, and latency counts from the intended start. Verifies that every answer \
         is complete and belongs to its request and, with --record, that no request ran that was \
         reported as not run and no non-repeatable request ran twice. Exit status 1 if a \
         guarantee was violated."
    }

    fn examples(&self) -> Vec<Example> {
        vec![Example::new(
            "help load",
            "Show the flags; `pondbay local` prints the addresses",
            "pondbay load",
        )]
    }

    fn run(&self, call: &Call, out: &mut Output<'_>) -> Result<Exit, Error> {
        let entry =
            call.value("entry").ok_or_else(|| call.usage_error("--entry ADDRESS is required"))?;
        let entries = entry.split(',').map(|address| address.trim().to_owned()).collect();
        let plan = plan(call, Target::Entries(entries))?;
        let mut reports = Vec::new();
        if let Some(address) = call.value("direct") {
            let plan = Plan { target: Target::Endpoint(address.to_owned()), ..plan.clone() };
            reports.push(measure("direct", &plan)?.1);
        }
        let (samples, report) = measure("pondbay", &plan)?;
        reports.push(report);
        let violations = match call.value("record") {
            Some(address) => Some(verify(&samples, address)?),
            None => None,
        };
        if let Some(file) = call.value("svg") {
            std::fs::write(file, svg("latency by quantile", &reports))?;
        }
        print(call, &reports, violations, out)?;
        let wrong: usize = reports.iter().map(|report| report.wrong).sum();
        let violations = violations.map_or(wrong, |violations| violations.sum().max(wrong));
        Ok(if violations == 0 { Exit::SUCCESS } else { Exit(1) })
    }
}

fn plan(call: &Call, target: Target) -> Result<Plan, Error> {
    let number = |name, default: u64| call.number(name).map(|number| number.unwrap_or(default));
    let percent = |name| {
        let percent = number(name, 50)?;
        if percent > 100 {
            return Err(call.usage_error(format!("--{name} must be at most 100")));
        }
        Ok(percent as f64 / 100.0)
    };
    let time = Duration::from_secs(number("seconds", 10)?.max(1));
    let rate = number("rate", 100)?.max(1) as f64;
    let mut plan = Plan::new(target, "", rate, time)
        .with_shares(percent("repeatable")?, percent("keyed")?)
        .with_deadline_ms(number("deadline", 10_000)?);
    plan.services = call.arguments.clone();
    Ok(plan)
}

fn measure(name: &str, plan: &Plan) -> Result<(Vec<Sample>, Report), Error> {
    let started = Instant::now();
    let samples = run(plan)?;
    let report = Report::new(name, &samples, started.elapsed());
    Ok((samples, report))
}

/// Verifies samples against the record at an address.
///
/// # Errors
/// [`Error::Record`] if the record cannot be read.
pub fn verify(samples: &[Sample], address: &str) -> Result<Violations, Error> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let call = HttpCall::new(Method::GET, "/v1/record", "");
    let client = Client::new().with_max_answer_bytes(1 << 30);
    let reply = runtime.block_on(client.call(address, call, Duration::from_secs(30)));
    let failed = |reason: String| Error::Record { address: address.to_owned(), reason };
    let reply = reply.map_err(|error| failed(error.to_string()))?;
    let text = String::from_utf8_lossy(&reply.body);
    check(samples, &text).map_err(|error| failed(error.to_string()))
}

fn print(
    call: &Call,
    reports: &[Report],
    violations: Option<Violations>,
    out: &mut Output<'_>,
) -> Result<(), Error> {
    if call.switch("json") {
        return out.json(&JsonOutput { reports, violations });
    }
    let mut table = Table::new(&Report::HEADINGS);
    reports.iter().for_each(|report| table.row(report.row()));
    table.lines().iter().try_for_each(|line| out.line(line))?;
    if let Some(violations) = violations {
        out.line(format!(
            "checked against the record: {} wrong, {} doubly run, {} run although reported not \
             run, {} answered although not run",
            violations.wrong,
            violations.doubly_run,
            violations.not_run_but_ran,
            violations.answered_but_not_run
        ))?;
    }
    Ok(())
}
