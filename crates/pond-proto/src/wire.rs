//! Messages between pondbay's own processes.
//!
//! Every frame is a length (4 bytes, big endian) and a prost message. The structs are written
//! by hand, so that the build needs no generator.

use prost::{Message, Oneof};

use crate::{fleet, quorum, view};

/// The version of this protocol; both sides of a link must speak the same.
pub const VERSION: u32 = 1;

/// The identity of a request: the entry's life and a count within it.
///
/// Unique across restarts, since a life is drawn at random at each start.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Message)]
pub struct RequestId {
    /// The life of the entry that took the request in.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Its number within that life.
    #[prost(uint64, tag = "2")]
    pub number: u64,
}

/// The role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Role {
    /// A replica of the control state.
    Control = 0,
    /// Takes in callers' requests.
    Entry = 1,
    /// Stands beside the endpoints of one VM.
    Endpoint = 2,
    /// Stands beside one worker and gives it its orders.
    Agent = 3,
}

/// First frame in both directions.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// See [`VERSION`].
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// Role of the sender.
    #[prost(enumeration = "Role", tag = "2")]
    pub role: i32,
    /// The sender's name from its settings.
    #[prost(string, tag = "3")]
    pub name: String,
    /// The sender's life.
    #[prost(fixed64, tag = "4")]
    pub incarnation: u64,
    /// The sender's data centre.
    #[prost(string, tag = "5")]
    pub data_centre: String,
    /// The shared token of internal links; empty where none is set.
    #[prost(string, tag = "6")]
    pub token: String,
    /// Where the sender takes internal links, as `ip:port`; empty where it takes none.
    #[prost(string, tag = "7")]
    pub address: String,
}

/// A caller's request, offered to an endpoint.
#[derive(Clone, PartialEq, Message)]
pub struct Offer {
    /// Its identity; a retry is a new offer with a new `attempt`.
    #[prost(message, required, tag = "1")]
    pub id: RequestId,
    /// Counts offers of one request.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// The endpoint that shall run it.
    #[prost(uint64, tag = "3")]
    pub task: u64,
    /// Milliseconds it may still take; it is not started after that.
    #[prost(uint32, tag = "4")]
    pub remaining_ms: u32,
    /// What is passed on.
    #[prost(message, required, tag = "5")]
    pub content: Content,
    /// Requests of the same life with a lower number are settled: nobody will ask for them.
    #[prost(uint64, tag = "6")]
    pub oldest_open: u64,
}

/// What of a request is passed on.
#[derive(Clone, PartialEq, Message)]
pub struct Content {
    /// The service's name.
    #[prost(string, tag = "1")]
    pub service: String,
    /// `Content-Type` of the body, if any.
    #[prost(string, tag = "2")]
    pub content_type: String,
    /// The caller's idempotency key, if any.
    #[prost(string, tag = "3")]
    pub key: String,
    /// The body.
    #[prost(bytes = "vec", tag = "4")]
    pub body: Vec<u8>,
}

/// Names one offer in messages about it.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Message)]
pub struct OfferId {
    /// The request.
    #[prost(message, required, tag = "1")]
    pub id: RequestId,
    /// The offer's number within the request.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
}

/// Why an endpoint process did not run an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Refusal {
    /// All slots are taken and the queue is full.
    Full = 0,
    /// The endpoint or its process is leaving.
    Leaving = 1,
    /// The process knows no such endpoint.
    NoEndpoint = 2,
    /// The deadline passed before it could start.
    Expired = 3,
    /// The entry revoked it before it started.
    Revoked = 4,
    /// The process could not connect to the endpoint.
    Unreachable = 5,
}

/// The offer did not run and will not run.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Refused {
    /// Which offer.
    #[prost(message, required, tag = "1")]
    pub offer: OfferId,
    /// Why.
    #[prost(enumeration = "Refusal", tag = "2")]
    pub refusal: i32,
    /// Offers that the entry may have open at the endpoint from now on; see [`Answer::grant`].
    #[prost(uint32, tag = "3")]
    pub grant: u32,
}

/// The endpoint's whole answer.
#[derive(Clone, PartialEq, Message)]
pub struct Answer {
    /// Which offer.
    #[prost(message, required, tag = "1")]
    pub offer: OfferId,
    /// The endpoint's HTTP status.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// `Content-Type` of the body, if any.
    #[prost(string, tag = "3")]
    pub content_type: String,
    /// The whole body.
    #[prost(bytes = "vec", tag = "4")]
    pub body: Vec<u8>,
    /// Microseconds that the endpoint took.
    #[prost(uint32, tag = "5")]
    pub service_us: u32,
    /// Offers running and queued at the endpoint when the answer left.
    #[prost(uint32, tag = "6")]
    pub load: u32,
    /// Offers that the entry may have open at the endpoint from now on: what it has there and its
    /// share of the free slots.
    #[prost(uint32, tag = "7")]
    pub grant: u32,
    /// Microseconds that the offer waited for a slot.
    #[prost(uint32, tag = "8")]
    pub queue_us: u32,
}

/// The offer started, and its answer was lost.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct AnswerLost {
    /// Which offer.
    #[prost(message, required, tag = "1")]
    pub offer: OfferId,
}

/// Asks for the fate of open offers after a link was lost.
#[derive(Clone, PartialEq, Message)]
pub struct FateRequest {
    /// The offers.
    #[prost(message, repeated, tag = "1")]
    pub offers: Vec<OfferId>,
}

/// What became of one offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Fate {
    /// It did not start in this life and will not start.
    NotRun = 0,
    /// It started; its answer follows on this link.
    Running = 1,
    /// It started and its answer is gone.
    Lost = 2,
}

/// Answer to [`FateRequest`] for one offer.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct FateReply {
    /// Which offer.
    #[prost(message, required, tag = "1")]
    pub offer: OfferId,
    /// What became of it.
    #[prost(enumeration = "Fate", tag = "2")]
    pub fate: i32,
}

/// The sender takes no new offers from now on.
#[derive(Clone, PartialEq, Message)]
pub struct Leave {
    /// The endpoint concerned; zero for all of the process.
    #[prost(uint64, tag = "1")]
    pub task: u64,
}

/// Tells a process who leads, and that a link is alive.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// The leader's address as far as the sender knows; empty if unknown.
    #[prost(string, tag = "1")]
    pub leader: String,
    /// The leader's term.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Index of the sender's last snapshot, between control replicas.
    #[prost(uint64, tag = "3")]
    pub snapshot_index: u64,
    /// Checksum of the replicated state at that index.
    #[prost(uint32, tag = "4")]
    pub checksum: u32,
}

/// Acknowledges that a view is in force at the sender.
#[derive(Clone, PartialEq, Message)]
pub struct ViewAck {
    /// The version in force.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Leaving endpoints at the sender that run and hold no request any more.
    #[prost(uint64, repeated, tag = "2")]
    pub drained: Vec<u64>,
}

/// Asks for the right to run a request that is not repeatable.
#[derive(Clone, PartialEq, Message)]
pub struct ClaimRequest {
    /// Number within the asking process.
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// The service's name.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The caller's idempotency key.
    #[prost(string, tag = "3")]
    pub key: String,
    /// Checksum of the request's body: the same key with another body is refused.
    #[prost(uint32, tag = "4")]
    pub digest: u32,
    /// The request that would run.
    #[prost(message, required, tag = "5")]
    pub id: RequestId,
}

/// Records how a claimed request ended.
#[derive(Clone, PartialEq, Message)]
pub struct ClaimEnd {
    /// The service's name.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The caller's idempotency key.
    #[prost(string, tag = "2")]
    pub key: String,
    /// The request that held the claim.
    #[prost(message, required, tag = "3")]
    pub id: RequestId,
    /// The request did not run: the claim is free again.
    #[prost(bool, tag = "4")]
    pub not_run: bool,
    /// The answer, if it is small enough to keep.
    #[prost(message, optional, tag = "5")]
    pub answer: Option<Answer>,
}

/// How a claim was decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Verdict {
    /// Run it.
    Granted = 0,
    /// Another request holds the claim and has not ended.
    Held = 1,
    /// It ran and the answer is here.
    Answered = 2,
    /// It ran, or may have run, and the answer was not kept.
    Ended = 3,
    /// The same key came with another body.
    Mismatch = 4,
    /// The table of claims is full.
    Full = 5,
    /// There is no quorum to ask, or this replica does not lead.
    NoQuorum = 6,
}

/// Answer to [`ClaimRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct ClaimReply {
    /// The ask's ticket.
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// The decision.
    #[prost(enumeration = "Verdict", tag = "2")]
    pub verdict: i32,
    /// The kept answer.
    #[prost(message, optional, tag = "3")]
    pub answer: Option<Answer>,
}

/// What a frame carries.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// Opens a link.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Keeps a link alive.
    #[prost(message, tag = "2")]
    Heartbeat(Heartbeat),
    /// Entry to endpoint process.
    #[prost(message, tag = "3")]
    Offer(Offer),
    /// Entry to endpoint process: do not start it.
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
    /// Between control replicas.
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

/// One frame.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// What it carries; a frame of an unknown kind decodes to none and is a protocol error.
    #[prost(oneof = "Body", tags = "1,2,3,4,5,6,7,8,9,10,11,12,13,14,15,16,17,18,19,20,21")]
    pub body: Option<Body>,
}

impl Frame {
    /// A frame that carries `body`.
    pub fn new(body: Body) -> Frame {
        Frame { body: Some(body) }
    }
}
