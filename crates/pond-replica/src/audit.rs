//! Events that a leader logs: its decisions, and the effects of applied changes.

use pond_job::{Blame, Change, Decision, End, Explained, Obstacle, Reply, Start};
use pond_log::event;
use pond_proto::Span;
use pond_proto::job::{Phase, RunName, Step};

use crate::replica::Replica;

/// Maximum number of runs that an event lists; the others are only counted.
const MAX_RUNS_LOGGED: usize = 8;

/// Maximum number of steps of an accepted job in its log line.
const MAX_LOGGED_STEPS: usize = 16;

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
            Decision::Explained(explained) => self.log_explained(explained),
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
                waited_ms,
                starved_ms,
                image,
                obstacles,
            } => {
                let count = |obstacle| obstacles.count(obstacle);
                event!(self.log, JOB_WAITING, "job" => format!("{job:016x}"), "step" => step,
                    "tasks" => tasks, "placed" => placed, "since_ms" => waited_ms, "still_ms" => starved_ms, "image" => image,
                    "elsewhere" => count(Obstacle::Unsuitable),
                    "evacuated" => count(Obstacle::Evacuated),
                    "suspect" => count(Obstacle::Suspect),
                    "resting" => count(Obstacle::Backoff),
                    "probed" => count(Obstacle::Probing), "no_room" => count(Obstacle::NoRoom),
                    "kept" => count(Obstacle::Reserved), "entitled" => count(Obstacle::Entitled),
                    "busy" => count(Obstacle::Busy),
                    "no_ticket" => count(Obstacle::NoTicket), "wanted" => count(Obstacle::Wanted), "harm" => count(Obstacle::Interference));
            }
            Decision::Forced { run, worker, starved_ms } => {
                event!(self.log, RUN_FORCED, "run" => run.to_string(), "worker" => worker,
                    "still_ms" => starved_ms);
            }
            Decision::Absent {
                run,
                worker,
                absent_ms,
                linked,
                answers,
                known_to_agent,
                stopping,
                orders,
            } => {
                event!(self.log, RUN_ABSENT, "run" => run.to_string(), "worker" => worker,
                    "since_ms" => absent_ms, "linked" => linked, "answers" => answers,
                    "told" => known_to_agent, "stops" => stopping, "orders" => orders);
            }
            Decision::Unhealthy { worker, backoff_ms } => {
                event!(self.log, WORKER_UNHEALTHY, "worker" => worker, "for_ms" => backoff_ms);
            }
            Decision::Speed { worker, slow, factor_permille, observations } => {
                event!(self.log, WORKER_SPEED, "worker" => worker, "slow" => slow,
                    "factor_permille" => factor_permille, "observations" => observations);
            }
            Decision::TooSlow { run, worker, factor_permille } => {
                event!(self.log, RUN_TOO_SLOW, "run" => run.to_string(), "worker" => worker,
                    "factor_permille" => factor_permille);
            }
            Decision::Rejected { job, queue, rejection, inputs } => {
                event!(self.log, ADMISSION_REFUSED, "job" => format!("{job:016x}"), "queue" => queue,
                    "reason" => rejection.reason.as_str(),
                    "capacity_milli_cpu" => inputs.capacity as u64, "room_milli_cpu" => inputs.room as u64,
                    "free_milli_cpu" => inputs.free as u64, "waiting_milli_cpu_ms" => inputs.waiting_work as u64,
                    "offered_milli_cpu" => inputs.offered as u64,
                    "correction_permille" => (inputs.correction * 1000.0) as u64,
                    "forecast_ms" => rejection.forecast_ms, "span_ms" => rejection.span_ms,
                    "retry_after_ms" => rejection.retry_after_ms);
            }
            Decision::ForecastEnded { job, queue, forecast_ms, duration_ms } => {
                self.metrics.gauge("forecast_error_ms", duration_ms.abs_diff(forecast_ms));
                event!(self.log, FORECAST_ENDED, "job" => format!("{job:016x}"), "queue" => queue,
                    "forecast_ms" => forecast_ms, "duration_ms" => duration_ms);
            }
        }
    }

    /// Logs the effect of an applied change, on the leader only.
    pub(crate) fn log_change(&self, change: &Change, reply: &Reply) {
        match change {
            Change::Configure(configuration) => {
                let reassigned = match reply {
                    Reply::Configured { reassigned, .. } => *reassigned,
                    _ => 0,
                };
                event!(self.log, CONFIGURED, "version" => configuration.version,
                    "queues" => configuration.queues.len(), "reassigned_jobs" => reassigned);
            }
            Change::Submit { id, spec, .. } => {
                let queue = self.state.job(*id).map_or(String::new(), |job| job.queue.clone());
                let steps = spec.steps.iter().take(MAX_LOGGED_STEPS).map(Step::to_string);
                let steps: Vec<String> = steps.collect();
                event!(self.log, JOB_ACCEPTED, "job" => format!("{id:016x}"), "queue" => queue,
                    "steps" => steps.join(", "), "step_count" => spec.steps.len(),
                    "reply" => format!("{reply:?}"));
            }
            Change::Cancel { id, .. } => {
                event!(self.log, JOB_CANCELLED, "job" => format!("{id:016x}"),
                    "reply" => format!("{reply:?}"));
            }
            Change::Start(_) => self.log_starts(change.started(reply)),
            Change::Withdrawn { agent, runs } => {
                event!(self.log, RUNS_WITHDRAWN, "agent" => agent.clone(), "runs" => runs.len(),
                    "first" => first(runs));
            }
            Change::Resolved { agent, runs } => {
                event!(self.log, RUNS_RESOLVED, "agent" => agent.clone(), "runs" => runs.len(),
                    "first" => first(runs), "left" => self.state.withdrawn(agent).count());
            }
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
        self.log_ended_jobs(reply.ended());
    }

    /// Returns the names of the evacuated data centres, separated by spaces.
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

    /// Logs the ended runs and lost workers of a change that is about to be applied, on the leader only.
    /// A proposal repeats ends of earlier proposals; those are not logged again.
    pub(crate) fn log_ends(&self, change: &Change) {
        self.count_work(change);
        match change {
            Change::Ended { worker, ends, unstarted } => self.log_ended(worker, ends, unstarted),
            Change::WorkerLost { worker, blame, .. } => self.log_blame(worker, blame),
            _ => {}
        }
    }

    /// Logs which tasks are suspected of the loss of a worker, with the losses recorded against each, and
    /// which tasks are given up because of it.
    fn log_blame(&self, worker: &str, blame: &[Blame]) {
        for blame in blame.iter().filter(|blame| blame.is_reportable()) {
            let Some(suspicion) = self.state.suspicion_with(worker, blame) else { continue };
            let (run, verdict) = (blame.run.to_string(), format!("{:?}", blame.verdict));
            event!(self.log, TASK_SUSPECTED, "run" => run.clone(), "worker" => worker.to_owned(),
                "verdict" => verdict, "lived_ms" => blame.survived_ms, "losses" => suspicion.losses,
                "likely" => suspicion.likely, "proven" => suspicion.conclusive, "begun" => suspicion.failed_starts,
                "probability" => format!("{:.4}", suspicion.probability.unwrap_or(0.0)));
            if suspicion.is_culprit() {
                self.metrics.count("tasks_given_up", 1);
                event!(self.log, TASK_GIVEN_UP, "run" => run, "worker" => worker.to_owned());
            }
        }
    }

    /// Logs what the probabilities of the possible causes of a loss are derived from.
    fn log_explained(&self, explained: Explained) {
        let cause = |(run, before, after): &(RunName, Option<f64>, f64)| {
            format!("{run} {:.4} {after:.4}", before.unwrap_or(0.0))
        };
        let causes: Vec<String> = explained.causes.iter().map(cause).collect();
        event!(self.log, LOSS_EXPLAINED, "agent" => explained.agent, "losses" => explained.losses,
            "sums" => explained.sums, "omitted" => format!("{:.2e}", explained.omitted),
            "probabilities" => causes.join(", "));
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

    /// Counts the work of the runs that a change ends, by the prospects of their jobs.
    fn count_work(&self, change: &Change) {
        let Some(leader) = &self.leader else { return };
        for work in leader.ended_work(&self.state, self.now(), self.wall_time(), change) {
            let (queue, prospect) = (&work.queue, work.prospect.label());
            let name = format!("work_milli_cpu_ms{{queue=\"{queue}\",prospect=\"{prospect}\"}}");
            self.metrics.count(&name, i64::try_from(work.milli_cpu_ms).unwrap_or(i64::MAX));
        }
    }

    fn log_ended_jobs(&self, jobs: &[(u64, Phase)]) {
        let wall = self.wall_time();
        for (id, phase) in jobs {
            let Some(job) = self.state.job(*id) else { continue };
            event!(self.log, JOB_ENDED, "job" => format!("{id:016x}"),
                "phase" => format!("{phase:?}"), "queue" => job.queue.clone(),
                "duration_ms" => wall.since(job.submitted_at),
                "objective_ms" => job.target_at.since(job.submitted_at));
        }
    }
}

/// Lists the first of some runs.
fn first(runs: &[RunName]) -> String {
    let texts = runs.iter().take(MAX_RUNS_LOGGED).map(RunName::to_string);
    texts.collect::<Vec<_>>().join(", ")
}

/// Lists the runs that had run for the shortest time on a lost worker, with that time in milliseconds. The
/// cause of the loss is most likely among them.
fn shortest(mut runs: Vec<(RunName, Option<Span>)>) -> String {
    runs.retain(|(_, survived_ms)| survived_ms.is_some());
    runs.sort_by_key(|(_, survived_ms)| *survived_ms);
    let listed = runs.iter().take(MAX_RUNS_LOGGED);
    let texts = listed.map(|(run, survived_ms)| format!("{run} {} ms", survived_ms.unwrap_or(0)));
    texts.collect::<Vec<_>>().join(", ")
}
