//! `pondbay audit`.

use pond_proto::operator::Audit as Shown;

use super::explain::clock;
use crate::table::Table;
use crate::{Call, Client, Command, Error, Example, Exit, Flag, Out, Signature};

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
            "the newest N records (else 50)",
        ))
    }

    fn description(&self) -> &'static str {
        "Shows the newest records of the audit trail: who changed what, when, by which request, \
         and the version that it made."
    }

    fn examples(&self) -> Vec<Example> {
        vec![Example::with_control("audit --count 5", "The last five changes", "request")]
    }

    fn run(&self, call: &Call, out: &mut Out<'_>) -> Result<Exit, Error> {
        let count = call.number("count")?.unwrap_or(50);
        let path = format!("/v1/audit?count={count}");
        let shown: Shown = Client::from_call(call)?.get(&path)?;
        if call.switch("json") {
            return out.json(&shown).map(|()| Exit::WELL);
        }
        let mut table = Table::new(&["version", "at", "who", "request", "what"]);
        for record in shown.records {
            table.row(vec![
                record.version.to_string(),
                clock(record.at.0),
                record.who,
                record.request,
                record.what,
            ]);
        }
        table.lines().iter().try_for_each(|line| out.line(line))?;
        Ok(Exit::WELL)
    }
}
