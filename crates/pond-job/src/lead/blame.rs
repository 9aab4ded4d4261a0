//! Attribution of worker losses to the runs that may have caused them.

use std::collections::{BTreeMap, BTreeSet};

use pond_proto::fleet::Report;
use pond_proto::job::{RunName, TaskName};
use pond_proto::{Millis, Span};

use super::cause::{Posterior, Rate};
use super::ends::LostRun;
use super::plan::DISCOVERY_MS;
use super::{Decision, Explained, Leader, LossKind, Output, PROPOSAL_RETRY_MS};
use crate::change::Change;
use crate::evidence::{Exposure, Loss};
use crate::state::State;
use crate::suspicion::{BLAME_WINDOW_MS, Blame, STARTUP_WINDOW_MS, Verdict};

/// Worker losses within this time may have a common cause, such as a rack or a switch, in
/// milliseconds. Workers that return after a power failure register within about two seconds.
const CORRELATED_MS: Span = 2_000;

/// Number of other losses within that time that indicates a common cause.
const CORRELATED_LOSSES: usize = 2;

/// A run whose task was involved in this many earlier losses counts as a likely cause regardless of
/// other losses at the same time. Suspects start isolated, so unrelated losses elsewhere hardly
/// matter.
const REPEATED_LOSSES: u32 = 2;

/// How much longer than usual a worker may have survived its runs if no agent reported its loss, on
/// average, in milliseconds.
const UNREPORTED_MS: Span = 1_000;

/// Maximum time for which a worker that was not known to be alive at the start of a run may have
/// been down already, in milliseconds. Workers return after some seconds.
const MAX_OUTAGE_MS: Span = 3_000;

/// Rate of spontaneous crashes that is assumed for a loss that was not observed, per millisecond:
/// one within the time in which a start shows whether it crashes the worker.
const UNOBSERVED_PER_MS: f64 = 1.0 / 200.0;

/// A task that crashes its workers at one age is last seen at ages that differ by less than this, in
/// milliseconds: twice the mean time until the later reports.
const SIMILAR_AGE_MS: Span = 1_000;

/// Ages of a task at two losses that differ by more than this, in milliseconds, are so unlikely to
/// have one cause that an innocent task that began beside it at both can reach the probability at
/// which it is given up: 0.992 at 100 and 900 ms. At smaller differences it stays below.
const UNLIKE_AGE_MS: Span = 350;

/// Factor by which the odds of such a task are lowered. With 0.1 it is given up at 0.998 instead of
/// 0.98. To leave out one of both losses instead lets culprits crash more workers.
const DOUBT: f64 = 0.1;

/// A loss is judged together with the losses that share a task with it, and with the losses that
/// share a task with those.
const CONNECTION_DEPTH: usize = 2;

/// Maximum number of earlier losses that a loss is judged together with; the newest are. It limits
/// the time of a judgement.
const MAX_CONNECTED: usize = 16;

/// Maximum number of runs that are listed as possible causes of a loss.
const MAX_CAUSES_LOGGED: usize = 8;

/// Worker losses that this leader has seen.
#[derive(Debug, Default)]
pub(super) struct Losses {
    /// Last crash of a worker, by agent.
    crashed: BTreeMap<String, Millis>,
    /// Last crash that no recently started run explains, by agent.
    unexplained: BTreeMap<String, Millis>,
    /// Runs whose tasks are proposed to be cleared, with the time of the last proposal.
    clearing: BTreeMap<RunName, Millis>,
    /// How often workers crash spontaneously.
    rate: Rate,
}

impl Losses {
    /// Returns when a worker of the agent last crashed.
    pub fn last_crash(&self, agent: &str) -> Option<Millis> {
        self.crashed.get(agent).copied()
    }

    /// Records the crash of a worker without runs, which was spontaneous.
    pub fn record_idle_loss(&mut self) {
        self.rate.record();
    }

    /// Returns whether several other workers recently crashed for reasons unrelated to their runs.
    fn correlated(&self, now: Millis, agent: &str) -> bool {
        let recently = |(other, at): &(&String, &Millis)| {
            other.as_str() != agent && now.since(**at) < CORRELATED_MS
        };
        self.unexplained.iter().filter(recently).count() >= CORRELATED_LOSSES
    }
}

/// The facts about a lost incarnation from which its runs are judged.
struct Case<'a> {
    kind: LossKind,
    /// Runs that may have caused the loss, with how long the worker survived each, in milliseconds.
    /// Runs of jobs that have ended since, for example by cancellation, are included.
    runs: Vec<(&'a LostRun, Span)>,
    /// Whether several other workers were lost at about the same time.
    correlated: bool,
    /// Whether the agent reported on all runs that had just started.
    started_reported: bool,
    /// Runs that are likely causes.
    likely: BTreeSet<RunName>,
    /// Likely causes whose tasks were involved in several earlier losses.
    repeated: BTreeSet<RunName>,
    /// Likely causes of which another run may have caused the earlier losses as well.
    contested: BTreeSet<RunName>,
    /// Likely causes of which an earlier loss that counts as conclusive no longer is.
    refuted: BTreeSet<RunName>,
}

impl Case<'_> {
    /// Returns whether only the likely causes can have caused the loss. One task of a job is enough
    /// to fail it, so several likely causes of one job count as one.
    fn is_conclusive(&self) -> bool {
        let jobs: BTreeSet<u64> = self.likely.iter().map(|run| run.task.job).collect();
        let alive_at_start = self
            .runs
            .iter()
            .any(|(lost, _)| lost.alive_at_start && self.likely.contains(&lost.run));
        self.kind == LossKind::Crashed && jobs.len() == 1 && alive_at_start && !self.correlated
    }

    /// Returns whether a run was lost like earlier runs of its task: just started, on a worker that
    /// crashed.
    fn repeats(&self, run: RunName) -> bool {
        self.kind == LossKind::Crashed && self.repeated.contains(&run)
    }

    /// Returns how the loss counts against a run; `None` if it does not.
    fn verdict(&self, run: RunName, just_started: bool) -> Option<Verdict> {
        let spontaneous = !self.correlated && self.kind == LossKind::Crashed;
        match self.likely.contains(&run) {
            true if self.is_conclusive()
                && !self.contested.contains(&run)
                && !self.refuted.contains(&run) =>
            {
                Some(Verdict::Proven)
            }
            true if spontaneous || self.repeats(run) => Some(Verdict::Suspected),
            // Workers that are lost together or fall silent say little about their runs, and
            // nothing about runs that had been working well.
            _ => (just_started || spontaneous).then_some(Verdict::Beside),
        }
    }
}

impl Leader {
    /// Judges how a loss counts against the tasks that ran there.
    ///
    /// A run that has just started is a more likely cause than runs that have worked for a while,
    /// and a run of a suspect is as likely. If all likely causes belong to a single job, only that
    /// job can be the cause, since nothing is started next to a suspect until it is cleared. The
    /// exceptions are workers that crash spontaneously, which other losses at the same time reveal,
    /// and a task that crashes its workers late, which shares several losses with the likely cause.
    /// The latter may be found out after the first of these losses has counted as conclusive; the
    /// next conclusive loss of the likely cause then takes its place.
    ///
    /// The verdicts decide which tasks are isolated. How probable each task is as a cause follows
    /// from all losses that are connected with this one, see the module `cause`.
    pub(super) fn judge(
        &mut self,
        state: &State,
        now: Millis,
        agent: &str,
        kind: LossKind,
        lost: &[LostRun],
    ) -> (Vec<Blame>, Option<Loss>) {
        if kind == LossKind::Left {
            return (Vec::new(), None);
        }
        let case = self.case(state, now, agent, kind, lost);
        if kind == LossKind::Crashed {
            self.losses.crashed.insert(agent.to_owned(), now);
            let explained = |(lost, survived_ms): &(&LostRun, Span)| {
                lost.reported && just_started(state, lost.run, *survived_ms)
            };
            if !case.runs.iter().any(explained) {
                self.losses.unexplained.insert(agent.to_owned(), now);
                self.losses.rate.record();
            }
        }
        let evidence = self.evidence(now, &case);
        let posterior = posterior(state, &evidence);
        let blame = |(lost, survived_ms): &(&LostRun, Span)| {
            let (run, survived_ms) = (lost.run, *survived_ms);
            let just_started = just_started(state, run, survived_ms);
            let blame = Blame::new(run, case.verdict(run, just_started)?, survived_ms);
            let probability = posterior.probabilities.get(&run.task.job).copied().unwrap_or(0.0);
            Some(blame.with_probability(probability))
        };
        // Tasks of ended jobs are not blamed, but they may be the cause.
        let active = case.runs.iter().filter(|(lost, _)| is_active(state, lost.run));
        let blame: Vec<Blame> = active.filter_map(blame).collect();
        let explained = explained(state, agent, &blame, posterior);
        self.outputs.push(Output::Decided(Decision::Explained(explained)));
        (blame, Some(evidence))
    }

    /// Collects what a loss reveals about the tasks that ran there.
    fn evidence(&self, now: Millis, case: &Case<'_>) -> Loss {
        let exposure = |(lost, survived_ms): &(&LostRun, Span)| Exposure {
            task: lost.run.task,
            survived_ms: *survived_ms,
            unobserved_ms: unobserved_ms(lost),
        };
        Loss {
            spontaneous_per_ms: self.spontaneous_per_ms(now, case),
            exposures: case.runs.iter().map(exposure).collect(),
        }
    }

    /// Returns the rate at which workers crashed spontaneously when the worker was lost, per
    /// millisecond. Where the loss was not observed, it is as likely spontaneous as caused by a task
    /// that had just started.
    fn spontaneous_per_ms(&self, now: Millis, case: &Case<'_>) -> f64 {
        let workers = self.workers.len();
        let rate = self.losses.rate.per_ms(workers, now.since(self.leading_since));
        let observed = case.kind == LossKind::Crashed && case.started_reported;
        match (observed, case.correlated) {
            (true, false) => rate,
            (true, true) => {
                let losses = CORRELATED_LOSSES as f64 + 1.0;
                rate.max(losses / (CORRELATED_MS as f64 * workers.max(1) as f64))
            }
            (false, _) => rate.max(UNOBSERVED_PER_MS),
        }
    }

    /// Collects the facts about a lost incarnation.
    ///
    /// If an agent fails together with its worker, nothing is reported about the runs. When that
    /// happens to many workers in turn, as in a power failure, treating all their runs as suspects
    /// would keep a whole fleet idle until each had started in isolation.
    fn case<'a>(
        &self,
        state: &State,
        now: Millis,
        agent: &str,
        kind: LossKind,
        lost: &'a [LostRun],
    ) -> Case<'a> {
        let survived =
            |lost: &'a LostRun| Some((lost, lost.survived_ms.filter(|ms| *ms < BLAME_WINDOW_MS)?));
        let unfinished = |lost: &&LostRun| !is_done(state, lost.run);
        let runs: Vec<(&LostRun, Span)> =
            lost.iter().filter(unfinished).filter_map(survived).collect();
        let correlated = self.losses.correlated(now, agent);
        // A replica may have just become the leader because of a general power failure.
        let uncorrelated = !correlated && now.since(self.leading_since) >= DISCOVERY_MS;
        let likely = |(lost, survived_ms): &&(&LostRun, Span)| {
            (lost.reported || uncorrelated) && just_started(state, lost.run, *survived_ms)
        };
        let likely: BTreeSet<RunName> =
            runs.iter().filter(likely).map(|(lost, _)| lost.run).collect();
        let losses =
            |run: &RunName| state.recorded_suspicion(*run).map_or(0, |before| before.losses);
        let repeated =
            likely.iter().filter(|run| losses(run) >= REPEATED_LOSSES).copied().collect();
        let contested =
            likely.iter().filter(|run| is_contested(state, **run, &runs)).copied().collect();
        let refuted = likely.iter().filter(|run| is_refuted(state, **run)).copied().collect();
        let started_reported = runs
            .iter()
            .filter(|(lost, survived_ms)| just_started(state, lost.run, *survived_ms))
            .all(|(lost, _)| lost.reported);
        Case { kind, runs, correlated, started_reported, likely, repeated, contested, refuted }
    }

    /// Proposes to clear tasks whose runs have survived long enough.
    pub(super) fn clear_survivors(&mut self, state: &State, now: Millis, report: &Report) {
        let clearing = &mut self.losses.clearing;
        let due =
            |run: RunName| clearing.get(&run).is_none_or(|at| now.since(*at) >= PROPOSAL_RETRY_MS);
        let survived = report.runs.iter().filter(|row| {
            let suspicion = state.suspicion(row.run);
            suspicion
                .is_some_and(|suspicion| u64::from(row.survived_ms) >= suspicion.clears_at_ms())
        });
        let runs: Vec<RunName> = survived.map(|row| row.run).filter(|run| due(*run)).collect();
        if runs.is_empty() {
            return;
        }
        clearing.extend(runs.iter().map(|run| (*run, now)));
        self.outputs.push(Output::Propose(Change::Cleared(runs)));
    }

    /// Forgets proposed clearings of runs that have ended or whose tasks are cleared.
    pub(super) fn forget_cleared(&mut self, state: &State) {
        self.losses.clearing.retain(|run, _| state.suspicion(*run).is_some());
    }
}

/// Returns whether a run of the task is known to have been done.
fn is_done(state: &State, run: RunName) -> bool {
    let task = state.job(run.task.job).and_then(|job| job.task(run.task));
    task.is_none_or(|task| !task.needs_run())
}

/// Returns whether the job of a run has not ended.
fn is_active(state: &State, run: RunName) -> bool {
    state.job(run.task.job).is_some_and(|job| !job.phase.ended())
}

/// Returns how much longer than usual a worker may have survived a run unnoticed, in milliseconds.
fn unobserved_ms(lost: &LostRun) -> Span {
    match (lost.reported, lost.alive_at_start) {
        (true, true) => 0,
        (true, false) => MAX_OUTAGE_MS,
        (false, _) => UNREPORTED_MS,
    }
}

/// Summarizes how a loss was explained, with the most probable causes.
fn explained(state: &State, agent: &str, blame: &[Blame], posterior: Posterior) -> Explained {
    let before = |run| state.recorded_suspicion(run).and_then(|suspicion| suspicion.probability);
    let change = |blame: &Blame| (blame.run, before(blame.run), blame.probability.unwrap_or(0.0));
    let mut causes: Vec<(RunName, Option<f64>, f64)> = blame.iter().map(change).collect();
    causes.sort_by(|(.., a), (.., b)| b.total_cmp(a));
    causes.truncate(MAX_CAUSES_LOGGED);
    let Posterior { losses, sums, omitted, .. } = posterior;
    Explained { agent: agent.to_owned(), losses, sums, omitted, causes }
}

/// Returns what a loss and all earlier ones that are connected with it by common tasks reveal about
/// the jobs involved in it.
fn posterior(state: &State, loss: &Loss) -> Posterior {
    let known = state.evidence().losses();
    let mut tasks = tasks_of(loss).collect::<BTreeSet<TaskName>>();
    let mut connected: BTreeSet<usize> = BTreeSet::new();
    for _ in 0..CONNECTION_DEPTH {
        let shares = |index: &usize| tasks_of(&known[*index]).any(|task| tasks.contains(&task));
        connected.extend((0..known.len()).filter(shares));
        tasks.extend(connected.iter().flat_map(|index| tasks_of(&known[*index])));
    }
    let excess = connected.len().saturating_sub(MAX_CONNECTED);
    let earlier = connected.into_iter().skip(excess).map(|index| &known[index]);
    let losses: Vec<&Loss> = earlier.chain([loss]).collect();
    let outlived_ms = |task| state.evidence().outlived_ms(task);
    let mut posterior = Posterior::new(&losses, outlived_ms);
    for (job, probability) in &mut posterior.probabilities {
        if has_doubtful_losses(&losses, *job, outlived_ms) {
            let odds = *probability * DOUBT;
            *probability = odds / (odds + 1.0 - *probability);
        }
    }
    posterior
}

/// Returns whether a task that had just begun at several losses of a job may be innocent although
/// the probabilities hardly allow for it: two may have a common cause that was there at unlike ages.
fn has_doubtful_losses(losses: &[&Loss], job: u64, outlived_ms: impl Fn(TaskName) -> Span) -> bool {
    let begins = |loss: &&&Loss| {
        let mut of_job = loss.exposures.iter().filter(|exposure| exposure.task.job == job);
        of_job.any(|exposure| exposure.survived_ms < STARTUP_WINDOW_MS)
    };
    let begun: Vec<&Loss> = losses.iter().filter(begins).copied().collect();
    let is_unlike = |(one, other): &(Exposure, Exposure)| {
        one.survived_ms.abs_diff(other.survived_ms) > UNLIKE_AGE_MS
    };
    begun.iter().enumerate().any(|(index, one)| {
        let mut later = begun[index + 1..].iter();
        later.any(|other| common_causes(one, other, job, &outlived_ms).iter().any(is_unlike))
    })
}

/// Returns how tasks of other jobs were involved in two losses that a task of this job was involved
/// in, if they may have caused both: they were older at both, at similar ages, and have not outlived
/// them since.
fn common_causes(
    one: &Loss,
    other: &Loss,
    job: u64,
    outlived_ms: impl Fn(TaskName) -> Span,
) -> Vec<(Exposure, Exposure)> {
    let shared = |exposure: &Exposure| Some((*exposure, *other.exposure(exposure.task)?));
    let shared: Vec<(Exposure, Exposure)> = one.exposures.iter().filter_map(shared).collect();
    let (own, others): (Vec<_>, Vec<_>) =
        shared.into_iter().partition(|(exposure, _)| exposure.task.job == job);
    let is_older = |(one, other): &(Exposure, Exposure)| {
        let is_younger = |(own_one, own_other): &(Exposure, Exposure)| {
            own_one.survived_ms < one.survived_ms && own_other.survived_ms < other.survived_ms
        };
        own.iter().any(is_younger)
    };
    let may_cause_both = |(one, other): &(Exposure, Exposure)| {
        is_same_cause(one.survived_ms, other.survived_ms, outlived_ms(one.task))
    };
    others.into_iter().filter(|ages| is_older(ages) && may_cause_both(ages)).collect()
}

/// Returns whether a task may have caused two losses that it was last seen at at these ages, in
/// milliseconds, if workers have survived runs of it for `outlived_ms` since.
fn is_same_cause(one_ms: Span, other_ms: Span, outlived_ms: Span) -> bool {
    one_ms.abs_diff(other_ms) < SIMILAR_AGE_MS && outlived_ms <= one_ms.max(other_ms)
}

fn tasks_of(loss: &Loss) -> impl Iterator<Item = TaskName> + '_ {
    loss.exposures.iter().map(|exposure| exposure.task)
}

/// Returns whether a run may have taken down its worker, which had survived it for that long, in
/// milliseconds: it had just started or has not cleared its task yet.
fn just_started(state: &State, run: RunName, survived_ms: Span) -> bool {
    let suspicion = state.recorded_suspicion(run).filter(|suspicion| suspicion.suspect);
    let uncleared = suspicion.is_some_and(|suspicion| survived_ms < suspicion.clears_at_ms());
    survived_ms < STARTUP_WINDOW_MS || uncleared
}

/// Returns whether a run of another job on the lost worker may have caused an earlier loss of the
/// task of a run, too: it shared one at a similar age, and no worker has outlived that age since.
/// The losses are then no independent proofs.
fn is_contested(state: &State, run: RunName, runs: &[(&LostRun, Span)]) -> bool {
    let contests = |(lost, survived_ms): &(&LostRun, Span)| {
        let other = lost.run.task;
        let outlived_ms = state.evidence().outlived_ms(other);
        let mut shared = state.evidence().shared_losses(run.task, other);
        other.job != run.task.job
            && shared.any(|earlier| is_same_cause(earlier.survived_ms, *survived_ms, outlived_ms))
    };
    runs.iter().any(contests)
}

/// Returns whether more losses of the task of a run count as conclusive than still are. One of two
/// is not if they may have a common cause that was also lost without the task, at a similar age.
fn is_refuted(state: &State, run: RunName) -> bool {
    let job = run.task.job;
    let outlived_ms = |task| state.evidence().outlived_ms(task);
    let (shared, others): (Vec<&Loss>, Vec<&Loss>) =
        state.evidence().losses().iter().partition(|loss| loss.involves(run.task));
    let begun_alone = |loss: &&Loss| {
        let mut begun = loss.exposures.iter().filter(|row| row.survived_ms < STARTUP_WINDOW_MS);
        begun.all(|exposure| exposure.task.job == job)
    };
    let alone: Vec<&Loss> = shared.into_iter().filter(begun_alone).collect();
    let is_lost_elsewhere = |(one, _): &(Exposure, Exposure)| {
        let exposures = others.iter().filter_map(|loss| loss.exposure(one.task));
        let mut ages = exposures.map(|exposure| exposure.survived_ms);
        ages.any(|age_ms| is_same_cause(one.survived_ms, age_ms, outlived_ms(one.task)))
    };
    let is_conclusive = |index: &usize| {
        let mut others = (0..alone.len()).filter(|other| other != index);
        !others.any(|other| {
            let causes = common_causes(alone[*index], alone[other], job, outlived_ms);
            causes.iter().any(is_lost_elsewhere)
        })
    };
    let conclusive = (0..alone.len()).filter(is_conclusive).count();
    let counted = state.recorded_suspicion(run).map_or(0, |suspicion| suspicion.conclusive);
    conclusive < alone.len() && counted as usize > conclusive
}
