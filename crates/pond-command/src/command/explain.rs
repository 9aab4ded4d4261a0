//! `pondbay explain`.

use pond_proto::operator::{DecisionRow, UnitShown};

use crate::{Call, Client, Command, Error, Example, Exit, Out, Signature};

/// Explains why a unit runs where it runs, or why it can run nowhere.
pub struct Explain;

impl Command for Explain {
    fn name(&self) -> &'static str {
        "explain"
    }

    fn signature(&self) -> Signature {
        Signature::new().with_arguments("UNIT", 1, 1).with_control_flags()
    }

    fn description(&self) -> &'static str {
        "Explains why a unit runs where it runs, or why it can run nowhere, from the records of \
         the decisions on it."
    }

    fn examples(&self) -> Vec<Example> {
        vec![
            Example::with_control("explain counter-query", "Why does it run there?", "next best"),
            Example::with_control("explain too-large", "Why can it run nowhere?", "none has"),
        ]
    }

    fn run(&self, call: &Call, out: &mut Out<'_>) -> Result<Exit, Error> {
        let path = format!("/v1/units/{}", call.arguments[0]);
        let shown: UnitShown = Client::from_call(call)?.get(&path)?;
        if call.switch("json") {
            return out.json(&shown.decisions).map(|()| Exit::WELL);
        }
        out.line(summary(&shown))?;
        for decision in &shown.decisions {
            out.line(line(decision))?;
            if let Some(next) = &decision.next_best {
                out.line(format!("      next best: {next}"))?;
            }
        }
        Ok(Exit::WELL)
    }
}

fn summary(shown: &UnitShown) -> String {
    let name = &shown.row.name;
    let places: Vec<String> =
        shown.tasks.iter().map(|task| format!("{} ({})", task.vm, task.phase)).collect();
    match (shown.row.standing.as_str(), places.is_empty()) {
        (standing, false) => format!("{name} is {standing}: {}", places.join(", ")),
        (standing, true) => format!("{name} is {standing} and runs nowhere now"),
    }
}

fn line(decision: &DecisionRow) -> String {
    let time = clock(decision.at.0);
    let vm = decision.vm.as_ref().map_or(String::new(), |vm| format!(" on {vm}"));
    let task = decision.task.as_ref().map_or(String::new(), |task| format!(" {task}"));
    format!("  {time} {}{task}{vm}: {}", decision.action, decision.why)
}

/// Hours, minutes, seconds and milliseconds of the day, in UTC.
pub fn clock(ms: u64) -> String {
    let seconds = ms / 1000;
    let (hours, minutes) = (seconds / 3600 % 24, seconds / 60 % 60);
    format!("{hours:02}:{minutes:02}:{:02}.{:03}Z", seconds % 60, ms % 1000)
}
