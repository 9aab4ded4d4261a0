//! Work that nothing but a guess keeps waiting is tried after a while, one task at a time.
//!
//! What is learned of harm and what serving tasks are taken to use may be wrong, and loads change.
//! Without a bound a job whose image is taken to disturb everywhere would wait for ever with most
//! of the room free, as on two of 45 days without this. The trials cost no worth that can be seen
//! (+0.000, standard error 0.002) and some time of serving tasks over their targets (160 instead of
//! 144 s a day, mean of 45 days).

use pond_proto::job::{RunName, TaskName};
use pond_proto::{Millis, Span};

use super::candidate::Candidate;
use super::ready::Ready;
use super::wait::{Obstacle, Obstacles};
use super::{Decision, Leader, Output};
use crate::change::Start;
use crate::job::Task;
use crate::state::State;

/// Room is plenty while more than this share of it is free, in percent: platforms count it as plenty
/// from a half on, and what is free wavers by some percent.
const PLENTY_PERCENT: u64 = 40;

/// Tasks on a worker that are being tried at most: more of them would tell nothing new.
const MOST_TRIED: usize = 2;

/// A job of which nothing runs waits this long for a guess while room is plenty, in milliseconds:
/// below the three seconds that platforms bear, by some plans and a commit.
const PATIENCE_MS: Span = 2_000;

/// The same while room is scarce, in milliseconds: then waiting is the rule and a trial takes from
/// others; this is a bound and no more.
const LONG_PATIENCE_MS: Span = 20_000;

impl Leader {
    /// Starts one task of each job of which nothing runs and that has waited too long, where it is
    /// expected to disturb least; at most two such tasks on a worker. The agent there slows it down
    /// if it does harm after all.
    pub(super) fn try_overdue(
        &mut self,
        state: &State,
        now: Millis,
        blocked: &[(&Ready<'_>, Obstacles)],
        candidates: &mut [Candidate],
        starts: &mut Vec<Start>,
    ) {
        self.tried.retain(|run| is_placed(state, *run));
        let patience = if plenty(candidates) { PATIENCE_MS } else { LONG_PATIENCE_MS };
        for (group, _) in blocked {
            let waited_ms = self.waits.get(&group.id).map_or(0, |wait| now.since(wait.since));
            let overdue = waited_ms >= patience;
            let begun = starts.iter().any(|start| start.run.task.job == group.id);
            // The tasks of a gang have to start together.
            if !overdue || group.job.placed > 0 || begun || group.step.gang {
                continue;
            }
            let Some(index) = group.tasks().iter().position(Task::waits) else { continue };
            let task = group.task(index);
            let Some(found) = self.least_disturbed(now, group, task, candidates) else { continue };
            let run = RunName { task, number: group.tasks()[index].run + 1 };
            candidates[found].take(task, group.step, group.served.clone());
            candidates[found].tried += 1;
            starts.push(candidates[found].start(run));
            self.tried.insert(run);
            let worker = candidates[found].life.clone();
            self.outputs.push(Output::Decided(Decision::Tried { run, worker, waited_ms }));
        }
    }

    /// The place of the candidate on which a task is expected to disturb least, whatever that is.
    fn least_disturbed(
        &self,
        now: Millis,
        group: &Ready<'_>,
        task: TaskName,
        candidates: &[Candidate],
    ) -> Option<usize> {
        let guess = |candidate: &Candidate| {
            let obstacle = candidate.obstacle(&group.job.pool, task, group.step);
            obstacle.is_none_or(|there| there == Obstacle::Busy)
        };
        let open = |candidate: &Candidate| {
            let lacking = self.lacks_ticket(now, group, task, &candidate.life);
            candidate.tried < MOST_TRIED && guess(candidate) && !lacking
        };
        let excess = |candidate: &Candidate| candidate.excess_with(group.step, &self.harm);
        let found = candidates.iter().enumerate().filter(|(_, candidate)| open(candidate));
        found.min_by(|(_, a), (_, b)| excess(a).total_cmp(&excess(b))).map(|(i, _)| i)
    }
}

/// Whether a run is the newest of its task and has a worker.
fn is_placed(state: &State, run: RunName) -> bool {
    let task = state.job(run.task.job).and_then(|job| job.task(run.task));
    task.is_some_and(|task| task.run == run.number && task.worker.is_some())
}

/// Whether room is plenty, in processors that tasks ask for.
fn plenty(candidates: &[Candidate]) -> bool {
    let all: u64 = candidates.iter().map(|candidate| u64::from(candidate.processors)).sum();
    let free: u64 = candidates.iter().map(|candidate| u64::from(candidate.free.milli_cpu)).sum();
    free * 100 > all * PLENTY_PERCENT
}
