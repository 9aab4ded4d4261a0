//! `pondbay status`.

use pond_proto::operator::Status as InstallationStatus;

use crate::{Call, Client, Command, Error, Example, Exit, Output, Signature};

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
        "Shows the control replicas, the configuration version and the number of processes where \
         it is in force, and counts of VMs and tasks."
    }

    fn examples(&self) -> Vec<Example> {
        vec![Example::with_control("status", "Show the status of the installation", "in force")]
    }

    fn run(&self, call: &Call, out: &mut Output<'_>) -> Result<Exit, Error> {
        let status: InstallationStatus = Client::from_call(call)?.get("/v1/status")?;
        if call.switch("json") {
            return out.json(&status).map(|()| Exit::SUCCESS);
        }
        status_lines(&status).iter().try_for_each(|line| out.line(line))?;
        Ok(Exit::SUCCESS)
    }
}

fn status_lines(status: &InstallationStatus) -> Vec<String> {
    let members: Vec<String> = status
        .members
        .iter()
        .map(|member| match (member.is_leader, member.voter) {
            (true, _) => format!("{} (leader)", member.name),
            (_, false) => format!("{} (learner)", member.name),
            _ => member.name.clone(),
        })
        .collect();
    let mut lines = vec![
        format!(
            "replica:       {}, term {}, commit {}",
            status.replica, status.term, status.commit
        ),
        format!("quorum:        {}", members.join(", ")),
        format!(
            "configuration: version {}, in force at {} of {} processes",
            status.version, status.in_force, status.followers
        ),
    ];
    for straggler in &status.stragglers {
        let version = straggler.version;
        lines.push(format!("  not yet at:  {} {}: {version}", straggler.role, straggler.name));
    }
    lines.push(format!("vms:           {} of {} accept work", status.vms_open, status.vms));
    lines.push(format!(
        "tasks:         {}, units with missing tasks: {}",
        status.tasks, status.incomplete_units
    ));
    lines.push(format!("claims kept:   {}", status.claims));
    lines.push(format!("state:         checksum {}", status.checksum));
    lines
}
