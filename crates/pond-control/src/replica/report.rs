//! The status for operators and the log events of changes.

use pond_log::event;
use pond_proto::operator::{MemberRow, Status};
use pond_state::Change;

use super::Replica;

impl Replica {
    pub(super) fn status(&self) -> Status {
        let leader = self.core.leader().map(|leader| leader.id);
        let members = self.core.members().list.iter().map(|member| MemberRow {
            name: member.name.clone(),
            voter: member.voter,
            is_leader: Some(member.id) == leader,
        });
        let version = self.state.version();
        let followers = self.publisher.followers();
        let follower_count = followers.len() as u32;
        let stragglers: Vec<_> =
            followers.into_iter().filter(|follower| follower.version < version).collect();
        Status {
            replica: self.parts.name.clone(),
            term: self.core.term(),
            commit: self.core.commit(),
            members: members.collect(),
            version,
            in_force: follower_count - stragglers.len() as u32,
            followers: follower_count,
            stragglers,
            vms_open: self.state.vms().filter(|vm| vm.open()).count() as u32,
            vms: self.state.vms().count() as u32,
            tasks: self.state.tasks().count() as u32,
            incomplete_units: self.state.incomplete_units().count() as u32,
            claims: self.state.claims().len() as u64,
            checksum: format!("{:08x}", self.state.checksum()),
        }
    }

    pub(super) fn log_change(&self, change: &Change) {
        let log = &self.parts.log;
        match change {
            Change::Place { unit, decision, .. } => event!(log, PLACED, "unit" => unit.clone(),
                "vm" => decision.vm.clone().unwrap_or_default(), "why" => decision.why.clone()),
            Change::SetAside { unit, decision, .. } => event!(log, SET_ASIDE,
                "unit" => unit.clone(), "why" => decision.why.clone()),
            Change::Steer { task, decision, .. } => {
                let unit = self.state.task(*task).map(|task| task.unit.clone());
                event!(log, STEERED, "unit" => unit.unwrap_or_default(),
                    "task" => task.to_string(), "action" => format!("{:?}", decision.action),
                    "why" => decision.why.clone());
            }
            Change::Warn { unit, decision, .. } => event!(log, DEADLINE_RISK,
                "unit" => unit.clone(), "why" => decision.why.clone()),
            Change::Started { task, .. } => {
                let unit = self.state.task(*task).map(|task| task.unit.clone());
                event!(log, TASK_STARTED, "unit" => unit.unwrap_or_default(),
                    "task" => task.to_string());
            }
            Change::Ended { task, end, .. } => {
                let unit = self.state.task(*task).map(|task| task.unit.clone());
                event!(log, TASK_ENDED, "unit" => unit.unwrap_or_default(),
                    "task" => task.to_string(), "how" => format!("{end:?}"));
            }
            Change::Judged { vm, liveness, why, .. } => {
                let name = self.state.vm(*vm).map(|record| record.vm.name.clone());
                event!(log, VM_LIVENESS_CHANGED, "vm" => name.unwrap_or_default(),
                    "liveness" => format!("{liveness:?}"), "why" => why.clone());
            }
            _ => {}
        }
    }
}
