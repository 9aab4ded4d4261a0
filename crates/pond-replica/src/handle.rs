//! Requests to a replica from operators and from the rest of its process.

use pond_job::{Configuration, Permit, Question};
use pond_proto::Millis;
use tokio::sync::{mpsc, oneshot};

/// Why a replica did not confirm an operator's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// This replica cannot act as the leader and did nothing. Holds the address at which the leader accepts
    /// internal links, if it is known.
    NotLeader(Option<String>),
    /// The request may or may not have been carried out.
    OutcomeUnknown,
}

/// An operator's order to evacuate a data centre or to readmit it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evacuation {
    /// The data centre.
    pub data_centre: String,
    /// `true` to evacuate the data centre, `false` to allow new work there again.
    pub begins: bool,
}

/// The evacuated data centres, each with the time of day at which its evacuation was ordered.
pub type Evacuated = Vec<(String, Millis)>;

/// A request of an operator, with the channel for its reply.
pub enum Command {
    /// Activate a configuration.
    Configure(Box<Configuration>, oneshot::Sender<Result<(), RequestError>>),
    /// Stop starting work in a data centre, or allow it again.
    Evacuate(Evacuation, oneshot::Sender<Result<(), RequestError>>),
    /// List the evacuated data centres.
    ListEvacuated(oneshot::Sender<Result<Evacuated, RequestError>>),
    /// Read the source text of the active configuration, if there is one.
    ReadConfiguration(oneshot::Sender<Result<Option<String>, RequestError>>),
}

/// An input to the replica's task from within its process.
pub enum Request {
    /// A request of an operator.
    Operator(Command),
    /// The seeds of changed settings.
    AddAddresses(Vec<String>),
    /// The adviser's answer to a question of the leader; `None` if there was no valid answer.
    Advised(Question, Option<Vec<Permit>>),
    /// Hand over leadership and stop.
    Stop,
}

/// Sends requests to a replica's task.
#[derive(Clone)]
pub struct Handle {
    pub(crate) requests: mpsc::Sender<Request>,
}

impl Handle {
    /// Activates a configuration. Succeeds without a change if the active one is the same or newer.
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

    /// Evacuates a data centre or readmits it. The last order in the replicated log takes effect.
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

    /// Lists the evacuated data centres.
    ///
    /// # Errors
    /// [`RequestError::NotLeader`] if this replica holds no lease as leader.
    pub async fn evacuated(&self) -> Result<Evacuated, RequestError> {
        let (reply, answer) = oneshot::channel();
        if self.requests.send(Request::Operator(Command::ListEvacuated(reply))).await.is_err() {
            return Err(RequestError::NotLeader(None));
        }
        answer.await.unwrap_or(Err(RequestError::NotLeader(None)))
    }

    /// Returns the operator's source text of the active configuration, or `None` if there is none.
    ///
    /// # Errors
    /// [`RequestError::NotLeader`] if this replica holds no lease as leader.
    pub async fn configuration(&self) -> Result<Option<String>, RequestError> {
        let (reply, answer) = oneshot::channel();
        if self.requests.send(Request::Operator(Command::ReadConfiguration(reply))).await.is_err() {
            return Err(RequestError::NotLeader(None));
        }
        answer.await.unwrap_or(Err(RequestError::NotLeader(None)))
    }

    /// Adds addresses of replicas from changed settings, in place of those from the previous settings, which then
    /// expire when they are unreachable for long. Returns whether the replica still runs.
    pub async fn add_addresses(&self, addresses: Vec<String>) -> bool {
        self.requests.send(Request::AddAddresses(addresses)).await.is_ok()
    }

    /// Asks the replica to hand over leadership and stop. Returns whether the replica still runs.
    pub async fn stop(&self) -> bool {
        self.requests.send(Request::Stop).await.is_ok()
    }
}
