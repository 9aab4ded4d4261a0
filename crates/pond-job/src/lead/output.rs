//! Outputs of a leader, and the times that its decisions depend on. The leader does no I/O itself;
//! the shell, which is the code around it, carries out its outputs.

use pond_proto::Span;
use pond_proto::fleet::Order;
use pond_proto::job::RunName;

use super::admission::{Inputs, Rejection};
use super::advice::Question;
use super::obstacle::Obstacles;
use crate::change::Change;

/// Times that the decisions of a leader depend on.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Longest lease of a worker, in milliseconds on its own clock.
    pub lease_ms: Span,
    /// Maximum rate by which a worker's clock may run slow, in thousandths.
    pub drift_permille: u64,
    /// Added before a lease counts as expired, in milliseconds, because timers may fire late.
    pub timer_slack_ms: Span,
    /// How long the phase of an ended job is kept, in milliseconds.
    pub retention_ms: Span,
}

/// Share of its lease that a worker gets at a time, in percent. It outlasts the restart of an agent
/// and of most workers: the loss of a worker that has registered again tells more about its cause
/// than its silence does.
const LEASE_PART_PERCENT: Span = 67;

impl Timing {
    /// Returns how far beyond its clock an agent extends the lease of its worker at a time, in
    /// milliseconds.
    pub fn extension_ms(&self) -> Span {
        self.lease_ms * LEASE_PART_PERCENT / 100
    }

    /// Returns the time after the last report of a worker at which its lease has certainly expired,
    /// in milliseconds.
    pub fn lease_expiry_ms(&self) -> Span {
        self.lease_ms + self.lease_ms * self.drift_permille / 1000 + self.timer_slack_ms
    }
}

/// How it is known that no run of an incarnation is running any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossKind {
    /// It ended or was replaced by another incarnation without announcing that it would leave.
    Crashed,
    /// It had announced that it would leave.
    Left,
    /// Its lease has expired.
    Silent,
}

/// An action that the shell performs for the leader.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Propose this change to the log.
    Propose(Change),
    /// Send this order to an agent.
    Order {
        /// Link to the agent.
        link: u64,
        /// The order for its worker.
        order: Order,
    },
    /// Ask the adviser and pass its answer to [`super::Leader::advised`].
    Advise(Question),
    /// Log this decision.
    Decided(Decision),
    /// Update the metrics of a pool's shares.
    Share(ShareFigures),
}

/// How the processors of a pool are shared between short and long-running tasks.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareFigures {
    /// The pool.
    pub pool: String,
    /// Processors that no long-running task occupies, in thousandths of a processor.
    pub remaining_milli_cpu: u64,
    /// Processors that short tasks are entitled to, in thousandths of a processor.
    pub entitled_milli_cpu: u64,
}

/// How the loss of a worker was explained.
#[derive(Clone, Debug, PartialEq)]
pub struct Explained {
    /// Agent of the worker.
    pub agent: String,
    /// Number of losses that were explained together.
    pub losses: usize,
    /// Largest number of partial sums over the explanations.
    pub sums: usize,
    /// Share of the explanations that was left out, from 0 to 1.
    pub omitted: f64,
    /// The most probable causes: runs with the probabilities that their tasks crash their workers,
    /// from 0 to 1, before and after the loss.
    pub causes: Vec<(RunName, Option<f64>, f64)>,
}

/// A decision that is logged.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A worker has reported for the first time.
    WorkerUp {
        /// Incarnation of the worker.
        worker: String,
    },
    /// No run of a worker is running any more.
    WorkerLost {
        /// Incarnation of the worker.
        worker: String,
        /// How that is known.
        why: LossKind,
        /// How long ago its clock last advanced, in milliseconds.
        silent_ms: Span,
        /// Runs that were placed there, with how long each is known to have run, in milliseconds;
        /// `None` if no call to start it can have reached the worker.
        runs: Vec<(RunName, Option<Span>)>,
    },
    /// The possible causes of a loss were compared.
    Explained(Explained),
    /// A run without progress is stopped and will run elsewhere.
    Stalled {
        /// The run.
        run: RunName,
        /// Its worker.
        worker: String,
    },
    /// A best-effort run interferes with serving runs on its worker and is stopped to run
    /// elsewhere.
    Moved {
        /// The run.
        run: RunName,
        /// Its worker.
        worker: String,
        /// By how much the utilization there exceeds what the targets allow, in thousandths.
        excess_permille: u32,
        /// Utilization that the run is expected to add, in thousandths.
        added_permille: u32,
    },
    /// Tasks of a job whose turn has come cannot be placed.
    Waiting {
        /// The job.
        job: u64,
        /// Index of the step.
        step: usize,
        /// Number of its tasks that wait.
        tasks: usize,
        /// Number of placed tasks of the job.
        placed: usize,
        /// How long tasks of the job could not be placed, in milliseconds.
        waited_ms: Span,
        /// How long no task of the job has been running, in milliseconds.
        starved_ms: Span,
        /// Image of the step.
        image: String,
        /// Obstacles for the first of the tasks.
        obstacles: Obstacles,
    },
    /// A task that only estimates kept waiting has waited too long and is started nevertheless.
    Forced {
        /// The run.
        run: RunName,
        /// Its worker.
        worker: String,
        /// How long no task of its job has been running, in milliseconds.
        starved_ms: Span,
    },
    /// A placed run has been missing from the lists of its worker for a long time.
    Absent {
        /// The run.
        run: RunName,
        /// Its worker.
        worker: String,
        /// How long this leader has known the run as placed and not listed, in milliseconds.
        absent_ms: Span,
        /// Whether there is a link to the worker's agent.
        linked: bool,
        /// Whether the worker answers its agent.
        answers: bool,
        /// Whether the agent reports the run.
        known_to_agent: bool,
        /// Whether the run should be stopped.
        stopping: bool,
        /// Number of orders to start or stop it since the link was opened.
        orders: u32,
    },
    /// An unhealthy worker gets no work for a while.
    Unhealthy {
        /// Incarnation of the worker.
        worker: String,
        /// Duration of the backoff, in milliseconds.
        backoff_ms: Span,
    },
    /// A worker has become slow, or no longer is.
    Speed {
        /// Incarnation of the worker.
        worker: String,
        /// Whether it is slow now.
        slow: bool,
        /// Duration of its runs relative to the median worker, in thousandths.
        factor_permille: u32,
        /// Number of observed runs; none if the estimate has expired.
        observations: usize,
    },
    /// A run is stopped to run elsewhere because its worker is slow.
    TooSlow {
        /// The run.
        run: RunName,
        /// Its worker.
        worker: String,
        /// Duration of runs there relative to the median worker, in thousandths.
        factor_permille: u32,
    },
    /// A new job was rejected.
    Rejected {
        /// The job.
        job: u64,
        /// Its queue.
        queue: String,
        /// The reason, and when its caller may retry.
        rejection: Rejection,
        /// What the decision was derived from.
        inputs: Inputs,
    },
    /// A job that had a forecast has ended.
    ForecastEnded {
        /// The job.
        job: u64,
        /// Its queue.
        queue: String,
        /// Forecast time from its acceptance to its end, in milliseconds.
        forecast_ms: Span,
        /// Actual time, in milliseconds.
        duration_ms: Span,
    },
}

impl Decision {
    /// Returns the kind of the decision as a metric label.
    pub fn kind(&self) -> &'static str {
        match self {
            Decision::WorkerUp { .. } => "worker_up",
            Decision::WorkerLost { .. } => "worker_lost",
            Decision::Explained(_) => "explained",
            Decision::Stalled { .. } => "stalled",
            Decision::Moved { .. } => "moved",
            Decision::Waiting { .. } => "waiting",
            Decision::Forced { .. } => "tried",
            Decision::Absent { .. } => "absent",
            Decision::Unhealthy { .. } => "sick",
            Decision::Speed { slow: true, .. } => "slow",
            Decision::Speed { slow: false, .. } => "not_slow",
            Decision::TooSlow { .. } => "too_slow",
            Decision::Rejected { .. } => "rejected",
            Decision::ForecastEnded { .. } => "forecast",
        }
    }
}
