//! Messages between the processes of pondbay.
//!
//! A frame consists of a length (4 bytes, big endian) and a prost message. The structs are written
//! by hand, so the build needs no code generator.

use prost::{Message, Oneof};

use crate::{fleet, quorum, view};

/// Protocol version; both sides of a link must use the same.
pub const VERSION: u32 = 1;

/// The identity of a request: the incarnation of the entry and a sequence number within it.
///
/// It is unique across restarts because an entry draws a random incarnation at each start.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Message)]
pub struct RequestId {
    /// Incarnation of the entry that received the request.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Sequence number of the request within that incarnation.
    #[prost(uint64, tag = "2")]
    pub number: u64,
}

/// The role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Role {
    /// Control replica: holds the replicated state.
    Control = 0,
    /// Entry: receives the requests of callers.
    Entry = 1,
    /// Endpoint process: forwards requests to the endpoints of one VM.
    Endpoint = 2,
    /// Agent: controls one worker on its VM.
    Agent = 3,
}

/// The first frame in each direction of a link.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// Protocol version; see [`VERSION`].
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// Role of the sender.
    #[prost(enumeration = "Role", tag = "2")]
    pub role: i32,
    /// Name of the sender in its settings.
    #[prost(string, tag = "3")]
    pub name: String,
    /// Incarnation of the sender.
    #[prost(fixed64, tag = "4")]
    pub incarnation: u64,
    /// Data centre of the sender.
    #[prost(string, tag = "5")]
    pub data_centre: String,
    /// Shared token of internal links; empty if none is configured.
    #[prost(string, tag = "6")]
    pub token: String,
    /// Address at which the sender accepts internal links, as `ip:port`; empty if it accepts none.
    #[prost(string, tag = "7")]
    pub address: String,
}

/// A caller's request that an entry offers to an endpoint.
#[derive(Clone, PartialEq, Message)]
pub struct Offer {
    /// Identity of the request; a retry is a new offer with a new `attempt`.
    #[prost(message, required, tag = "1")]
    pub id: RequestId,
    /// Number of this offer among the offers of the request.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Task of the endpoint that should run the request.
    #[prost(uint64, tag = "3")]
    pub task: u64,
    /// Remaining time of the request in milliseconds; it is not started once this time has passed.
    #[prost(uint32, tag = "4")]
    pub remaining_ms: u32,
    /// Content that is forwarded to the endpoint.
    #[prost(message, required, tag = "5")]
    pub content: Content,
    /// Lowest sequence number of this incarnation whose request may still be queried; the fates of
    /// requests below it need not be kept.
    #[prost(uint64, tag = "6")]
    pub oldest_open: u64,
}

/// The part of a request that is forwarded to the endpoint.
#[derive(Clone, PartialEq, Message)]
pub struct Content {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// `Content-Type` of the body; empty if there is none.
    #[prost(string, tag = "2")]
    pub content_type: String,
    /// Idempotency key of the caller; empty if there is none.
    #[prost(string, tag = "3")]
    pub key: String,
    /// Body of the request.
    #[prost(bytes = "vec", tag = "4")]
    pub body: Vec<u8>,
}

/// The identity of an offer.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Message)]
pub struct OfferId {
    /// Identity of the request.
    #[prost(message, required, tag = "1")]
    pub id: RequestId,
    /// Number of the offer within the request.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
}

/// Why an endpoint process refused an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Refusal {
    /// All slots are in use and the queue is full.
    Full = 0,
    /// The endpoint or its endpoint process is leaving.
    Leaving = 1,
    /// The endpoint process does not know the endpoint.
    NoEndpoint = 2,
    /// The deadline passed before the request started.
    Expired = 3,
    /// The entry revoked the offer before the request started.
    Revoked = 4,
    /// The endpoint process could not connect to the endpoint.
    Unreachable = 5,
}

/// Refuses an offer: the request did not run and will not run under it.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Refused {
    /// Identity of the offer.
    #[prost(message, required, tag = "1")]
    pub offer: OfferId,
    /// Reason for the refusal.
    #[prost(enumeration = "Refusal", tag = "2")]
    pub refusal: i32,
    /// New limit on the entry's open offers at the endpoint; see [`Answer::grant`].
    #[prost(uint32, tag = "3")]
    pub grant: u32,
}

/// The complete answer of an endpoint.
#[derive(Clone, PartialEq, Message)]
pub struct Answer {
    /// Identity of the offer.
    #[prost(message, required, tag = "1")]
    pub offer: OfferId,
    /// HTTP status code of the answer.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// `Content-Type` of the body; empty if there is none.
    #[prost(string, tag = "3")]
    pub content_type: String,
    /// Complete body of the answer.
    #[prost(bytes = "vec", tag = "4")]
    pub body: Vec<u8>,
    /// Service time of the endpoint in microseconds.
    #[prost(uint32, tag = "5")]
    pub service_us: u32,
    /// Number of offers running and queued at the endpoint when the answer was sent.
    #[prost(uint32, tag = "6")]
    pub load: u32,
    /// New limit on the entry's open offers at the endpoint: those that it has there and its share
    /// of the free slots.
    #[prost(uint32, tag = "7")]
    pub grant: u32,
    /// Time that the offer waited for a slot, in microseconds.
    #[prost(uint32, tag = "8")]
    pub queue_us: u32,
}

/// The request was started but its answer was lost.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct AnswerLost {
    /// Identity of the offer.
    #[prost(message, required, tag = "1")]
    pub offer: OfferId,
}

/// Queries the fates of open offers after a link was lost.
#[derive(Clone, PartialEq, Message)]
pub struct FateRequest {
    /// Identities of the offers.
    #[prost(message, repeated, tag = "1")]
    pub offers: Vec<OfferId>,
}

/// The fate of an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Fate {
    /// The offer did not start in this incarnation of the endpoint process and will not start.
    NotRun = 0,
    /// The offer started; its answer will be sent on this link.
    Running = 1,
    /// The offer started, but its answer is lost.
    Lost = 2,
}

/// The reply to a [`FateRequest`] for one offer.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct FateReply {
    /// Identity of the offer.
    #[prost(message, required, tag = "1")]
    pub offer: OfferId,
    /// Fate of the offer; see [`Fate`].
    #[prost(enumeration = "Fate", tag = "2")]
    pub fate: i32,
}

/// Announces that the sender accepts no new offers.
#[derive(Clone, PartialEq, Message)]
pub struct Leave {
    /// Task of the leaving endpoint; zero if the whole endpoint process is leaving.
    #[prost(uint64, tag = "1")]
    pub task: u64,
}

/// Keeps a link alive and reports the current leader.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// Address of the leader as known to the sender; empty if unknown.
    #[prost(string, tag = "1")]
    pub leader: String,
    /// Term of the leader.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Index of the sender's latest snapshot; set between control replicas.
    #[prost(uint64, tag = "3")]
    pub snapshot_index: u64,
    /// Checksum of the replicated state at that index.
    #[prost(uint32, tag = "4")]
    pub checksum: u32,
}

/// Acknowledges that the sender has applied a version of the view.
#[derive(Clone, PartialEq, Message)]
pub struct ViewAck {
    /// Applied version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Leaving endpoints of the sender that have no running or queued request left.
    #[prost(uint64, repeated, tag = "2")]
    pub drained: Vec<u64>,
}

/// Requests a claim: the right to run a request that is not repeatable.
#[derive(Clone, PartialEq, Message)]
pub struct ClaimRequest {
    /// Correlates the request with its [`ClaimReply`]; unique within the requesting process.
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// Name of the service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Idempotency key of the caller.
    #[prost(string, tag = "3")]
    pub key: String,
    /// Checksum of the request's body. The same key with a different body is refused.
    #[prost(uint32, tag = "4")]
    pub digest: u32,
    /// Identity of the request that would run.
    #[prost(message, required, tag = "5")]
    pub id: RequestId,
}

/// Records the end of a claimed request.
#[derive(Clone, PartialEq, Message)]
pub struct ClaimEnd {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Idempotency key of the caller.
    #[prost(string, tag = "2")]
    pub key: String,
    /// Identity of the request that holds the claim.
    #[prost(message, required, tag = "3")]
    pub id: RequestId,
    /// Whether the request did not run, so that the claim is released.
    #[prost(bool, tag = "4")]
    pub not_run: bool,
    /// Answer of the endpoint, if it is small enough to be stored.
    #[prost(message, optional, tag = "5")]
    pub answer: Option<Answer>,
}

/// The decision on a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Verdict {
    /// The claim is granted and the request may run.
    Granted = 0,
    /// Another request holds the claim and has not ended.
    Held = 1,
    /// The request has already run; its answer is included.
    Answered = 2,
    /// The request ran or may have run, but its answer was not stored.
    Ended = 3,
    /// The same key was used with a different body.
    Mismatch = 4,
    /// The claim table is full.
    Full = 5,
    /// No quorum is available, or this replica is not the leader.
    NoQuorum = 6,
}

/// The reply to a [`ClaimRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct ClaimReply {
    /// Ticket of the request.
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// Decision on the claim; see [`Verdict`].
    #[prost(enumeration = "Verdict", tag = "2")]
    pub verdict: i32,
    /// Stored answer of the endpoint.
    #[prost(message, optional, tag = "3")]
    pub answer: Option<Answer>,
}

/// The content of a frame.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// Opens a link; sent by both sides.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Keeps a link alive.
    #[prost(message, tag = "2")]
    Heartbeat(Heartbeat),
    /// Entry to endpoint process.
    #[prost(message, tag = "3")]
    Offer(Offer),
    /// Entry to endpoint process: withdraws an offer that has not started.
    #[prost(message, tag = "4")]
    Revoke(OfferId),
    /// Endpoint process to entry.
    #[prost(message, tag = "5")]
    Refused(Refused),
    /// Endpoint process to entry.
    #[prost(message, tag = "6")]
    Answer(Answer),
    /// Endpoint process to entry.
    #[prost(message, tag = "7")]
    AnswerLost(AnswerLost),
    /// Entry to endpoint process.
    #[prost(message, tag = "8")]
    FateRequest(FateRequest),
    /// Endpoint process to entry.
    #[prost(message, tag = "9")]
    FateReply(FateReply),
    /// Endpoint process to entry.
    #[prost(message, tag = "10")]
    Leave(Leave),
    /// Control to entries and endpoint processes.
    #[prost(message, tag = "11")]
    View(view::Delta),
    /// Entries and endpoint processes to control.
    #[prost(message, tag = "12")]
    ViewAck(ViewAck),
    /// Entry to control.
    #[prost(message, tag = "13")]
    ClaimRequest(ClaimRequest),
    /// Entry to control.
    #[prost(message, tag = "14")]
    ClaimEnd(ClaimEnd),
    /// Control to entry.
    #[prost(message, tag = "15")]
    ClaimReply(ClaimReply),
    /// Control replica to control replica.
    #[prost(message, tag = "16")]
    Quorum(quorum::Envelope),
    /// Entry to control: a caller's request about jobs.
    #[prost(message, tag = "17")]
    JobRequest(fleet::JobRequest),
    /// Control to entry.
    #[prost(message, tag = "18")]
    JobReply(fleet::JobReply),
    /// Agent to control.
    #[prost(message, tag = "19")]
    Report(fleet::Report),
    /// Control to agent.
    #[prost(message, tag = "20")]
    Order(fleet::Order),
    /// Control to entries and agents.
    #[prost(message, tag = "21")]
    LeaderInfo(fleet::LeaderInfo),
}

/// A frame of the protocol.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// Content of the frame. A frame of an unknown kind decodes to `None` and is a protocol error.
    #[prost(oneof = "Body", tags = "1,2,3,4,5,6,7,8,9,10,11,12,13,14,15,16,17,18,19,20,21")]
    pub body: Option<Body>,
}

impl Frame {
    /// Creates a frame with the given content.
    pub fn new(body: Body) -> Frame {
        Frame { body: Some(body) }
    }
}
