//! Processing of workers' answers.

use pond_platform::{Ending, LeaseAnswer, RefusalCode, StartAnswer, StopAnswer, TaskStatus};
use pond_proto::{Millis, Span, TaskKey, VmKey};
use pond_state::{Change, End, Phase, State};

use super::super::steps::{Answer, Call, CallResult};
use super::Reconciler;

/// Delay before the next call for a task after a failed one, in milliseconds.
const RETRY_MS: Span = 200;

/// A call that was answered.
struct AnsweredCall {
    vm: VmKey,
    call: Call,
    sent: Millis,
}

impl Reconciler {
    /// Processes the result of a call to a worker.
    pub fn call_ended(
        &mut self,
        state: &State,
        now: Millis,
        wall: Millis,
        call_result: CallResult,
    ) {
        if let Some(task) = call_result.call.task()
            && self.pending_calls.remove(&task).is_some()
            && let Some(count) = self.call_counts.get_mut(&call_result.vm)
        {
            *count = count.saturating_sub(1);
        }
        self.last_checked.remove(&call_result.vm);
        if matches!(call_result.call, Call::Lease(_)) {
            self.contact(call_result.vm).lease_call_pending = false;
        }
        match call_result.result {
            Ok(answer) => {
                let answered_call = AnsweredCall {
                    vm: call_result.vm,
                    call: call_result.call,
                    sent: call_result.sent,
                };
                self.answer(state, now, wall, answered_call, answer);
            }
            Err(error) => self.failed(state, now, wall, call_result.vm, call_result.call, error),
        }
    }

    fn answer(
        &mut self,
        state: &State,
        now: Millis,
        wall: Millis,
        answered_call: AnsweredCall,
        answer: Answer,
    ) {
        let AnsweredCall { vm, call, sent } = answered_call;
        match (call, answer) {
            (_, Answer::Lease(answer)) => self.lease_answered(now, vm, sent, answer),
            (Call::Start(task, _), Answer::Start(answer)) => {
                self.contact(vm).record_answer(now, None);
                self.started(state, wall, task, answer);
            }
            (Call::Stop(task, _), Answer::Stop(answer)) => {
                self.contact(vm).record_answer(now, None);
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
        self.contact(vm).record_answer(now, Some(answer.stamp));
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
        self.delayed_until.insert(task, now + RETRY_MS);
        let pond_platform::Error::Refused(refusal) = error else { return };
        match (&call, refusal.code) {
            (Call::Start(..), RefusalCode::Ended | RefusalCode::NoRoom) => {
                self.end(state, wall, task, End::Refused { reason: refusal.message });
            }
            (_, RefusalCode::StaleStamp) => self.contact(vm).last_lease_call = None,
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
            self.delayed_until.insert(task, now + RETRY_MS);
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
