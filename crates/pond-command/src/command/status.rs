//! `pondbay status`.

use pond_proto::operator::Status as Shown;

use crate::{Call, Client, Command, Error, Example, Exit, Out, Signature};

/// Shows the state of the installation.
pub struct Status;

impl Command for Status {
    fn name(&self) -> &'static str {
        "status"
    }

    fn signature(&self) -> Signature {
        Signature::new().with_control_flags()
    }

    fn description(&self) -> &'static str {
        "Shows the control replicas, the version of the configuration and in how many processes \
         it is in force, and a few counts."
    }

    fn examples(&self) -> Vec<Example> {
        vec![Example::with_control("status", "Look at the installation", "in force")]
    }

    fn run(&self, call: &Call, out: &mut Out<'_>) -> Result<Exit, Error> {
        let shown: Shown = Client::from_call(call)?.get("/v1/status")?;
        if call.switch("json") {
            return out.json(&shown).map(|()| Exit::WELL);
        }
        lines(&shown).iter().try_for_each(|line| out.line(line))?;
        Ok(Exit::WELL)
    }
}

fn lines(shown: &Shown) -> Vec<String> {
    let members: Vec<String> = shown
        .members
        .iter()
        .map(|member| match (member.leads, member.voter) {
            (true, _) => format!("{} (leads)", member.name),
            (_, false) => format!("{} (learns)", member.name),
            _ => member.name.clone(),
        })
        .collect();
    let mut lines = vec![
        format!("replica:       {}, term {}, commit {}", shown.replica, shown.term, shown.commit),
        format!("quorum:        {}", members.join(", ")),
        format!(
            "configuration: version {}, in force at {} of {} processes",
            shown.version, shown.in_force, shown.told
        ),
    ];
    for straggler in &shown.stragglers {
        let version = straggler.version;
        lines.push(format!("  not yet at:  {} {}: {version}", straggler.role, straggler.name));
    }
    lines.push(format!("vms:           {} of {} take work", shown.vms_open, shown.vms));
    lines.push(format!("tasks:         {}, units that lack tasks: {}", shown.tasks, shown.wanting));
    lines.push(format!("claims kept:   {}", shown.claims));
    lines.push(format!("state:         checksum {}", shown.checksum));
    lines
}
