//! Requests on their way, and what their callers are told.

use pond_proto::wire::{Answer, Content, RequestId};
use pond_proto::{Micros, Outcome};

use crate::endpoint::{EndpointKey, ProcessKey};

/// A request as a caller made it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its identity.
    pub id: RequestId,
    /// What is passed on.
    pub content: Content,
    /// It may run more than once.
    pub repeatable: bool,
    /// When the caller stops waiting.
    pub deadline: Micros,
}

/// Why a request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRun {
    /// No such service is known here.
    NoService,
    /// No endpoint of the service takes requests now.
    NoEndpoint,
    /// Too many requests are under way.
    Overload,
    /// Its time was over before it could start.
    Expired,
    /// It is not repeatable and control could not be asked.
    NoQuorum,
    /// Another request with its key is under way or ended without a kept answer.
    Held,
    /// The key came with another body before.
    KeyReused,
    /// The table of keys is full.
    ClaimsFull,
    /// This entry is stopping.
    Stopping,
    /// The entry does not yet know the configuration.
    NotReady,
}

/// What a caller is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Finish {
    /// The endpoint's whole answer.
    Answered(Answer),
    /// It did not and will not run.
    NotRun(NotRun),
    /// It may have run; nothing more is known.
    Unknown,
}

impl Finish {
    /// The promise that goes with it.
    pub fn outcome(&self) -> Outcome {
        match self {
            Finish::Answered(_) => Outcome::Answered,
            Finish::NotRun(_) => Outcome::NotRun,
            Finish::Unknown => Outcome::Unknown,
        }
    }
}

/// Where an offer stands, as far as the entry knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OfferState {
    /// It is at the endpoint's process.
    Open,
    /// The link was lost; its fate is being asked or cannot be asked yet.
    Limbo,
    /// It may have run and its answer is lost.
    Broken,
}

/// One offer of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Offered {
    pub attempt: u32,
    pub endpoint: EndpointKey,
    pub process: ProcessKey,
    /// The life of the process that it was offered to.
    pub life: u64,
    pub at: Micros,
    pub state: OfferState,
}

/// What a request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The decision on its claim.
    Claiming,
    /// A free endpoint.
    Waiting,
    /// An answer.
    Offered,
}

/// A request that is under way.
#[derive(Clone, Debug)]
pub(crate) struct Flight {
    pub request: Request,
    pub arrived: Micros,
    pub stage: Stage,
    pub claimed: bool,
    /// Another request held the claim when it was last asked.
    pub held: bool,
    pub attempts: u32,
    pub offers: Vec<Offered>,
    pub hedged: bool,
    /// The answer of an endpoint that failed, in case no other endpoint gives a better one.
    pub failure: Option<Answer>,
    pub revoked: bool,
    pub not_before: Micros,
    /// When it is looked at again.
    pub wake: Micros,
    /// The last reason for which it did not run.
    pub reason: NotRun,
}

impl Flight {
    pub(crate) fn new(request: Request, now: Micros) -> Flight {
        Flight {
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

    /// What the caller may be told instead of `finish`: what has run is never called not run.
    pub(crate) fn truth(&mut self, finish: Finish) -> Finish {
        match (finish, self.failure.take()) {
            (Finish::NotRun(_) | Finish::Unknown, Some(answer)) => Finish::Answered(answer),
            (Finish::NotRun(_), None) if !self.offers.is_empty() => Finish::Unknown,
            (finish, _) => finish,
        }
    }
}
