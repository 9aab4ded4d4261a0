//! `pondbay get`.

use pond_proto::operator::{EvacuationRow, TaskRow, UnitRow, VmRow};

use crate::table::Table;
use crate::{Call, Client, Command, Error, Example, Exit, Output, Signature};

/// Lists units, tasks, VMs or evacuated data centres.
pub struct Get;

impl Command for Get {
    fn name(&self) -> &'static str {
        "get"
    }

    fn signature(&self) -> Signature {
        Signature::new().with_arguments("units|tasks|vms|evacuations", 1, 1).with_control_flags()
    }

    fn description(&self) -> &'static str {
        "Lists units, tasks, VMs or evacuated data centres."
    }

    fn examples(&self) -> Vec<Example> {
        vec![
            Example::with_control("get units", "List units", "standing"),
            Example::with_control("get vms", "List VMs", "data-centre="),
            Example::with_control("get tasks --json", "List tasks as JSON", "["),
        ]
    }

    fn run(&self, call: &Call, out: &mut Output<'_>) -> Result<Exit, Error> {
        let client = Client::from_call(call)?;
        let table = match call.arguments[0].as_str() {
            "units" => {
                let rows: Vec<UnitRow> = client.get("/v1/units")?;
                if call.switch("json") {
                    return out.json(&rows).map(|()| Exit::SUCCESS);
                }
                units(&rows)
            }
            "tasks" => {
                let rows: Vec<TaskRow> = client.get("/v1/tasks")?;
                if call.switch("json") {
                    return out.json(&rows).map(|()| Exit::SUCCESS);
                }
                tasks(&rows)
            }
            "vms" => {
                let rows: Vec<VmRow> = client.get("/v1/vms")?;
                if call.switch("json") {
                    return out.json(&rows).map(|()| Exit::SUCCESS);
                }
                vms(&rows)
            }
            "evacuations" => {
                let rows: Vec<EvacuationRow> = client.get("/v1/evacuations")?;
                if call.switch("json") {
                    return out.json(&rows).map(|()| Exit::SUCCESS);
                }
                evacuations(&rows)
            }
            other => return Err(call.usage_error(format!("cannot list '{other}'"))),
        };
        table.lines().iter().try_for_each(|line| out.line(line))?;
        Ok(Exit::SUCCESS)
    }
}

fn units(rows: &[UnitRow]) -> Table {
    let mut table =
        Table::new(&["unit", "kind", "team", "priority", "standing", "running", "version"]);
    for row in rows {
        table.row(vec![
            row.name.clone(),
            row.kind.clone(),
            row.team.clone(),
            row.priority.to_string(),
            row.status.clone(),
            format!("{}/{}", row.running, row.desired),
            row.version.to_string(),
        ]);
    }
    table
}

/// Formats tasks as a table.
pub fn tasks(rows: &[TaskRow]) -> Table {
    let mut table = Table::new(&["task", "unit", "replica", "attempt", "vm", "phase", "resumed"]);
    for row in rows {
        table.row(vec![
            row.task.clone(),
            row.unit.clone(),
            row.replica.to_string(),
            row.attempt.to_string(),
            row.vm.clone(),
            row.phase.clone(),
            row.resumed_from.map_or("-".to_owned(), |from| format!("from {from}")),
        ]);
    }
    table
}

fn evacuations(rows: &[EvacuationRow]) -> Table {
    let mut table = Table::new(&["data centre", "by", "since ms", "vms", "tasks"]);
    for row in rows {
        table.row(vec![
            row.data_centre.clone(),
            row.who.clone(),
            row.since.0.to_string(),
            row.vms.to_string(),
            row.tasks.to_string(),
        ]);
    }
    table
}

fn vms(rows: &[VmRow]) -> Table {
    let mut table = Table::new(&["vm", "liveness", "tasks", "taken", "size", "labels"]);
    for row in rows {
        let labels: Vec<String> =
            row.labels.iter().map(|(key, value)| format!("{key}={value}")).collect();
        let drained = if row.drained { ", drained" } else { "" };
        let evacuated = if row.evacuated { ", evacuated" } else { "" };
        table.row(vec![
            row.name.clone(),
            format!("{}{drained}{evacuated}", row.liveness),
            row.tasks.to_string(),
            row.taken.to_string(),
            row.size.to_string(),
            labels.join(" "),
        ]);
    }
    table
}
