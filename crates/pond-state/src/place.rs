//! The life cycle of tasks, from placement to end.

use pond_proto::{Span, TaskKey, VmKey};

use crate::change::End;
use crate::decision::{Action, Decision};
use crate::reply::{Refusal, Reply};
use crate::state::State;
use crate::task::{Phase, Task};
use crate::unit::{Resume, Standing};

/// Number of VMs a unit must fail on before the failures are attributed to the unit and not to the
/// VMs.
const VMS_TO_BLAME_UNIT: usize = 2;

/// Backoff after the first failure of a unit, in milliseconds; it doubles with each further
/// failure.
const BACKOFF_MS: Span = 1_000;

/// A task that is lost within this time after its start, in milliseconds, may have crashed its VM.
/// VMs that fail for other reasons usually run for days and not for seconds.
const EARLY_LOSS_MS: Span = 30_000;

/// The longest backoff after a failure, in milliseconds.
const MAX_BACKOFF_MS: Span = 300_000;

impl State {
    pub(crate) fn place(
        &mut self,
        name: &str,
        replica: u32,
        vm: VmKey,
        decision: Decision,
    ) -> Reply {
        if let Err(refusal) = self.check_placement(name, replica, vm) {
            return Reply::Refused(refusal);
        }
        let key = TaskKey(self.next_task);
        let (clock, next) = (self.clock, self.next_task + 1);
        let Some(record) = self.units.get_mut(name) else {
            return Reply::Refused(Refusal::NotNeeded);
        };
        let attempt = record.attempts.entry(replica).or_insert(0);
        *attempt += 1;
        let resume = record.resume.take();
        let task = Task {
            key,
            unit: name.to_owned(),
            replica,
            attempt: *attempt,
            vm,
            size: record.unit.size,
            phase: Phase::Starting,
            since: clock,
            started: None,
            resume_from: resume.map(|resume| resume.checkpoint),
            checkpoint: resume.map(|resume| resume.checkpoint),
            endpoint: None,
        };
        record.tasks.insert(replica, key);
        record.standing = Standing::Wanted;
        record.note(Decision { task: Some(key), ..decision });
        let (team, size) = (record.unit.team.clone(), record.unit.size);
        self.next_task = next;
        self.reserve_room(vm, &team, size);
        self.tasks.insert(key, task);
        self.by_vm.entry(vm).or_default().insert(key);
        self.refresh_wanting(name);
        Reply::Placed(key)
    }

    /// Checks the rules that every placement must meet, whoever proposes it.
    fn check_placement(&self, name: &str, replica: u32, vm: VmKey) -> Result<(), Refusal> {
        let record = self.units.get(name).ok_or(Refusal::NotNeeded)?;
        if !record.missing().any(|missing| missing == replica) {
            return Err(Refusal::NotNeeded);
        }
        let target = self.vms.get(&vm).filter(|target| target.open()).ok_or(Refusal::VmClosed)?;
        let size = record.unit.size;
        if !size.fits(target.free()) {
            return Err(Refusal::NoRoom);
        }
        let team = &record.unit.team;
        let after = self.used(team).plus(size);
        if self.quota(team).is_some_and(|quota| !after.fits(quota)) {
            return Err(Refusal::Quota);
        }
        Ok(())
    }

    fn reserve_room(&mut self, vm: VmKey, team: &str, size: pond_proto::Size) {
        if let Some(record) = self.vms.get_mut(&vm) {
            record.taken = record.taken.plus(size);
        }
        let used = self.used.entry(team.to_owned()).or_default();
        *used = used.plus(size);
    }

    fn release_room(&mut self, task: &Task) {
        if let Some(record) = self.vms.get_mut(&task.vm) {
            record.taken = record.taken.minus(task.size);
        }
        let team = self.units.get(&task.unit).map(|record| record.unit.team.clone());
        if let Some(used) = team.and_then(|team| self.used.get_mut(&team)) {
            *used = used.minus(task.size);
        }
        self.room += 1;
    }

    /// Updates the set of units that lack tasks.
    pub(crate) fn refresh_wanting(&mut self, name: &str) {
        let wants = self.units.get(name).is_some_and(|record| record.missing().next().is_some());
        if wants {
            self.incomplete_units.insert(name.to_owned());
        } else {
            self.incomplete_units.remove(name);
        }
    }

    pub(crate) fn set_aside(&mut self, name: &str, decision: Decision) -> Reply {
        let room = self.room;
        let Some(record) = self.units.get_mut(name) else { return Reply::Noted };
        if record.ended() {
            return Reply::Noted;
        }
        let already_noted = record.decisions.back().is_some_and(|last| last.why == decision.why);
        if !already_noted {
            record.note(decision);
        }
        record.standing = Standing::Aside { room };
        Reply::Noted
    }

    pub(crate) fn steer(&mut self, key: TaskKey, decision: Decision) -> Reply {
        let clock = self.clock;
        let Some(task) = self.tasks.get_mut(&key) else {
            return Reply::Refused(Refusal::NoTask);
        };
        let Some(record) = self.units.get_mut(&task.unit) else {
            return Reply::Refused(Refusal::NoTask);
        };
        let service = record.unit.service().is_some();
        let Some(phase) = next_phase(task.phase, &decision.action, service) else {
            return Reply::Refused(Refusal::WrongPhase);
        };
        task.phase = phase;
        task.since = clock;
        if decision.action == Action::Move {
            record.moves += 1;
        }
        record.note(Decision { task: Some(key), ..decision });
        if service {
            self.views.touch(vec![key], Vec::new());
        }
        Reply::Noted
    }

    pub(crate) fn started(&mut self, key: TaskKey, endpoint: Option<String>) -> Reply {
        let clock = self.clock;
        let Some(task) = self.tasks.get_mut(&key) else {
            return Reply::Refused(Refusal::NoTask);
        };
        task.started.get_or_insert(clock);
        task.endpoint = endpoint;
        if task.phase == Phase::Starting {
            task.phase = Phase::Running;
            task.since = clock;
        }
        if task.endpoint.is_some() {
            self.views.touch(vec![key], Vec::new());
        }
        Reply::Noted
    }

    pub(crate) fn checkpointed(&mut self, key: TaskKey, checkpoint: u64) -> Reply {
        if let Some(task) = self.tasks.get_mut(&key) {
            task.checkpoint = task.checkpoint.max(Some(checkpoint));
        }
        Reply::Noted
    }

    pub(crate) fn ended(&mut self, key: TaskKey, end: End) -> Reply {
        let Some(task) = self.tasks.remove(&key) else {
            // A repeated report of the same end has no effect.
            return Reply::Refused(Refusal::NoTask);
        };
        if let Some(keys) = self.by_vm.get_mut(&task.vm) {
            keys.remove(&key);
        }
        self.release_room(&task);
        self.attribute_failure(&task, &end);
        self.update_unit(&task, end);
        self.refresh_wanting(&task.unit);
        if task.endpoint.is_some() {
            self.views.touch(vec![key], Vec::new());
        }
        Reply::Noted
    }

    /// Attributes a failure to the VM or to the unit: on a faulty VM many units fail, and a faulty unit
    /// fails on several VMs.
    fn attribute_failure(&mut self, task: &Task, end: &End) {
        let clock = self.clock;
        if *end == End::Done
            && let Some(vm) = self.vms.get_mut(&task.vm)
        {
            vm.record_success();
        }
        if !matches!(end, End::Failed { .. } | End::Refused { .. }) {
            return;
        }
        let Some(record) = self.units.get_mut(&task.unit) else { return };
        record.failed_on.insert(task.vm);
        if record.failed_on.len() < VMS_TO_BLAME_UNIT {
            if let Some(vm) = self.vms.get_mut(&task.vm) {
                vm.record_failure(&task.unit, clock);
            }
            return;
        }
        // The unit fails on every VM, so its failures do not count against any of them.
        let failed_on = record.failed_on.clone();
        for key in failed_on {
            if let Some(vm) = self.vms.get_mut(&key) {
                vm.failed.remove(&task.unit);
            }
        }
    }

    /// Updates the unit of a task that ended.
    fn update_unit(&mut self, task: &Task, end: End) {
        let clock = self.clock;
        let Some(record) = self.units.get_mut(&task.unit) else { return };
        record.tasks.remove(&task.replica);
        let job = record.unit.job().map(|job| job.retries);
        if record.ended() {
            return;
        }
        if end == End::Lost {
            // A single early loss does not count against the unit: the replica is placed again at once.
            let early = task.started.is_none_or(|at| clock.since(at) < EARLY_LOSS_MS);
            record.losses = if early { record.losses + 1 } else { 0 };
            if record.losses > 1 {
                record.not_before = clock + backoff(record.losses - 1);
            }
        }
        match (end, job) {
            (End::Done, Some(_)) => record.standing = Standing::Done,
            (End::Stopped { checkpoint }, Some(_)) => {
                record.resume = Some(Resume { attempt: task.attempt, checkpoint });
            }
            (End::Lost, Some(_)) => {
                let checkpoint = task.checkpoint.unwrap_or(0);
                record.resume = Some(Resume { attempt: task.attempt, checkpoint });
            }
            (End::Refused { .. }, Some(_)) => {
                // The task never ran, so the unit still resumes from the same checkpoint.
                record.resume =
                    task.resume_from.map(|checkpoint| Resume { attempt: task.attempt, checkpoint });
                record.not_before = clock + BACKOFF_MS;
            }
            (End::Failed { reason }, Some(retries)) => {
                record.failures += 1;
                record.resume =
                    task.checkpoint.map(|checkpoint| Resume { attempt: task.attempt, checkpoint });
                record.not_before = clock + backoff(record.failures);
                if record.failures > retries {
                    record.standing = Standing::Failed { reason };
                }
            }
            (End::Failed { .. } | End::Done | End::Refused { .. }, None) => {
                record.failures += 1;
                record.not_before = clock + backoff(record.failures);
            }
            (_, None) => {}
        }
    }
}

fn backoff(failures: u32) -> Span {
    let doubled = BACKOFF_MS << failures.saturating_sub(1).min(20);
    doubled.min(MAX_BACKOFF_MS)
}

/// Returns the phase after an action, or `None` if the action is invalid in `phase`.
fn next_phase(phase: Phase, action: &Action, service: bool) -> Option<Phase> {
    let running = matches!(phase, Phase::Running | Phase::Slowed(_));
    match action {
        Action::Slow(share) if (running || phase == Phase::Paused) && !service => {
            Some(Phase::Slowed(*share))
        }
        Action::Pause if running && !service => Some(Phase::Paused),
        Action::Release if matches!(phase, Phase::Slowed(_) | Phase::Paused) => {
            Some(Phase::Running)
        }
        Action::Move if service && !phase.ending() => Some(Phase::Draining),
        Action::Move | Action::Stop if phase != Phase::Stopping => Some(Phase::Stopping),
        _ => None,
    }
}
