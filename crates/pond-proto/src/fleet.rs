//! Messages about jobs between entries, agents and control replicas.

use prost::{Message, Oneof};

use crate::job::{EndReason, Phase, RunName, Spec};

/// The host and path of a caller's request about jobs. Control selects the queue by them.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Target {
    /// Host from the caller's request.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Complete path from the caller's request.
    #[prost(string, tag = "2")]
    pub path: String,
}

/// A caller's request about jobs, sent from an entry to control.
#[derive(Clone, PartialEq, Message)]
pub struct JobRequest {
    /// Correlates the request with its [`JobReply`].
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// Host and path that the caller addressed.
    #[prost(message, required, tag = "2")]
    pub target: Target,
    /// The requested operation.
    #[prost(oneof = "Verb", tags = "3,4,5,6")]
    pub verb: Option<Verb>,
    /// Whether the entry knows [`Outcome::Rejected`]. Entries of earlier versions would read it as
    /// [`Outcome::Accepted`].
    #[prost(bool, tag = "7")]
    pub understands_rejection: bool,
}

/// A reference to a job in a request.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct JobRef {
    /// Job id, chosen by the job's owner.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
}

/// Submits a job.
#[derive(Clone, PartialEq, Message)]
pub struct Submit {
    /// Job id, chosen by the job's owner.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Description of the job.
    #[prost(message, required, tag = "2")]
    pub spec: Spec,
}

/// Counts the jobs of a queue in which no task has started yet.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Count {}

/// The operation that a caller requests.
#[derive(Clone, PartialEq, Oneof)]
pub enum Verb {
    /// Submit a job.
    #[prost(message, tag = "3")]
    Submit(Submit),
    /// Return the phase of a job.
    #[prost(message, tag = "4")]
    Look(JobRef),
    /// Cancel a job.
    #[prost(message, tag = "5")]
    Cancel(JobRef),
    /// Count the jobs that wait in the queue.
    #[prost(message, tag = "6")]
    Count(Count),
}

/// The result of a [`JobRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Outcome {
    /// The job or its cancellation is accepted and durable.
    Accepted = 0,
    /// No queue is configured for the target.
    NoQueue = 1,
    /// The cluster has no configuration yet.
    NotConfigured = 2,
    /// The job does not exist.
    NoJob = 3,
    /// The reply holds the job's phase.
    Known = 4,
    /// The reply holds the number of waiting jobs.
    Counted = 5,
    /// This replica is not the leader and has changed nothing.
    NotLeader = 6,
    /// The job's description is invalid.
    Invalid = 7,
    /// The job could not be done in time; it has not run and will not run. Or the cancellation of a job that is not
    /// known could not be kept.
    Rejected = 8,
}

/// The reply to a [`JobRequest`], sent from control to an entry.
#[derive(Clone, PartialEq, Message)]
pub struct JobReply {
    /// Ticket of the request.
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// Result of the request.
    #[prost(enumeration = "Outcome", tag = "2")]
    pub outcome: i32,
    /// Phase of the job, if the outcome is [`Outcome::Known`].
    #[prost(enumeration = "Phase", tag = "3")]
    pub phase: i32,
    /// Number of waiting jobs, if the outcome is [`Outcome::Counted`].
    #[prost(uint64, tag = "4")]
    pub count: u64,
    /// Time after which to send the request again, in milliseconds, if the outcome is
    /// [`Outcome::Rejected`].
    #[prost(uint64, tag = "5")]
    pub retry_after_ms: u64,
}

/// The current leader and the addresses of the replicas, sent by control to all other processes.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LeaderInfo {
    /// Address at which the leader accepts internal links; empty if the leader is unknown.
    #[prost(string, tag = "1")]
    pub leader: String,
    /// Addresses of all control replicas.
    #[prost(string, repeated, tag = "2")]
    pub replicas: Vec<String>,
    /// Term of the sender.
    #[prost(uint64, tag = "3")]
    pub term: u64,
    /// Whether the sender is the leader and may answer requests.
    #[prost(bool, tag = "4")]
    pub is_leader: bool,
    /// Whether the sender has a configuration.
    #[prost(bool, tag = "5")]
    pub configured: bool,
}

/// The state of a run as reported by its worker.
#[derive(Clone, PartialEq, Message)]
pub struct RunRow {
    /// The run.
    #[prost(message, required, tag = "1")]
    pub run: RunName,
    /// Latest checkpoint of the run; empty if there is none.
    #[prost(string, tag = "2")]
    pub checkpoint: String,
    /// Progress in percent.
    #[prost(uint32, tag = "3")]
    pub percent: u32,
    /// For a serving task, its tail latency in milliseconds; for other tasks, their processor use
    /// in thousandths of a processor. Measured over the last 500 ms.
    #[prost(uint32, tag = "4")]
    pub measurement: u32,
    /// Whether the run has been ordered but the worker has not listed it yet.
    #[prost(bool, tag = "5")]
    pub unlisted: bool,
    /// Time in milliseconds that the worker is known to have survived since the run was first known
    /// to be on it.
    #[prost(uint32, tag = "6")]
    pub survived_ms: u32,
    /// Whether no call to start the run can have reached the worker.
    #[prost(bool, tag = "7")]
    pub unsent: bool,
    /// Whether the worker answered a call shortly before the last call to start the run, or after
    /// it. Such a worker was not down before the run started.
    #[prost(bool, tag = "8")]
    pub confirmed_up: bool,
}

/// The end of a run on a worker.
#[derive(Clone, PartialEq, Message)]
pub struct EndRow {
    /// Sequence number of the end within one incarnation of the worker, starting at 1.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The run.
    #[prost(message, required, tag = "2")]
    pub run: RunName,
    /// Reason for the end.
    #[prost(enumeration = "EndReason", tag = "3")]
    pub how: i32,
    /// Latest checkpoint of the run; empty if there is none.
    #[prost(string, tag = "4")]
    pub checkpoint: String,
}

/// The state of a worker, sent by its agent to control.
#[derive(Clone, PartialEq, Message)]
pub struct Report {
    /// Incarnation of the worker.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Pool of the worker.
    #[prost(string, tag = "2")]
    pub pool: String,
    /// Processor capacity in thousandths of a processor.
    #[prost(uint32, tag = "3")]
    pub milli_cpu: u32,
    /// Memory capacity in MiB.
    #[prost(uint32, tag = "4")]
    pub memory_mib: u32,
    /// Number of accelerators.
    #[prost(uint32, tag = "5")]
    pub accelerators: u32,
    /// Labels of the worker: its kind and its rack.
    #[prost(string, repeated, tag = "6")]
    pub labels: Vec<String>,
    /// Whether the worker is draining: it is about to leave and starts no more runs.
    #[prost(bool, tag = "7")]
    pub draining: bool,
    /// A reading of the worker's clock in milliseconds, taken no later than the report.
    #[prost(uint64, tag = "8")]
    pub clock_ms: u64,
    /// Whether the worker answers the agent's calls.
    #[prost(bool, tag = "9")]
    pub responsive: bool,
    /// Whether this incarnation of the worker has ended. The report then holds only the runs that
    /// were last on the worker and the ends that are not known to be committed.
    #[prost(bool, tag = "10")]
    pub gone: bool,
    /// Runs that are ordered or running.
    #[prost(message, repeated, tag = "11")]
    pub runs: Vec<RunRow>,
    /// Ends that are not yet committed.
    #[prost(message, repeated, tag = "12")]
    pub ends: Vec<EndRow>,
    /// Runs that were ordered but have not started and will not start.
    #[prost(message, repeated, tag = "13")]
    pub unstarted: Vec<RunName>,
    /// Data centre of the worker.
    #[prost(string, tag = "14")]
    pub data_centre: String,
    /// Minimum time in milliseconds until a draining worker leaves.
    #[prost(uint64, tag = "15")]
    pub remaining_ms: u64,
    /// Whether the ended incarnation had announced that it would leave.
    #[prost(bool, tag = "16")]
    pub deregistered: bool,
    /// Whether the lease that the worker holds has certainly expired, so that none of its runs is
    /// running any more.
    #[prost(bool, tag = "17")]
    pub lapsed: bool,
    /// How often that has happened to this incarnation since its agent started.
    #[prost(uint32, tag = "18")]
    pub lapses: u32,
}

/// An order to start a run on a worker.
#[derive(Clone, PartialEq, Message)]
pub struct StartOrder {
    /// The run.
    #[prost(message, required, tag = "1")]
    pub run: RunName,
    /// Text of the job's description, passed to the task.
    #[prost(string, tag = "2")]
    pub text: String,
    /// Checkpoint to resume from; empty if there is none.
    #[prost(string, tag = "3")]
    pub checkpoint: String,
    /// How the agent monitors the run.
    #[prost(message, required, tag = "4")]
    pub watch: Watch,
    /// Token that the worker requires before it runs a step that needs an adviser's permission;
    /// empty if the step needs none.
    #[prost(string, tag = "5")]
    pub ticket: String,
}

/// How an agent monitors a run.
#[derive(Clone, PartialEq, Message)]
pub struct Watch {
    /// The run.
    #[prost(message, required, tag = "1")]
    pub run: RunName,
    /// Tail latency target of a serving task in milliseconds; zero if it has none.
    #[prost(uint32, tag = "2")]
    pub tail_target_ms: u32,
    /// Whether the run is best-effort: it uses only processor time that other runs leave idle.
    #[prost(bool, tag = "3")]
    pub best_effort: bool,
    /// Image of the run. Best-effort runs of one image are throttled together.
    #[prost(string, tag = "4")]
    pub image: String,
    /// Expected increase, in thousandths, of the utilization of the co-located serving run that a
    /// best-effort run affects most.
    #[prost(uint32, tag = "5")]
    pub interference_permille: u32,
    /// Survival time of the worker with the run, in milliseconds, after which the agent sends a
    /// report immediately; zero if no such report is needed.
    #[prost(uint32, tag = "6")]
    pub report_after_ms: u32,
}

/// Instructions for a worker, sent by control to its agent.
#[derive(Clone, PartialEq, Message)]
pub struct Order {
    /// Incarnation of the worker that the order applies to.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Term of the sender, used as a fencing token.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Lease for all runs on the worker: the time on the worker's clock, in milliseconds, until
    /// which they may run; zero leaves the lease unchanged.
    #[prost(uint64, tag = "3")]
    pub lease_end_ms: u64,
    /// Ends up to this sequence number are committed.
    #[prost(uint64, tag = "4")]
    pub committed: u64,
    /// Runs to start. A run that was ordered before is not started again.
    #[prost(message, repeated, tag = "5")]
    pub starts: Vec<StartOrder>,
    /// Runs to stop, including those that have not started.
    #[prost(message, repeated, tag = "6")]
    pub stops: Vec<RunName>,
    /// Unstarted runs that control has recorded, so that the agent need not report them again.
    #[prost(message, repeated, tag = "7")]
    pub forget: Vec<RunName>,
    /// Updated monitoring settings for runs that are already started.
    #[prost(message, repeated, tag = "8")]
    pub watches: Vec<Watch>,
    /// How far beyond its last known clock the agent extends the lease of the worker at a time, in
    /// milliseconds; zero for as far as the lease goes.
    #[prost(uint64, tag = "9")]
    pub extension_ms: u64,
    /// How often the worker's lease had expired according to the last report that control has
    /// received. The starts of an order that does not know of the last time are not carried out.
    #[prost(uint32, tag = "10")]
    pub lapses: u32,
}
