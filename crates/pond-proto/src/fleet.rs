//! Frames about jobs: between entries, agents and control replicas.

use prost::{Message, Oneof};

use crate::job::{EndReason, Phase, RunName, Spec};

/// Where a caller's request about jobs is directed: control finds the queue by it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Target {
    /// The host that the caller named.
    #[prost(string, tag = "1")]
    pub host: String,
    /// The whole path that the caller named.
    #[prost(string, tag = "2")]
    pub path: String,
}

/// Entry to control: a caller's request about jobs.
#[derive(Clone, PartialEq, Message)]
pub struct JobRequest {
    /// Comes back in [`JobReply`].
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// Where it is directed.
    #[prost(message, required, tag = "2")]
    pub target: Target,
    /// What is asked.
    #[prost(oneof = "Verb", tags = "3,4,5,6")]
    pub verb: Option<Verb>,
}

/// Names a job in a request.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct JobRef {
    /// The job's id.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
}

/// A job that is handed in.
#[derive(Clone, PartialEq, Message)]
pub struct Submit {
    /// The id that its owner chose.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// What it consists of.
    #[prost(message, required, tag = "2")]
    pub spec: Spec,
}

/// Counts the jobs of a queue of which no task has begun.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Count {}

/// What a caller wants.
#[derive(Clone, PartialEq, Oneof)]
pub enum Verb {
    /// Hand in a job.
    #[prost(message, tag = "3")]
    Submit(Submit),
    /// Tell the phase of a job.
    #[prost(message, tag = "4")]
    Look(JobRef),
    /// Cancel a job.
    #[prost(message, tag = "5")]
    Cancel(JobRef),
    /// Count waiting jobs.
    #[prost(message, tag = "6")]
    Count(Count),
}

/// What became of an [`JobRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Outcome {
    /// The job is accepted, or its cancelling is; it lasts.
    Accepted = 0,
    /// No queue is at that target.
    NoQueue = 1,
    /// There is no configuration yet.
    NotConfigured = 2,
    /// No such job exists.
    NoJob = 3,
    /// The phase is told.
    Known = 4,
    /// The count is told.
    Counted = 5,
    /// This replica does not lead, and nothing was done.
    NotLeader = 6,
    /// The job cannot be run as it is described.
    Invalid = 7,
}

/// Control to entry: the answer to an [`JobRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct JobReply {
    /// The ask's.
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// What became of it.
    #[prost(enumeration = "Outcome", tag = "2")]
    pub outcome: i32,
    /// The phase, with [`Outcome::Known`].
    #[prost(enumeration = "Phase", tag = "3")]
    pub phase: i32,
    /// The count, with [`Outcome::Counted`].
    #[prost(uint64, tag = "4")]
    pub count: u64,
}

/// Control to everyone: who leads, and where the replicas are.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LeaderInfo {
    /// Address of the leader's internal links; empty if none is known.
    #[prost(string, tag = "1")]
    pub leader: String,
    /// Addresses of all replicas.
    #[prost(string, repeated, tag = "2")]
    pub replicas: Vec<String>,
    /// The sender's term.
    #[prost(uint64, tag = "3")]
    pub term: u64,
    /// Whether the sender leads and may answer.
    #[prost(bool, tag = "4")]
    pub is_leader: bool,
    /// Whether the sender holds a configuration.
    #[prost(bool, tag = "5")]
    pub configured: bool,
}

/// A run as a worker sees it.
#[derive(Clone, PartialEq, Message)]
pub struct RunRow {
    /// The run.
    #[prost(message, required, tag = "1")]
    pub run: RunName,
    /// The newest save of its progress; empty for none.
    #[prost(string, tag = "2")]
    pub checkpoint: String,
    /// EndReason far it is, in percent.
    #[prost(uint32, tag = "3")]
    pub percent: u32,
    /// Tail of the answer times of a serving task in milliseconds, else thousandths of a processor
    /// in use; over the last half second.
    #[prost(uint32, tag = "4")]
    pub measurement: u32,
    /// The worker has not listed it yet; its agent tells of it because it was ordered.
    #[prost(bool, tag = "5")]
    pub unlisted: bool,
    /// For how long the worker has been known to live on since the run was first known to be there, in
    /// milliseconds.
    #[prost(uint32, tag = "6")]
    pub survived_ms: u32,
    /// No call to start it can have reached the worker.
    #[prost(bool, tag = "7")]
    pub unsent: bool,
    /// The worker has answered a call just before the last call to start it, or since: it was not down
    /// already.
    #[prost(bool, tag = "8")]
    pub confirmed_up: bool,
}

/// The end of a run at a worker.
#[derive(Clone, PartialEq, Message)]
pub struct EndRow {
    /// Counts the ends of one life of the worker, from one.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The run.
    #[prost(message, required, tag = "2")]
    pub run: RunName,
    /// EndReason it ended.
    #[prost(enumeration = "EndReason", tag = "3")]
    pub how: i32,
    /// The newest save of its progress; empty for none.
    #[prost(string, tag = "4")]
    pub checkpoint: String,
}

/// Agent to control: all that it knows of its worker.
#[derive(Clone, PartialEq, Message)]
pub struct Report {
    /// This life of the worker.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// The pool that it belongs to.
    #[prost(string, tag = "2")]
    pub pool: String,
    /// Its room: thousandths of a processor.
    #[prost(uint32, tag = "3")]
    pub milli_cpu: u32,
    /// Its room: memory in MiB.
    #[prost(uint32, tag = "4")]
    pub memory_mib: u32,
    /// Its room: accelerators.
    #[prost(uint32, tag = "5")]
    pub accelerators: u32,
    /// Its labels: its kind and its rack.
    #[prost(string, repeated, tag = "6")]
    pub labels: Vec<String>,
    /// It will leave and starts nothing more.
    #[prost(bool, tag = "7")]
    pub draining: bool,
    /// Time on the worker's clock, not later than the report, in milliseconds.
    #[prost(uint64, tag = "8")]
    pub clock_ms: u64,
    /// The worker answers the agent's calls.
    #[prost(bool, tag = "9")]
    pub responsive: bool,
    /// This life of the worker is over. The report holds the runs that it had at last and the ends that are not
    /// known to be settled, and nothing else of it.
    #[prost(bool, tag = "10")]
    pub gone: bool,
    /// Runs that were ordered or run.
    #[prost(message, repeated, tag = "11")]
    pub runs: Vec<RunRow>,
    /// Ends that are not yet settled.
    #[prost(message, repeated, tag = "12")]
    pub ends: Vec<EndRow>,
    /// Runs that were ordered, never started and never will.
    #[prost(message, repeated, tag = "13")]
    pub unstarted: Vec<RunName>,
    /// The data centre of the worker.
    #[prost(string, tag = "14")]
    pub data_centre: String,
    /// The time that a draining worker has left at least, in milliseconds.
    #[prost(uint64, tag = "15")]
    pub remaining_ms: u64,
    /// The life that is over had said that it would leave.
    #[prost(bool, tag = "16")]
    pub deregistered: bool,
}

/// A run that a worker should start.
#[derive(Clone, PartialEq, Message)]
pub struct StartOrder {
    /// The run.
    #[prost(message, required, tag = "1")]
    pub run: RunName,
    /// The job's text.
    #[prost(string, tag = "2")]
    pub text: String,
    /// The save to go on from; empty for none.
    #[prost(string, tag = "3")]
    pub checkpoint: String,
    /// EndReason the agent should watch it.
    #[prost(message, required, tag = "4")]
    pub watch: Watch,
    /// What the worker wants to see before it runs a step that an adviser must allow; empty for
    /// none.
    #[prost(string, tag = "5")]
    pub ticket: String,
}

/// EndReason an agent should watch a run.
#[derive(Clone, PartialEq, Message)]
pub struct Watch {
    /// The run.
    #[prost(message, required, tag = "1")]
    pub run: RunName,
    /// The target of a serving task in milliseconds; zero for none.
    #[prost(uint32, tag = "2")]
    pub tail_target_ms: u32,
    /// Whether it fills what others leave.
    #[prost(bool, tag = "3")]
    pub best_effort: bool,
    /// Its image; filling runs of one image are slowed down together.
    #[prost(string, tag = "4")]
    pub image: String,
    /// EndReason much a filling run is expected to add to the pressure on the serving ones beside it, the
    /// worst of them, in thousandths.
    #[prost(uint32, tag = "5")]
    pub interference_permille: u32,
    /// Report at once when the worker has lived on with the run for this long, in milliseconds; zero for
    /// a run of which that is no news.
    #[prost(uint32, tag = "6")]
    pub report_after_ms: u32,
}

/// Control to agent: what its worker should do.
#[derive(Clone, PartialEq, Message)]
pub struct Order {
    /// The life of the worker that it is for.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// The sender's term, used as fencing token.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Everything at the worker may run until this time on its clock; zero to leave it as it is.
    #[prost(uint64, tag = "3")]
    pub lease_end_ms: u64,
    /// Ends up to this number are settled.
    #[prost(uint64, tag = "4")]
    pub committed: u64,
    /// Runs to start; one that was ordered before is not started again.
    #[prost(message, repeated, tag = "5")]
    pub starts: Vec<StartOrder>,
    /// Runs to stop, also if they have not started.
    #[prost(message, repeated, tag = "6")]
    pub stops: Vec<RunName>,
    /// Unstarted runs that control knows of, so that they need not be reported again.
    #[prost(message, repeated, tag = "7")]
    pub forget: Vec<RunName>,
    /// EndReason to watch runs that were started before.
    #[prost(message, repeated, tag = "8")]
    pub watches: Vec<Watch>,
}
