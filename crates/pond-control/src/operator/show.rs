//! Converts the state to the rows that are shown to operators.

use pond_proto::operator::{
    DecisionRow, EvacuationRow, ResumeRow, TaskRow, UnitDetails, UnitRow, VmRow,
};
use pond_state::{Decision, Evacuation, Phase, Standing, State, Task, UnitRecord, VmRecord};

/// Returns the row of a unit.
pub fn unit_row(state: &State, record: &UnitRecord) -> UnitRow {
    let tasks = record.tasks.values().filter_map(|key| state.task(*key));
    let running = tasks.filter(|task| task.phase != Phase::Starting).count();
    let unit = &record.unit;
    UnitRow {
        name: unit.name.clone(),
        kind: if unit.service().is_some() { "service" } else { "job" }.to_owned(),
        team: unit.team.clone(),
        priority: unit.priority,
        status: status(record),
        running: running as u32,
        desired: if record.ended() { 0 } else { unit.replicas() },
        version: record.version,
    }
}

fn status(record: &UnitRecord) -> String {
    match &record.standing {
        Standing::Wanted if record.missing().next().is_some() => "waiting",
        Standing::Wanted => "placed",
        Standing::Aside { .. } => "set-aside",
        Standing::Done => "done",
        Standing::Failed { .. } => "failed",
        Standing::Cancelled => "cancelled",
    }
    .to_owned()
}

/// Returns the row of a task.
pub fn task_row(state: &State, task: &Task) -> TaskRow {
    let vm = state.vm(task.vm).map(|record| record.vm.name.clone());
    TaskRow {
        task: task.key.to_string(),
        unit: task.unit.clone(),
        replica: task.replica,
        attempt: task.attempt,
        vm: vm.unwrap_or_else(|| task.vm.to_string()),
        phase: phase(task.phase),
        resumed_from: task.resume_from,
    }
}

fn phase(phase: Phase) -> String {
    match phase {
        Phase::Slowed(share) => format!("slowed to {share}%"),
        other => format!("{other:?}").to_lowercase(),
    }
}

/// Returns the row of a VM.
pub fn vm_row(state: &State, record: &VmRecord) -> VmRow {
    VmRow {
        name: record.vm.name.clone(),
        labels: record.labels(),
        size: record.vm.size,
        taken: record.taken,
        liveness: format!("{:?}", record.liveness).to_lowercase(),
        drained: record.drained,
        evacuated: record.evacuated,
        tasks: state.tasks_on(record.key).count() as u32,
    }
}

/// Returns the rows of the evacuated data centres.
pub fn evacuation_rows(state: &State) -> Vec<EvacuationRow> {
    let row = |(name, evacuation): (&str, &Evacuation)| {
        let vms: Vec<&VmRecord> =
            state.vms().filter(|record| record.vm.data_centre() == name).collect();
        let tasks = vms.iter().map(|record| state.tasks_on(record.key).count() as u32).sum();
        EvacuationRow {
            data_centre: name.to_owned(),
            who: evacuation.who.clone(),
            since: evacuation.since,
            vms: vms.len() as u32,
            tasks,
        }
    };
    state.evacuations().map(row).collect()
}

fn decision_row(decision: &Decision) -> DecisionRow {
    DecisionRow {
        at: decision.at,
        action: format!("{:?}", decision.action),
        vm: decision.vm.clone(),
        task: decision.task.map(|task| task.to_string()),
        why: decision.why.clone(),
        next_best: decision.next_best.clone(),
    }
}

/// Returns the details of a unit.
pub fn unit_details(state: &State, name: &str) -> Option<UnitDetails> {
    let record = state.unit(name)?;
    let tasks = record.tasks.values().filter_map(|key| state.task(*key));
    let reason = match &record.standing {
        Standing::Failed { reason } => Some(reason.clone()),
        _ => None,
    };
    Some(UnitDetails {
        row: unit_row(state, record),
        unit: record.unit.clone(),
        reason,
        tasks: tasks.map(|task| task_row(state, task)).collect(),
        resume: record
            .resume
            .map(|resume| ResumeRow { attempt: resume.attempt, checkpoint: resume.checkpoint }),
        decisions: record.decisions.iter().map(decision_row).collect(),
    })
}
