//! Brings what has ended into the log: ends that agents report, and workers that are lost.

use std::collections::BTreeSet;

use pond_proto::fleet::{EndRow, Report};
use pond_proto::job::{How, RunName};
use pond_proto::{Millis, Span};

use super::wait::Wait;
use super::worker::Worker;
use super::{Decision, Leader, LossKind, Output, PROPOSE_AGAIN_MS};
use crate::change::{Change, End};
use crate::state::State;
use crate::suspicion::Blame;

/// The loss of a worker that is proposed.
#[derive(Clone, Debug)]
pub(super) struct Loss {
    /// When it was last proposed.
    at: Millis,
    why: LossKind,
    /// When the worker was last known to live.
    lived: Millis,
    /// The runs that had their place there.
    last: Vec<Last>,
    blame: Vec<Blame>,
}

/// What was known at last of a run on a lost life.
#[derive(Clone, Debug)]
pub(super) struct Last {
    pub run: RunName,
    /// For how long the worker was known to have lived on with the run, in milliseconds; none if no
    /// call to start it can have reached the worker.
    pub lived_ms: Option<Span>,
    /// Something was told of the run by its agent.
    pub told: bool,
    /// The worker was known to live when the run was started there.
    pub met: bool,
    /// The run is known to have begun.
    began: bool,
    save: String,
}

impl Leader {
    /// An agent has one worker at a time: a new life ends those before it.
    pub(super) fn replace_former_lives(
        &mut self,
        state: &State,
        now: Millis,
        agent: &str,
        life: &str,
    ) {
        let former =
            |(other, worker): &(&String, &Worker)| worker.agent == agent && other.as_str() != life;
        let known = self.workers.iter().filter(former).map(|(other, _)| other.as_str());
        // A leader that has just come to lead knows former lives only from the log.
        let logged = state.lives_beside(agent).filter(|other| *other != life);
        let former: BTreeSet<String> = known.chain(logged).map(str::to_owned).collect();
        for other in former {
            self.over(state, now, &other, None);
        }
    }

    /// When the clock of the life after this one last went on, if that one has what is placed on this one: a worker that
    /// starts again under its id may be reached by starts that were meant for it before.
    fn outlived(&self, state: &State, life: &str) -> Option<Millis> {
        let agent = self.agent_of(state, life);
        let beside = |(other, worker): &(&String, &Worker)| {
            other.as_str() != life
                && worker.agent == agent
                && state.placed(life).any(|run| worker.tells_of(run))
        };
        self.workers.iter().filter(beside).map(|(_, worker)| worker.clocked).max()
    }

    /// A life of a worker is over, so nothing of it runs, unless a later one has taken it on; that one is told to stop it
    /// first. Its agent may have told of its end.
    pub(super) fn over(&mut self, state: &State, now: Millis, life: &str, end: Option<&Report>) {
        if self.outlived(state, life).is_some() {
            self.workers.get_mut(life).into_iter().for_each(Worker::dismiss);
            self.told.extend(end.map(|end| (life.to_owned(), end.clone())));
            return;
        }
        // Nobody else knows the ends that were told then.
        let told = self.told.remove(life);
        let end = end.or(told.as_ref());
        let left = end.is_some_and(|end| end.left)
            || self.workers.get(life).is_some_and(|worker| worker.draining);
        let logged = state.placed(life).next().is_some() || state.settled(life) > 0;
        if logged {
            self.propose_last_ends(state, life, end);
            let why = if left { LossKind::Left } else { LossKind::Crashed };
            self.propose_lost(state, now, life, why, end);
        }
        let known = self.workers.remove(life).is_some();
        if known && !logged && !left {
            self.losses.note_idle();
        }
    }

    /// Proposes the ends of a life that is over, before its loss is: a run that has ended is not lost. Once is enough, as
    /// proposals vanish only with their leader; after the loss they would count again.
    fn propose_last_ends(&mut self, state: &State, life: &str, end: Option<&Report>) {
        let Some(end) = end.filter(|_| !self.losing.contains_key(life)) else { return };
        let ends = last_ends(state, end);
        if !ends.is_empty() {
            let (worker, unstarted) = (life.to_owned(), Vec::new());
            self.outputs.push(Output::Propose(Change::Ended { worker, ends, unstarted }));
        }
    }

    /// Gives up workers whose lease has surely run out.
    pub(super) fn lose_silent(&mut self, state: &State, now: Millis) {
        let over = self.timing.lease_expiry_ms();
        let clocked =
            |life: &str| self.workers.get(life).map_or(self.since, |worker| worker.clocked);
        // What runs on goes by the lease of the life that runs it.
        let lasts = |life: &str| {
            let outlived = self.outlived(state, life);
            outlived.is_some_and(|clocked| now.since(clocked) < over)
        };
        let silent: Vec<String> = state
            .workers()
            .filter(|life| now.since(clocked(life)) >= over && !lasts(life))
            .map(str::to_owned)
            .collect();
        for life in silent {
            self.propose_lost(state, now, &life, LossKind::Silent, None);
        }
        // Once proposed, a loss must come into the log, though the worker may report again: it gets
        // no order until then. A proposal that is lost on its way is made again.
        let proposed: Vec<(String, LossKind)> =
            self.losing.iter().map(|(life, loss)| (life.clone(), loss.why)).collect();
        for (life, why) in proposed {
            self.propose_lost(state, now, &life, why, None);
        }
        self.workers.retain(|_, worker| worker.link.is_some() || now.since(worker.heard) < over);
        self.begun.retain(|life, _| self.workers.contains_key(life));
        self.told.retain(|life, _| state.placed(life).next().is_some());
    }

    /// Proposes that nothing of a life runs any more, with the newest known saves of what ran there.
    fn propose_lost(
        &mut self,
        state: &State,
        now: Millis,
        life: &str,
        why: LossKind,
        end: Option<&Report>,
    ) {
        let tried = self.losing.get(life);
        if tried.is_some_and(|tried| now.since(tried.at) < PROPOSE_AGAIN_MS) {
            return;
        }
        // What is known at first stays: later only the life's name is.
        let last = tried.map(|tried| tried.last.clone());
        let last = last.unwrap_or_else(|| self.last_of(state, life, end));
        let ended = tried.map(|tried| tried.why).filter(|why| *why != LossKind::Silent);
        let why = ended.unwrap_or(why);
        let clocked = self.workers.get(life).map_or(self.since, |worker| worker.clocked);
        let lived = tried.map_or(clocked, |tried| tried.lived);
        let silent_ms = now.since(clocked);
        let worker = life.to_owned();
        let runs: Vec<Last> = last
            .iter()
            .filter(|last| state.placed(life).any(|run| run == last.run))
            .cloned()
            .collect();
        let began = runs.iter().filter(|last| last.began);
        let saves = began.map(|last| (last.run, last.save.clone())).collect();
        let agent = self.agent_of(state, life);
        let blame = match tried {
            Some(tried) if tried.why == why => tried.blame.clone(),
            _ => self.judge(state, now, &agent, why, &last),
        };
        let loss = Loss { at: now, why, lived, last, blame: blame.clone() };
        self.losing.insert(worker.clone(), loss);
        let runs = runs.into_iter().map(|last| (last.run, last.lived_ms)).collect();
        let decision = Decision::WorkerLost { worker: worker.clone(), why, silent_ms, runs };
        self.outputs.push(Output::Decided(decision));
        let over = why != LossKind::Silent;
        self.outputs.push(Output::Propose(Change::WorkerLost { worker, saves, over, blame }));
    }

    /// A loss is in the log: the jobs of its runs have stood still since the worker was last known to live, unless
    /// others of their runs go on.
    pub(super) fn note_lost(&mut self, state: &State, now: Millis, life: &str) {
        let Some(loss) = self.losing.remove(life) else { return };
        let jobs: BTreeSet<u64> = loss.last.iter().map(|last| last.run.task.job).collect();
        for id in jobs {
            if state.job(id).is_some_and(|job| !job.phase.ended()) {
                self.waits.entry(id).or_insert_with(|| Wait::stopped(now, loss.lived));
            }
        }
    }

    /// The agent beside a life; empty if it is not known any more.
    fn agent_of(&self, state: &State, life: &str) -> String {
        let known = self.workers.get(life).map(|worker| worker.agent.as_str());
        known.or(state.agent_beside(life)).unwrap_or_default().to_owned()
    }

    /// What is known of the runs that have their place on a life. What its agent told once it was over
    /// goes first: it knows which starts it had called.
    fn last_of(&self, state: &State, life: &str, end: Option<&Report>) -> Vec<Last> {
        let known = self.workers.get(life).map(|worker| &worker.rows);
        let told = |run: RunName| match end {
            Some(end) => end.runs.iter().find(|row| row.run == run),
            None => known?.get(&run),
        };
        let last = |run: RunName| match told(run) {
            Some(row) => {
                // Only the agent of that time can tell what it had called at last: what was not sent by a
                // former report may have been sent since, and have taken the worker down.
                let unsent = row.unsent && end.is_some();
                let lived_ms = (!unsent).then_some(row.lived_ms.into());
                let met = row.met && end.is_some();
                let began = !row.unlisted || row.lived_ms > 0;
                Last { run, lived_ms, told: true, met, began, save: row.save.clone() }
            }
            // An agent that told of the end and not of the run never had the order to start it.
            None => {
                let lived_ms = end.is_none().then_some(0);
                Last { run, lived_ms, told: false, met: false, began: false, save: String::new() }
            }
        };
        let ended =
            |run: &RunName| end.is_some_and(|end| end.ends.iter().any(|row| row.run == *run));
        state.placed(life).filter(|run| !ended(run)).map(last).collect()
    }

    /// Proposes the ends and unstarted runs of a report if some are new, or if the last proposal shows
    /// no effect. Each proposal holds all that is not settled: were one lost and only what came
    /// since proposed, the ends in it would be taken for settled with the higher ones.
    pub(super) fn propose_ends(&mut self, state: &State, now: Millis, life: &str, report: &Report) {
        let settled = state.settled(life);
        let placed: BTreeSet<RunName> = state.placed(life).collect();
        let Some(worker) = self.workers.get_mut(life) else { return };
        let open = report.ends.iter().filter(|end| end.number > settled);
        let mut ends: Vec<End> = open.map(end_from).collect();
        ends.sort_by_key(|end| end.number);
        let (unstarted, known): (Vec<RunName>, Vec<RunName>) =
            report.unstarted.iter().partition(|run| placed.contains(run));
        worker.forget.extend(known);
        if ends.is_empty() && unstarted.is_empty() {
            return;
        }
        let (new_ends, new_unstarted) = worker.note_proposed(&ends, &unstarted);
        let news = !new_ends.is_empty() || !new_unstarted.is_empty();
        if !news && now.since(worker.proposed_at) < PROPOSE_AGAIN_MS {
            return;
        }
        worker.proposed_at = now;
        self.note_ends(state, now, life, &new_ends, &new_unstarted);
        let worker = life.to_owned();
        self.outputs.push(Output::Propose(Change::Ended { worker, ends, unstarted }));
    }

    /// Learns from ends how sound a worker is.
    fn note_ends(
        &mut self,
        state: &State,
        now: Millis,
        life: &str,
        ends: &[End],
        unstarted: &[RunName],
    ) {
        let Some(agent) = self.workers.get(life).map(|worker| worker.agent.clone()) else { return };
        let health = self.health.entry(agent).or_default();
        for end in ends {
            self.unwanted.remove(&end.run);
            match end.how {
                How::Done => health.good(),
                How::Failed => {
                    health.bad(now, end.run.task.job);
                    self.avoided.entry(end.run.task).or_default().insert(life.to_owned());
                }
                _ => {}
            }
        }
        for run in unstarted {
            let moved = self.unwanted.remove(run);
            self.adviser.refused(*run, life);
            let job = state.job(run.task.job).filter(|job| !job.phase.ended());
            // A run that was called back, and one whose ticket may have run out on its way, say nothing
            // about the worker.
            if moved || job.is_none_or(|job| job.advice.is_some()) {
                continue;
            }
            health.bad(now, run.task.job);
            self.avoided.entry(run.task).or_default().insert(life.to_owned());
        }
        if let Some(backoff_ms) = health.rest(now) {
            let worker = life.to_owned();
            self.outputs.push(Output::Decided(Decision::Unhealthy { worker, backoff_ms }));
        }
    }
}

/// The ends of a life that is over, of runs that have their place there, in their order.
fn last_ends(state: &State, report: &Report) -> Vec<End> {
    let (life, settled) = (report.worker.as_str(), state.settled(&report.worker));
    let placed: BTreeSet<RunName> = state.placed(life).collect();
    let open = |row: &&EndRow| row.number > settled && placed.contains(&row.run);
    let mut ends: Vec<End> = report.ends.iter().filter(open).map(end_from).collect();
    ends.sort_by_key(|end| end.number);
    ends
}

fn end_from(row: &EndRow) -> End {
    End { number: row.number, run: row.run, how: row.how(), save: row.save.clone() }
}
