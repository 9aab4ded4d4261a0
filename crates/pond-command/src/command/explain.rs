//! `pondbay explain`.

use pond_proto::operator::{DecisionRow, UnitDetails};

use crate::{Call, Client, Command, Error, Example, Exit, Output, Signature};

/// Explains the placement of a unit, or why no VM can run it.
pub struct Explain;

impl Command for Explain {
    fn name(&self) -> &'static str {
        "explain"
    }

    fn signature(&self) -> Signature {
        Signature::new().with_arguments("UNIT", 1, 1).with_control_flags()
    }

    fn description(&self) -> &'static str {
        "Explains the placement of a unit, or why no VM can run it, from the recorded scheduling \
         decisions."
    }

    fn examples(&self) -> Vec<Example> {
        vec![
            Example::with_control(
                "explain counter-query",
                "Explain the placement of a service",
                "next best",
            ),
            Example::with_control(
                "explain too-large",
                "Explain why a unit cannot be placed",
                "none has",
            ),
        ]
    }

    fn run(&self, call: &Call, out: &mut Output<'_>) -> Result<Exit, Error> {
        let path = format!("/v1/units/{}", call.arguments[0]);
        let details: UnitDetails = Client::from_call(call)?.get(&path)?;
        if call.switch("json") {
            return out.json(&details.decisions).map(|()| Exit::SUCCESS);
        }
        out.line(summary(&details))?;
        for decision in &details.decisions {
            out.line(decision_line(decision))?;
            if let Some(next) = &decision.next_best {
                out.line(format!("      next best: {next}"))?;
            }
        }
        Ok(Exit::SUCCESS)
    }
}

fn summary(details: &UnitDetails) -> String {
    let name = &details.row.name;
    let placements: Vec<String> =
        details.tasks.iter().map(|task| format!("{} ({})", task.vm, task.phase)).collect();
    match (details.row.status.as_str(), placements.is_empty()) {
        (status, false) => format!("{name} is {status}: {}", placements.join(", ")),
        (status, true) => format!("{name} is {status} and has no running task"),
    }
}

fn decision_line(decision: &DecisionRow) -> String {
    let time = time_of_day(decision.at.0);
    let vm = decision.vm.as_ref().map_or(String::new(), |vm| format!(" on {vm}"));
    let task = decision.task.as_ref().map_or(String::new(), |task| format!(" {task}"));
    format!("  {time} {}{task}{vm}: {}", decision.action, decision.why)
}

/// Formats a Unix time in milliseconds as the UTC time of day, with milliseconds.
pub fn time_of_day(ms: u64) -> String {
    let seconds = ms / 1000;
    let (hours, minutes) = (seconds / 3600 % 24, seconds / 60 % 60);
    format!("{hours:02}:{minutes:02}:{:02}.{:03}Z", seconds % 60, ms % 1000)
}
