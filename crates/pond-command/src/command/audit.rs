//! `pondbay audit`.

use pond_proto::operator::Audit as AuditTrail;

use super::explain::time_of_day;
use crate::table::Table;
use crate::{Call, Client, Command, Error, Example, Exit, Flag, Output, Signature};

/// Shows the audit trail.
pub struct Audit;

impl Command for Audit {
    fn name(&self) -> &'static str {
        "audit"
    }

    fn signature(&self) -> Signature {
        Signature::new().with_control_flags().with_flag(Flag::value(
            "count",
            "N",
            "number of newest records to show (default 50)",
        ))
    }

    fn description(&self) -> &'static str {
        "Shows the newest records of the audit trail: who changed what and when, the request \
         identity, and the resulting version."
    }

    fn examples(&self) -> Vec<Example> {
        vec![Example::with_control("audit --count 5", "Show the last five changes", "request")]
    }

    fn run(&self, call: &Call, out: &mut Output<'_>) -> Result<Exit, Error> {
        let count = call.number("count")?.unwrap_or(50);
        let path = format!("/v1/audit?count={count}");
        let trail: AuditTrail = Client::from_call(call)?.get(&path)?;
        if call.switch("json") {
            return out.json(&trail).map(|()| Exit::SUCCESS);
        }
        let mut table = Table::new(&["version", "at", "who", "request", "what"]);
        for record in trail.records {
            table.row(vec![
                record.version.to_string(),
                time_of_day(record.at.0),
                record.who,
                record.request,
                record.what,
            ]);
        }
        table.lines().iter().try_for_each(|line| out.line(line))?;
        Ok(Exit::SUCCESS)
    }
}
