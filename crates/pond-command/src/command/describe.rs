//! `pondbay describe`.

use pond_proto::Kind;
use pond_proto::operator::{ResumeRow, UnitDetails};

use super::get::tasks;
use crate::{Call, Client, Command, Error, Example, Exit, Output, Signature};

/// Shows the description of a unit.
pub struct Describe;

impl Command for Describe {
    fn name(&self) -> &'static str {
        "describe"
    }

    fn signature(&self) -> Signature {
        Signature::new().with_arguments("UNIT", 1, 1).with_control_flags()
    }

    fn description(&self) -> &'static str {
        "Shows the specification of a unit and its tasks."
    }

    fn examples(&self) -> Vec<Example> {
        vec![Example::with_control("describe counter-query", "Show a service", "selector:")]
    }

    fn run(&self, call: &Call, out: &mut Output<'_>) -> Result<Exit, Error> {
        let path = format!("/v1/units/{}", call.arguments[0]);
        let details: UnitDetails = Client::from_call(call)?.get(&path)?;
        if call.switch("json") {
            return out.json(&details).map(|()| Exit::SUCCESS);
        }
        unit_lines(&details).iter().try_for_each(|line| out.line(line))?;
        tasks(&details.tasks).lines().iter().try_for_each(|line| out.line(line))?;
        Ok(Exit::SUCCESS)
    }
}

fn unit_lines(details: &UnitDetails) -> Vec<String> {
    let unit = &details.unit;
    let labels: Vec<String> =
        unit.labels.iter().map(|(key, value)| format!("{key}={value}")).collect();
    let kind = match &unit.kind {
        Kind::Service(service) => format!(
            "service: {} replicas, {} slots, {} connections",
            service.replicas, service.slots, service.connections
        ),
        Kind::Job(job) => format!("job: {} s, {} retries", job.run_ms / 1000, job.retries),
    };
    let optional = |selector: &Option<pond_proto::Selector>| {
        selector.as_ref().map_or("-".to_owned(), ToString::to_string)
    };
    let mut lines = vec![
        format!("unit:          {} (version {})", unit.name, details.row.version),
        format!("standing:      {}", details.row.status),
        kind,
        format!("size:          {}", unit.size),
        format!("priority:      {}, team {}", unit.priority, unit.team),
        format!("labels:        {}", labels.join(" ")),
        format!("selector:      {}", unit.selector),
        format!("affinity:      {}", optional(&unit.affinity)),
        format!("anti-affinity: {}", optional(&unit.anti_affinity)),
        format!("program:       {}", unit.program),
    ];
    if let Some(reason) = &details.reason {
        lines.push(format!("failed:        {reason}"));
    }
    if let Some(ResumeRow { attempt, checkpoint }) = details.resume {
        lines.push(format!("to resume:     run {attempt} from checkpoint {checkpoint}"));
    }
    lines.push(String::new());
    lines
}
