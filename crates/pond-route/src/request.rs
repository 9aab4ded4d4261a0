//! Requests in progress, and the results that callers get.

use pond_proto::wire::{Answer, Content, RequestId};
use pond_proto::{Micros, Outcome};

use crate::endpoint::{EndpointKey, ProcessKey};

/// A request as submitted by a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// Unique ID of the request.
    pub id: RequestId,
    /// Service, key, content type and body, as forwarded to the endpoint.
    pub content: Content,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Time at which the caller stops waiting.
    pub deadline: Micros,
}

/// Why a request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRun {
    /// The configuration in force here has no such service.
    NoService,
    /// No endpoint of the service accepts requests now.
    NoEndpoint,
    /// Too many requests are in progress.
    Overload,
    /// The deadline passed before the request could start.
    Expired,
    /// The request is not repeatable, and control could not decide its claim.
    NoQuorum,
    /// Another request with the same key is in progress, or ended without a stored answer.
    Held,
    /// The key was used before with a different body.
    KeyReused,
    /// Control's table of keys is full.
    ClaimsFull,
    /// This entry is stopping.
    Stopping,
    /// The entry has not received the configuration yet.
    NotReady,
}

/// The result of a request, as reported to its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Finish {
    /// The endpoint's complete answer.
    Answered(Answer),
    /// The request did not run and will not run.
    NotRun(NotRun),
    /// The request may have run; nothing more is known.
    Unknown,
}

impl Finish {
    /// Returns the outcome that this result promises to the caller.
    pub fn outcome(&self) -> Outcome {
        match self {
            Finish::Answered(_) => Outcome::Answered,
            Finish::NotRun(_) => Outcome::NotRun,
            Finish::Unknown => Outcome::Unknown,
        }
    }
}

/// The state of an offer, as far as the entry knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OfferState {
    /// The endpoint process has the offer.
    Open,
    /// The link was lost. The fate of the offer has been asked for, or cannot be until the link is
    /// back.
    Unresolved,
    /// The offer may have run, and its answer is lost.
    Broken,
}

/// An offer of a request that was sent to an endpoint process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentOffer {
    pub attempt: u32,
    pub endpoint: EndpointKey,
    pub process: ProcessKey,
    /// Incarnation of the process that the offer was sent to.
    pub incarnation: u64,
    pub at: Micros,
    pub state: OfferState,
}

/// What a pending request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Control's decision on its claim.
    Claiming,
    /// An endpoint with a free slot.
    Waiting,
    /// An answer to one of its offers.
    Offered,
}

/// A request in progress.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    pub request: Request,
    pub arrived: Micros,
    pub stage: Stage,
    pub claimed: bool,
    /// Whether another request held the claim when control was last asked.
    pub held: bool,
    pub attempts: u32,
    pub offers: Vec<SentOffer>,
    pub hedged: bool,
    /// The answer of an endpoint that failed; used if no retry gives a better one.
    pub failure: Option<Answer>,
    pub revoked: bool,
    pub not_before: Micros,
    /// Time of the next timer for this request.
    pub wake: Micros,
    /// Why its last offer did not run.
    pub reason: NotRun,
}

impl Pending {
    pub(crate) fn new(request: Request, now: Micros) -> Pending {
        Pending {
            request,
            arrived: now,
            stage: Stage::Waiting,
            claimed: false,
            held: false,
            attempts: 0,
            offers: Vec::new(),
            hedged: false,
            failure: None,
            revoked: false,
            not_before: Micros(0),
            wake: Micros(0),
            reason: NotRun::NoEndpoint,
        }
    }

    /// Returns the result to report instead of `finish`, so that a request that may have run is never
    /// reported as not run.
    pub(crate) fn reconcile(&mut self, finish: Finish) -> Finish {
        match (finish, self.failure.take()) {
            (Finish::NotRun(_) | Finish::Unknown, Some(answer)) => Finish::Answered(answer),
            (Finish::NotRun(_), None) if !self.offers.is_empty() => Finish::Unknown,
            (finish, _) => finish,
        }
    }
}
