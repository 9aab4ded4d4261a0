//! Reconciliation of workers with the state: orders that tell each agent what to start, stop and
//! watch.

use std::collections::BTreeMap;

use pond_proto::Millis;
use pond_proto::fleet::{Order, StartOrder, Watch};
use pond_proto::job::{RunName, Step};

use super::advice::Adviser;
use super::colocation::{ServingLoad, permille};
use super::worker::Worker;
use super::{Leader, Output};
use crate::job::Task;
use crate::state::State;

/// Minimum change of a blame that is worth an order, in thousandths of utilization: a twentieth,
/// which is within about two deviations of the measured utilizations from which the blame is
/// learned.
const BLAME_STEP_PERMILLE: u32 = 50;

impl Leader {
    /// Drops incarnations whose placed runs are all listed and should continue, until something of
    /// them changes.
    pub(super) fn drop_reconciled(&mut self, state: &State) {
        let mut unreconciled = std::mem::take(&mut self.unreconciled);
        unreconciled.retain(|incarnation| !self.is_reconciled(state, incarnation));
        // All tests check this; release builds do not.
        if cfg!(debug_assertions) {
            let missed = |incarnation: &&String| {
                !unreconciled.contains(*incarnation) && !self.is_reconciled(state, incarnation)
            };
            assert_eq!(
                self.workers.keys().find(missed),
                None,
                "an unreconciled incarnation was dropped"
            );
        }
        self.unreconciled = unreconciled;
    }

    /// Returns whether all runs placed on an incarnation are listed by its worker and should
    /// continue, and it can start no withdrawn run.
    fn is_reconciled(&self, state: &State, incarnation: &str) -> bool {
        let Some(worker) = self.workers.get(incarnation) else { return true };
        let placed = |run: RunName| worker.has_listed(run) && self.wanted(state, run);
        !state.has_withdrawn(&worker.agent) && state.placed(incarnation).all(placed)
    }

    /// Marks workers with runs that the agent does not know or that should be stopped.
    pub(super) fn touch_unreconciled(&mut self, state: &State, now: Millis) {
        for incarnation in &self.unreconciled {
            let Some(worker) = self.workers.get(incarnation) else { continue };
            let due = |run: RunName| {
                let wanted = self.wanted(state, run);
                let missing = !worker.rows.contains_key(&run) || !wanted;
                missing && worker.order_due(run, wanted, now)
            };
            let stops = self.withdrawn_to_stop(state, now, worker);
            let any_due = state.placed(incarnation).any(due)
                || stops.into_iter().any(|run| worker.order_due(run, false, now));
            if worker.link.is_some() && any_due {
                self.dirty.insert(incarnation.clone());
            }
        }
    }

    /// Returns whether a placed run should continue.
    pub(super) fn wanted(&self, state: &State, run: RunName) -> bool {
        let Some(job) = state.job(run.task.job).filter(|job| !job.phase.ended()) else {
            return false;
        };
        let task = job.task(run.task).filter(|task| task.run == run.number);
        task.is_some_and(Task::needs_run)
            && !job.is_exhausted(run.task)
            && !self.unwanted.contains(&run)
    }

    /// Sends orders to all workers with changes.
    pub(super) fn send_orders(&mut self, state: &State, now: Millis) {
        for incarnation in std::mem::take(&mut self.dirty) {
            let Some((link, order)) = self.order(state, now, &incarnation) else { continue };
            self.outputs.push(Output::Order { link, order });
        }
    }

    /// Returns how the agent should watch each run of its worker.
    fn watches(&mut self, state: &State, now: Millis, incarnation: &str) -> Vec<Watch> {
        let steps: Vec<(RunName, &Step)> = state
            .placed(incarnation)
            .filter_map(|run| Some((run, state.step(run.task)?)))
            .collect();
        let capacity = self.workers.get(incarnation).map_or(0, |worker| worker.capacity.milli_cpu);
        let interference = &mut self.interference;
        let serving: Vec<ServingLoad> =
            steps.iter().filter_map(|(run, step)| interference.serving(now, *run, step)).collect();
        let mut watches = Vec::new();
        for (run, step) in steps {
            let best_effort = interference.best_effort(step, capacity);
            let blame =
                best_effort.map_or(0.0, |best_effort| interference.added(&serving, &best_effort));
            watches.push(Watch {
                run,
                tail_target_ms: step.tail_target_ms,
                best_effort: step.best_effort,
                image: step.image.clone(),
                interference_permille: permille(blame),
                report_after_ms: report_after_ms(state, run),
            });
        }
        watches
    }

    /// Returns the order for the agent of a worker; `None` while there is no link to it, or while
    /// the loss of the worker is proposed but not committed. It grants no lease as long as the worker
    /// may start withdrawn runs, or runs of a former incarnation whose loss is not committed yet.
    fn order(&mut self, state: &State, now: Millis, incarnation: &str) -> Option<(u64, Order)> {
        if self.proposed_losses.contains_key(incarnation) {
            return None;
        }
        let mut wanted: BTreeMap<RunName, bool> =
            state.placed(incarnation).map(|run| (run, self.wanted(state, run))).collect();
        let withdrawn = self.withdrawn_to_stop(state, now, self.workers.get(incarnation)?);
        wanted.extend(withdrawn.into_iter().map(|run| (run, false)));
        let watches = self.watches(state, now, incarnation);
        let worker = self.workers.get_mut(incarnation)?;
        let link = worker.link?;
        let withdraws = state.has_withdrawn(&worker.agent)
            || state.incarnations_at(&worker.agent).any(|other| other != incarnation);
        let starts = match withdraws || state.is_evacuated(&worker.data_centre) {
            true => Vec::new(),
            false => starts(state, now, incarnation, worker, &wanted, &watches, &self.adviser),
        };
        let order = Order {
            worker: incarnation.to_owned(),
            term: self.term,
            lease_end_ms: if withdraws { 0 } else { worker.clock_ms + self.timing.lease_ms },
            committed: state.last_committed_end(incarnation),
            forget: std::mem::take(&mut worker.forget).into_iter().collect(),
            starts,
            stops: stops(now, worker, &wanted),
            watches: new_watches(worker, &wanted, watches),
            extension_ms: self.timing.extension_ms(),
            lapses: worker.lapses,
        };
        worker.ordered.retain(|run, _| wanted.contains_key(run) || worker.rows.contains_key(run));
        Some((link, order))
    }
}

/// Returns start orders for the wanted runs that the worker does not have. `wanted` tells for each
/// placed run whether it should continue.
fn starts(
    state: &State,
    now: Millis,
    incarnation: &str,
    worker: &mut Worker,
    wanted: &BTreeMap<RunName, bool>,
    watches: &[Watch],
    adviser: &Adviser,
) -> Vec<StartOrder> {
    let mut starts = Vec::new();
    for run in wanted.iter().filter(|(_, wanted)| **wanted).map(|(run, _)| *run) {
        if worker.rows.contains_key(&run) || !worker.order_due(run, true, now) {
            continue;
        }
        let advised = state.job(run.task.job).is_some_and(|job| job.advice.is_some());
        let ticket = adviser.ticket(now, run.task.into(), incarnation);
        if advised && ticket.is_none() {
            continue;
        }
        worker.record_order(run, true, now);
        let watch = watches.iter().find(|watch| watch.run == run).cloned();
        starts.extend(start_order(state, run, watch, ticket.unwrap_or_default()));
    }
    starts
}

/// Returns the placed runs that should not continue, followed by the runs that the worker has
/// without a placement.
fn stops(now: Millis, worker: &mut Worker, wanted: &BTreeMap<RunName, bool>) -> Vec<RunName> {
    let unwanted = wanted.iter().filter(|(_, wanted)| !**wanted).map(|(run, _)| *run);
    let orphans = worker.rows.keys().filter(|run| !wanted.contains_key(run)).copied();
    let mut stops: Vec<RunName> = unwanted.chain(orphans).collect();
    stops.retain(|run| worker.order_due(*run, false, now));
    stops.iter().for_each(|run| worker.record_order(*run, false, now));
    stops
}

/// Returns the watches that the agent does not know yet.
fn new_watches(
    worker: &mut Worker,
    wanted: &BTreeMap<RunName, bool>,
    mut watches: Vec<Watch>,
) -> Vec<Watch> {
    if std::mem::take(&mut worker.new_link) {
        worker.watched.clear();
    }
    watches.retain(|watch| worker.watched.get(&watch.run).is_none_or(|sent| changed(sent, watch)));
    worker.watched.extend(watches.iter().map(|watch| (watch.run, watch.clone())));
    worker.watched.retain(|run, _| wanted.contains_key(run));
    watches
}

/// Returns how long a worker has to survive a run before its agent reports that immediately, in
/// milliseconds. Nothing is started next to a suspect before that.
fn report_after_ms(state: &State, run: RunName) -> u32 {
    let suspicion = state.suspicion(run).filter(|suspicion| suspicion.suspect);
    suspicion.map_or(0, |suspicion| suspicion.clears_at_ms() as u32)
}

/// Returns whether the agent needs a new watch for a run.
fn changed(sent: &Watch, watch: &Watch) -> bool {
    sent.report_after_ms != watch.report_after_ms
        || sent.interference_permille.abs_diff(watch.interference_permille) >= BLAME_STEP_PERMILLE
}

/// Returns the order to start a run; `None` if its job or its watch is not known.
fn start_order(
    state: &State,
    run: RunName,
    watch: Option<Watch>,
    ticket: &str,
) -> Option<StartOrder> {
    let job = state.job(run.task.job)?;
    let checkpoint = job.task(run.task)?.checkpoint.clone();
    let text = job.spec.text.clone();
    Some(StartOrder { run, text, checkpoint, watch: watch?, ticket: ticket.to_owned() })
}
