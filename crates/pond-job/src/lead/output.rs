//! What a leader hands out, and the times that its decisions depend on.

use pond_proto::Span;
use pond_proto::fleet::Order;
use pond_proto::job::RunName;

use super::advice::Question;
use super::obstacle::Obstacles;
use crate::change::Change;

/// Times that the decisions depend on.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Longest lease of a worker, in milliseconds on its own clock.
    pub lease_ms: Span,
    /// How much slower a worker's clock may run, in thousandths.
    pub drift_permille: u64,
    /// Added before a lease counts as run out, in milliseconds: timers fire late.
    pub timer_slack_ms: Span,
    /// How long the phase of an ended job is kept, in milliseconds.
    pub retention_ms: Span,
}

impl Timing {
    /// How long after the last report of a worker its lease has surely run out.
    pub fn lease_expiry_ms(&self) -> Span {
        self.lease_ms + self.lease_ms * self.drift_permille / 1000 + self.timer_slack_ms
    }
}

/// How it is known that nothing of a life of a worker runs any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossKind {
    /// It ended, or another life took its place, and it had not said that it would leave.
    Crashed,
    /// It had said that it would leave.
    Left,
    /// Its lease has run out.
    Silent,
}

/// Something that the shell does for the leader.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Put this into the log.
    Propose(Change),
    /// Send this to an agent.
    Order {
        /// The agent's link.
        link: u64,
        /// What its worker should do.
        order: Order,
    },
    /// Ask the adviser and hand its answer to [`super::Leader::advised`].
    Advise(Question),
    /// A decision worth a line in the log.
    Decided(Decision),
}

/// A decision worth a line in the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A worker is known.
    WorkerUp {
        /// Its life.
        worker: String,
    },
    /// Nothing of a worker runs any more.
    WorkerLost {
        /// Its life.
        worker: String,
        /// How that is known.
        why: LossKind,
        /// How long ago its clock went on, in milliseconds.
        silent_ms: Span,
        /// The runs that had their place there, and for how long each was known to have run on it, in
        /// milliseconds; none where no call to start it can have reached the worker.
        runs: Vec<(RunName, Option<Span>)>,
    },
    /// A run makes no progress and is stopped, to run elsewhere.
    Stalled {
        /// The run.
        run: RunName,
        /// Its worker.
        worker: String,
    },
    /// A filling run disturbs the serving ones beside it and is stopped, to run elsewhere.
    Moved {
        /// The run.
        run: RunName,
        /// Its worker.
        worker: String,
        /// By how much the pressure there exceeds what the targets allow, in thousandths.
        excess_permille: u32,
        /// What the run is expected to add to it, in thousandths.
        added_permille: u32,
    },
    /// Tasks of a job whose turn has come find no place.
    Waiting {
        /// The job.
        job: u64,
        /// The step, from zero.
        step: usize,
        /// How many of its tasks wait.
        tasks: usize,
        /// How many tasks of the job have a place.
        placed: usize,
        /// How long tasks of the job have found no place, in milliseconds.
        waited_ms: Span,
        /// How long nothing of the job has run besides, in milliseconds.
        starved_ms: Span,
        /// The image of the step.
        image: String,
        /// What keeps the workers from taking the first of them.
        obstacles: Obstacles,
    },
    /// A task has waited too long for what is only expected, and is started all the same.
    Forced {
        /// The run.
        run: RunName,
        /// Its worker.
        worker: String,
        /// How long nothing of its job has run, in milliseconds.
        starved_ms: Span,
    },
    /// A run that was given to a worker has not been on its lists for long.
    Absent {
        /// The run.
        run: RunName,
        /// Its worker.
        worker: String,
        /// How long this leader has known it as placed and not listed, in milliseconds.
        absent_ms: Span,
        /// Whether there is a link to the worker's agent.
        linked: bool,
        /// Whether the worker answers its agent.
        answers: bool,
        /// Whether the agent knows of the run.
        known_to_agent: bool,
        /// Whether the run is to be stopped.
        stopping: bool,
        /// How often it was ordered to start or stop since the link opened.
        orders: u32,
    },
    /// A worker gets nothing for a while.
    Unhealthy {
        /// Its life.
        worker: String,
        /// For how long, in milliseconds.
        backoff_ms: Span,
    },
}

impl Decision {
    /// Its kind in one word, for figures.
    pub fn kind(&self) -> &'static str {
        match self {
            Decision::WorkerUp { .. } => "worker_up",
            Decision::WorkerLost { .. } => "worker_lost",
            Decision::Stalled { .. } => "stalled",
            Decision::Moved { .. } => "moved",
            Decision::Waiting { .. } => "waiting",
            Decision::Forced { .. } => "tried",
            Decision::Absent { .. } => "absent",
            Decision::Unhealthy { .. } => "sick",
        }
    }
}
