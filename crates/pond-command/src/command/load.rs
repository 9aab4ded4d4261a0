//! `pondbay load`.

use std::time::{Duration, Instant};

use pond_http::{Call as HttpCall, Client, Method};
use pond_load::{Broken, Plan, Report, Tally, Target, check, run, svg};
use serde::Serialize;

use crate::table::Table;
use crate::{Call, Command, Error, Example, Exit, Flag, Out, Signature};

/// Puts load on services and checks every answer.
pub struct Load;

/// What is printed for programs.
#[derive(Serialize)]
struct Printed<'a> {
    reports: &'a [Report],
    broken: Option<Broken>,
}

impl Command for Load {
    fn name(&self) -> &'static str {
        "load"
    }

    fn signature(&self) -> Signature {
        Signature::new()
            .with_arguments("SERVICE ...", 1, 64)
            .with_flag(Flag::value("entry", "ADDRESS", "entries, separated by commas"))
            .with_flag(Flag::value("direct", "ADDRESS", "compare with this endpoint itself"))
            .with_flag(Flag::value("record", "ADDRESS", "check against this record of runs"))
            .with_flag(Flag::value("rate", "N", "requests a second (else 100)"))
            .with_flag(Flag::value("seconds", "N", "for how long (else 10)"))
            .with_flag(Flag::value("repeatable", "PERCENT", "repeatable ones (else 50)"))
            .with_flag(Flag::value("keyed", "PERCENT", "of the others, with a key (else 50)"))
            .with_flag(Flag::value("deadline", "MS", "deadline of each (else 10000)"))
            .with_flag(Flag::value("svg", "FILE", "draw latencies into this file"))
            .with_flag(Flag::switch("json", "print JSON for programs"))
    }

    fn description(&self) -> &'static str {
        "Puts an open-loop load on services through entries: arrivals at random times that wait \
         for nobody, latency from the intended start. Checks that every answer is whole and to \
         its own request, and, with --record, that nothing ran that was called not run and \
         nothing ran twice that must not. Exit status 1 if a promise was broken."
    }

    fn examples(&self) -> Vec<Example> {
        vec![Example::new(
            "help load",
            "See the flags; `pondbay local` prints the addresses",
            "pondbay load",
        )]
    }

    fn run(&self, call: &Call, out: &mut Out<'_>) -> Result<Exit, Error> {
        let entry = call.value("entry").ok_or_else(|| call.usage("--entry is missing"))?;
        let entries = entry.split(',').map(|address| address.trim().to_owned()).collect();
        let plan = plan(call, Target::Entries(entries))?;
        let mut reports = Vec::new();
        if let Some(address) = call.value("direct") {
            let plan = Plan { target: Target::Endpoint(address.to_owned()), ..plan.clone() };
            reports.push(measure("direct", &plan)?.1);
        }
        let (tallies, report) = measure("pondbay", &plan)?;
        reports.push(report);
        let broken = match call.value("record") {
            Some(address) => Some(compare(&tallies, address)?),
            None => None,
        };
        if let Some(file) = call.value("svg") {
            std::fs::write(file, svg("latency by quantile", &reports))?;
        }
        print(call, &reports, broken, out)?;
        let wrong: usize = reports.iter().map(|report| report.wrong).sum();
        let broken = broken.map_or(wrong, |broken| broken.sum().max(wrong));
        Ok(if broken == 0 { Exit::WELL } else { Exit(1) })
    }
}

fn plan(call: &Call, target: Target) -> Result<Plan, Error> {
    let number = |name, default: u64| call.number(name).map(|number| number.unwrap_or(default));
    let percent = |name| {
        let percent = number(name, 50)?;
        if percent > 100 {
            return Err(call.usage(format!("--{name} is more than 100")));
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

fn measure(name: &str, plan: &Plan) -> Result<(Vec<Tally>, Report), Error> {
    let begun = Instant::now();
    let tallies = run(plan)?;
    let report = Report::new(name, &tallies, begun.elapsed());
    Ok((tallies, report))
}

/// Compares tallies with the record at an address.
pub fn compare(tallies: &[Tally], address: &str) -> Result<Broken, Error> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let call = HttpCall::new(Method::GET, "/v1/record", "");
    let client = Client::new().with_max_answer_bytes(1 << 30);
    let reply = runtime.block_on(client.call(address, call, Duration::from_secs(30)));
    let failed = |what: String| Error::Record { address: address.to_owned(), what };
    let reply = reply.map_err(|error| failed(error.to_string()))?;
    let text = String::from_utf8_lossy(&reply.body);
    check(tallies, &text).map_err(|error| failed(error.to_string()))
}

fn print(
    call: &Call,
    reports: &[Report],
    broken: Option<Broken>,
    out: &mut Out<'_>,
) -> Result<(), Error> {
    if call.switch("json") {
        return out.json(&Printed { reports, broken });
    }
    let mut table = Table::new(&Report::HEADINGS);
    reports.iter().for_each(|report| table.row(report.row()));
    table.lines().iter().try_for_each(|line| out.line(line))?;
    if let Some(broken) = broken {
        out.line(format!(
            "checked against the record: {} wrong, {} doubly run, {} run though told not run, {} \
             answered though not run",
            broken.wrong, broken.doubly_run, broken.not_run_but_ran, broken.answered_but_not_run
        ))?;
    }
    Ok(())
}
