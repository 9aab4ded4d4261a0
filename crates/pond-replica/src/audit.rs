//! What a leader writes to the log: its decisions, and what applied changes did.

use pond_job::{Blame, Change, Decision, End, Obstacle, Reply, Start};
use pond_log::event;
use pond_proto::Span;
use pond_proto::job::{Phase, RunName, Step};

use crate::replica::Replica;

/// Runs of a lost worker that its line names at most; the others are counted.
const RUNS_TOLD: usize = 8;

impl Replica {
    /// Logs a decision of the leader.
    pub(crate) fn log_decision(&self, decision: Decision) {
        self.metrics.count(&format!("decisions{{kind=\"{}\"}}", decision.kind()), 1);
        match decision {
            Decision::WorkerUp { worker } => event!(self.log, WORKER_UP, "worker" => worker),
            Decision::WorkerLost { worker, why, silent_ms, runs } => {
                let count = runs.len();
                event!(self.log, WORKER_LOST, "worker" => worker, "why" => format!("{why:?}"),
                    "silent_ms" => silent_ms, "runs" => count, "shortest" => shortest(runs));
            }
            Decision::Stalled { run, worker } => {
                event!(self.log, RUN_STALLED, "run" => run.to_string(), "worker" => worker);
            }
            Decision::Moved { run, worker, excess_permille, added_permille } => {
                event!(self.log, RUN_MOVED, "run" => run.to_string(), "worker" => worker,
                    "excess_permille" => excess_permille, "added_permille" => added_permille);
            }
            Decision::Waiting {
                job,
                step,
                tasks,
                placed,
                since_ms,
                still_ms,
                image,
                obstacles,
            } => {
                let count = |obstacle| obstacles.count(obstacle);
                event!(self.log, JOB_WAITING, "job" => format!("{job:016x}"), "step" => step,
                    "tasks" => tasks, "placed" => placed, "since_ms" => since_ms, "still_ms" => still_ms, "image" => image,
                    "elsewhere" => count(Obstacle::Elsewhere),
                    "evacuated" => count(Obstacle::Evacuated),
                    "suspect" => count(Obstacle::Suspect),
                    "resting" => count(Obstacle::Resting),
                    "probed" => count(Obstacle::Probed), "no_room" => count(Obstacle::NoRoom),
                    "kept" => count(Obstacle::Kept),
                    "busy" => count(Obstacle::Busy),
                    "no_ticket" => count(Obstacle::NoTicket), "harm" => count(Obstacle::Harm));
            }
            Decision::Tried { run, worker, still_ms } => {
                event!(self.log, RUN_FORCED, "run" => run.to_string(), "worker" => worker,
                    "still_ms" => still_ms);
            }
            Decision::Absent { run, worker, since_ms, linked, answers, told, stops, orders } => {
                event!(self.log, RUN_ABSENT, "run" => run.to_string(), "worker" => worker,
                    "since_ms" => since_ms, "linked" => linked, "answers" => answers,
                    "told" => told, "stops" => stops, "orders" => orders);
            }
            Decision::Sick { worker, for_ms } => {
                event!(self.log, WORKER_UNHEALTHY, "worker" => worker, "for_ms" => for_ms);
            }
        }
    }

    /// Logs what a change did, on the leader only.
    pub(crate) fn log_change(&self, change: &Change, reply: &Reply) {
        match change {
            Change::Configure(configuration) => {
                event!(self.log, CONFIGURED, "version" => configuration.version,
                    "queues" => configuration.queues.len());
            }
            Change::Submit { id, spec, .. } => {
                let queue = self.state.job(*id).map_or(String::new(), |job| job.queue.clone());
                let steps: Vec<String> = spec.steps.iter().map(Step::to_string).collect();
                event!(self.log, JOB_ACCEPTED, "job" => format!("{id:016x}"), "queue" => queue,
                    "steps" => steps.join(", "), "reply" => format!("{reply:?}"));
            }
            Change::Cancel { id, .. } => {
                event!(self.log, JOB_CANCELLED, "job" => format!("{id:016x}"),
                    "reply" => format!("{reply:?}"));
            }
            Change::Start(_) => self.log_starts(change.started(reply)),
            Change::Ended { .. }
            | Change::WorkerLost { .. }
            | Change::Forget(_)
            | Change::Learned(_) => {}
            Change::Evacuate { data_centre, at } => {
                event!(self.log, EVACUATED, "data_centre" => data_centre.clone(),
                    "at_ms" => at.0, "index" => self.applied, "evacuated" => self.evacuated());
            }
            Change::Readmit { data_centre } => {
                event!(self.log, READMITTED, "data_centre" => data_centre.clone(),
                    "index" => self.applied, "evacuated" => self.evacuated());
            }
            Change::Cleared(runs) => {
                for run in runs {
                    event!(self.log, TASK_CLEARED, "run" => run.to_string());
                }
            }
        }
        if let Reply::Ended(jobs) = reply {
            self.log_ended_jobs(jobs);
        }
    }

    /// The evacuated data centres, in one text.
    fn evacuated(&self) -> String {
        let names: Vec<&str> = self.state.evacuations().map(|(name, _)| name).collect();
        names.join(" ")
    }

    fn log_starts(&self, starts: Vec<&Start>) {
        for start in starts {
            event!(self.log, RUN_PLACED, "run" => start.run.to_string(),
                "worker" => start.worker.clone());
        }
    }

    /// Logs what a change that is about to be applied ends and loses, on the leader only. A proposal
    /// holds again what earlier ones held, which is no news.
    pub(crate) fn log_ends(&self, change: &Change) {
        match change {
            Change::Ended { worker, ends, unstarted } => self.log_ended(worker, ends, unstarted),
            Change::WorkerLost { worker, blame, .. } => self.log_blame(worker, blame),
            _ => {}
        }
    }

    /// Logs which tasks may have taken down a worker, with all that is then held against each, and which are given
    /// up for it.
    fn log_blame(&self, worker: &str, blame: &[Blame]) {
        for blame in blame.iter().filter(|blame| blame.is_reportable()) {
            let Some(held) = self.state.suspicion_with(worker, blame) else { continue };
            let (run, verdict) = (blame.run.to_string(), format!("{:?}", blame.verdict));
            event!(self.log, TASK_SUSPECTED, "run" => run.clone(), "worker" => worker.to_owned(),
                "verdict" => verdict, "lived_ms" => blame.survived_ms, "losses" => held.losses,
                "likely" => held.likely, "proven" => held.conclusive, "begun" => held.failed_starts,
                "probability" => format!("{:.4}", held.probability.unwrap_or(0.0)));
            if held.is_culprit() {
                self.metrics.count("tasks_given_up", 1);
                event!(self.log, TASK_GIVEN_UP, "run" => run, "worker" => worker.to_owned());
            }
        }
    }

    fn log_ended(&self, worker: &str, ends: &[End], unstarted: &[RunName]) {
        let (ends, unstarted) = self.state.uncommitted(worker, ends, unstarted);
        for end in ends {
            event!(self.log, RUN_ENDED, "run" => end.run.to_string(),
                "worker" => worker.to_owned(), "how" => format!("{:?}", end.how),
                "number" => end.number);
        }
        for run in unstarted {
            event!(self.log, RUN_ENDED, "run" => run.to_string(), "worker" => worker.to_owned(),
                "how" => "Unstarted");
        }
    }

    fn log_ended_jobs(&self, jobs: &[(u64, Phase)]) {
        for (id, phase) in jobs {
            event!(self.log, JOB_ENDED, "job" => format!("{id:016x}"),
                "phase" => format!("{phase:?}"));
        }
    }
}

/// The runs that lived for the shortest time on a lost worker, and for how long in milliseconds: what ended it
/// is most likely among them.
fn shortest(mut runs: Vec<(RunName, Option<Span>)>) -> String {
    runs.retain(|(_, lived_ms)| lived_ms.is_some());
    runs.sort_by_key(|(_, lived_ms)| *lived_ms);
    let told = runs.iter().take(RUNS_TOLD);
    let texts = told.map(|(run, lived_ms)| format!("{run} {} ms", lived_ms.unwrap_or(0)));
    texts.collect::<Vec<_>>().join(", ")
}
