//! What workers answered, and what follows from it.

use pond_platform::{Ending, LeaseAnswer, RefusalCode, StartAnswer, StopAnswer, TaskStatus};
use pond_proto::{Millis, Span, TaskKey, VmKey};
use pond_state::{Change, End, Phase, State};

use super::super::steps::{Answer, Call, Fact};
use super::Reconciler;

/// How long after a failed call to a task's worker the next one waits, in milliseconds.
const RETRY_MS: Span = 200;

/// A call that was answered.
struct Asked {
    vm: VmKey,
    call: Call,
    sent: Millis,
}

impl Reconciler {
    /// A call to a worker ended.
    pub fn fact(&mut self, state: &State, now: Millis, wall: Millis, fact: Fact) {
        if let Some(task) = fact.call.task()
            && self.calling.remove(&task).is_some()
            && let Some(calls) = self.calls.get_mut(&fact.vm)
        {
            *calls = calls.saturating_sub(1);
        }
        self.looked.remove(&fact.vm);
        if matches!(fact.call, Call::Lease(_)) {
            self.contact(fact.vm).asking = false;
        }
        match fact.result {
            Ok(answer) => {
                let asked = Asked { vm: fact.vm, call: fact.call, sent: fact.sent };
                self.answer(state, now, wall, asked, answer);
            }
            Err(error) => self.failed(state, now, wall, fact.vm, fact.call, error),
        }
    }

    fn answer(&mut self, state: &State, now: Millis, wall: Millis, asked: Asked, answer: Answer) {
        let Asked { vm, call, sent } = asked;
        match (call, answer) {
            (_, Answer::Lease(answer)) => self.lease_answered(now, vm, sent, answer),
            (Call::Start(task, _), Answer::Start(answer)) => {
                self.contact(vm).hear(now, None);
                self.started(state, wall, task, answer);
            }
            (Call::Stop(task, _), Answer::Stop(answer)) => {
                self.contact(vm).hear(now, None);
                self.stopped(state, now, wall, task, answer);
            }
            (Call::Checkpoint(task, _), Answer::Status(status)) => {
                self.checkpointed(state, task, &status);
                self.note_status(vm, status);
            }
            (_, Answer::Status(status)) => self.note_status(vm, status),
            _ => {}
        }
    }

    fn note_status(&mut self, vm: VmKey, status: TaskStatus) {
        if let Some((_, statuses)) = self.statuses.get_mut(&vm) {
            statuses.insert(status.task, status);
        }
    }

    fn lease_answered(&mut self, now: Millis, vm: VmKey, sent: Millis, answer: LeaseAnswer) {
        self.contact(vm).hear(now, Some(answer.stamp));
        let statuses = answer.tasks.into_iter().map(|status| (status.task, status)).collect();
        self.statuses.insert(vm, (sent, statuses));
    }

    fn failed(
        &mut self,
        state: &State,
        now: Millis,
        wall: Millis,
        vm: VmKey,
        call: Call,
        error: pond_platform::Error,
    ) {
        let Some(task) = call.task() else { return };
        self.wait.insert(task, now + RETRY_MS);
        let pond_platform::Error::Refused(refusal) = error else { return };
        match (&call, refusal.code) {
            (Call::Start(..), RefusalCode::Ended | RefusalCode::NoRoom) => {
                self.end(state, wall, task, End::Refused { reason: refusal.message });
            }
            (_, RefusalCode::StaleStamp) => self.contact(vm).asked = None,
            _ => {}
        }
    }

    fn started(&mut self, state: &State, wall: Millis, task: TaskKey, answer: StartAnswer) {
        let Some(known) = state.task(task) else { return };
        if known.phase == Phase::Starting {
            let endpoint = answer.status.endpoint;
            self.propose(task, Change::Started { at: wall, task, endpoint });
        }
    }

    fn checkpointed(&mut self, state: &State, task: TaskKey, status: &TaskStatus) {
        let known = state.task(task).map(|known| known.checkpoint);
        if let Some(checkpoint) = status.checkpoint.filter(|c| known.is_some_and(|k| k < Some(*c)))
        {
            self.propose(task, Change::Checkpointed { task, checkpoint });
        }
    }

    fn stopped(
        &mut self,
        state: &State,
        now: Millis,
        wall: Millis,
        task: TaskKey,
        answer: StopAnswer,
    ) {
        if !answer.stopped {
            self.wait.insert(task, now + RETRY_MS);
            return;
        }
        let Some(known) = state.task(task) else { return };
        let end = match answer.ending {
            Some(Ending::Done) => End::Done,
            Some(Ending::Failed(reason)) => End::Failed { reason },
            _ if known.phase == Phase::Stopping => {
                End::Stopped { checkpoint: answer.checkpoint.or(known.checkpoint).unwrap_or(0) }
            }
            _ => End::Lost,
        };
        self.end(state, wall, task, end);
    }
}
