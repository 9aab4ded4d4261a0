//! Runs that were given up with a worker which may still carry out a call to start them.
//!
//! A worker may hold a call and carry it out seconds later, even after its agent was replaced, and
//! any lease allows it to start whatever it holds. A given-up run is therefore withdrawn until its
//! worker has confirmed a stop, after which it refuses to start the run, or has listed its end. Until
//! then the worker gets stops only: no lease, no starts, and no place in a plan.

use std::collections::BTreeSet;

use pond_proto::Millis;
use pond_proto::fleet::Report;
use pond_proto::job::RunName;

use super::plan::REPORT_VALID_MS;
use super::worker::Worker;
use super::{Leader, Output, PROPOSAL_RETRY_MS};
use crate::change::Change;
use crate::state::State;

impl Leader {
    /// Returns the withdrawn runs that a worker has to be ordered to stop. A silent worker is only
    /// ordered to once it answers again.
    pub(super) fn withdrawn_to_stop(
        &self,
        state: &State,
        now: Millis,
        worker: &Worker,
    ) -> Vec<RunName> {
        if now.since(worker.clock_advanced_at) > REPORT_VALID_MS {
            return Vec::new();
        }
        let proposed = self.resolving.get(&worker.agent);
        let proposed = proposed.filter(|(at, _)| now.since(*at) < PROPOSAL_RETRY_MS);
        let resolved = |run: &RunName| proposed.is_some_and(|(_, runs)| runs.contains(run));
        state.withdrawn(&worker.agent).filter(|run| !resolved(run)).collect()
    }

    /// Proposes to forget the withdrawn runs that have ended or never start according to a report.
    pub(super) fn resolve_withdrawn(
        &mut self,
        state: &State,
        now: Millis,
        agent: &str,
        report: &Report,
    ) {
        let withdrawn: BTreeSet<RunName> = state.withdrawn(agent).collect();
        if withdrawn.is_empty() {
            return;
        }
        let ended = report.ends.iter().map(|end| end.run).chain(report.unstarted.iter().copied());
        let resolved: Vec<RunName> = ended.filter(|run| withdrawn.contains(run)).collect();
        let proposed = self.resolving.get(agent);
        let repeated = proposed
            .is_some_and(|(at, runs)| *runs == resolved && now.since(*at) < PROPOSAL_RETRY_MS);
        if resolved.is_empty() || repeated {
            return;
        }
        self.resolving.insert(agent.to_owned(), (now, resolved.clone()));
        self.outputs
            .push(Output::Propose(Change::Resolved { agent: agent.to_owned(), runs: resolved }));
    }

    /// Handles the commit of resolved runs.
    pub(super) fn record_resolved(&mut self, state: &State, agent: &str) {
        if !state.has_withdrawn(agent) {
            self.resolving.remove(agent);
        }
        self.touch_workers_at(agent);
    }

    /// Marks the workers of an agent as changed.
    pub(super) fn touch_workers_at(&mut self, agent: &str) {
        let found = self.workers.iter().filter(|(_, worker)| worker.agent == agent);
        let incarnations: Vec<String> = found.map(|(name, _)| name.clone()).collect();
        incarnations.iter().for_each(|incarnation| self.touch(incarnation));
    }
}
