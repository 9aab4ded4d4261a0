//! What operators ask of a replica, and other news from outside.

use pond_job::{Configuration, Permit, Question};
use pond_proto::Millis;
use tokio::sync::{mpsc, oneshot};

/// This replica cannot do it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// Nothing was done here; the leader takes internal links at that address, if one is known.
    NotLeader(Option<String>),
    /// It may have been done.
    OutcomeUnknown,
}

/// An operator's order about a data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evacuation {
    /// The data centre.
    pub data_centre: String,
    /// Whether it is evacuated from now on, or work is started there again.
    pub begins: bool,
}

/// The evacuated data centres, and since when each is, on the operators' clock.
pub type Evacuated = Vec<(String, Millis)>;

/// Something that an operator asks.
pub enum Command {
    /// Bring a configuration in force.
    Configure(Box<Configuration>, oneshot::Sender<Result<(), RequestError>>),
    /// Start nothing more in a data centre, or start work there again.
    Evacuate(Evacuation, oneshot::Sender<Result<(), RequestError>>),
    /// Tell which data centres are evacuated.
    ListEvacuated(oneshot::Sender<Result<Evacuated, RequestError>>),
    /// Tell the configuration in force; none if there is none.
    ReadConfiguration(oneshot::Sender<Result<Option<String>, RequestError>>),
}

/// Something that comes from outside.
pub enum Request {
    /// An operator asks something.
    Operator(Command),
    /// Further addresses of replicas.
    AddAddresses(Vec<String>),
    /// The adviser answered the leader's question, or did not.
    Advised(Question, Option<Vec<Permit>>),
    /// Stop as planned.
    Stop,
}

/// Asks a replica.
#[derive(Clone)]
pub struct Handle {
    pub(crate) requests: mpsc::Sender<Request>,
}

impl Handle {
    /// Brings a configuration in force, unless a newer one is.
    ///
    /// # Errors
    /// See [`RequestError`].
    pub async fn configure(&self, configuration: Configuration) -> Result<(), RequestError> {
        let (reply, answer) = oneshot::channel();
        let request = Request::Operator(Command::Configure(Box::new(configuration), reply));
        if self.requests.send(request).await.is_err() {
            return Err(RequestError::NotLeader(None));
        }
        answer.await.unwrap_or(Err(RequestError::OutcomeUnknown))
    }

    /// Evacuates a data centre or takes that back; the order that came into the log last is in force.
    ///
    /// # Errors
    /// See [`RequestError`].
    pub async fn evacuate(&self, evacuation: Evacuation) -> Result<(), RequestError> {
        let (reply, answer) = oneshot::channel();
        let request = Request::Operator(Command::Evacuate(evacuation, reply));
        if self.requests.send(request).await.is_err() {
            return Err(RequestError::NotLeader(None));
        }
        answer.await.unwrap_or(Err(RequestError::OutcomeUnknown))
    }

    /// The evacuated data centres.
    ///
    /// # Errors
    /// [`RequestError::NotLeader`] if this replica cannot be sure.
    pub async fn evacuated(&self) -> Result<Evacuated, RequestError> {
        let (reply, answer) = oneshot::channel();
        if self.requests.send(Request::Operator(Command::ListEvacuated(reply))).await.is_err() {
            return Err(RequestError::NotLeader(None));
        }
        answer.await.unwrap_or(Err(RequestError::NotLeader(None)))
    }

    /// The operator's text of the configuration in force, none if there is none.
    ///
    /// # Errors
    /// [`RequestError::NotLeader`] if this replica cannot be sure.
    pub async fn configuration(&self) -> Result<Option<String>, RequestError> {
        let (reply, answer) = oneshot::channel();
        if self.requests.send(Request::Operator(Command::ReadConfiguration(reply))).await.is_err() {
            return Err(RequestError::NotLeader(None));
        }
        answer.await.unwrap_or(Err(RequestError::NotLeader(None)))
    }

    /// Further addresses of replicas, as from changed settings.
    pub async fn add_addresses(&self, addresses: Vec<String>) -> bool {
        self.requests.send(Request::AddAddresses(addresses)).await.is_ok()
    }

    /// Asks the replica to hand over the lead and stop.
    pub async fn stop(&self) -> bool {
        self.requests.send(Request::Stop).await.is_ok()
    }
}
