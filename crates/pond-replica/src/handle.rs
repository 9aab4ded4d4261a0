//! What operators ask of a replica, and other news from outside.

use pond_job::{Configuration, Permit, Question};
use pond_proto::Millis;
use tokio::sync::{mpsc, oneshot};

/// This replica cannot do it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Elsewhere {
    /// Nothing was done here; the leader takes internal links at that address, if one is known.
    Leader(Option<String>),
    /// It may have been done.
    Unknown,
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
pub enum Order {
    /// Bring a configuration in force.
    Configure(Box<Configuration>, oneshot::Sender<Result<(), Elsewhere>>),
    /// Start nothing more in a data centre, or start work there again.
    Evacuate(Evacuation, oneshot::Sender<Result<(), Elsewhere>>),
    /// Tell which data centres are evacuated.
    Evacuated(oneshot::Sender<Result<Evacuated, Elsewhere>>),
    /// Tell the configuration in force; none if there is none.
    Read(oneshot::Sender<Result<Option<String>, Elsewhere>>),
}

/// Something that comes from outside.
pub enum Request {
    /// An operator asks something.
    Operator(Order),
    /// Further addresses of replicas.
    Learn(Vec<String>),
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
    /// See [`Elsewhere`].
    pub async fn configure(&self, configuration: Configuration) -> Result<(), Elsewhere> {
        let (reply, answer) = oneshot::channel();
        let request = Request::Operator(Order::Configure(Box::new(configuration), reply));
        if self.requests.send(request).await.is_err() {
            return Err(Elsewhere::Leader(None));
        }
        answer.await.unwrap_or(Err(Elsewhere::Unknown))
    }

    /// Evacuates a data centre or takes that back; the order that came into the log last is in force.
    ///
    /// # Errors
    /// See [`Elsewhere`].
    pub async fn evacuate(&self, evacuation: Evacuation) -> Result<(), Elsewhere> {
        let (reply, answer) = oneshot::channel();
        let request = Request::Operator(Order::Evacuate(evacuation, reply));
        if self.requests.send(request).await.is_err() {
            return Err(Elsewhere::Leader(None));
        }
        answer.await.unwrap_or(Err(Elsewhere::Unknown))
    }

    /// The evacuated data centres.
    ///
    /// # Errors
    /// [`Elsewhere::Leader`] if this replica cannot be sure.
    pub async fn evacuated(&self) -> Result<Evacuated, Elsewhere> {
        let (reply, answer) = oneshot::channel();
        if self.requests.send(Request::Operator(Order::Evacuated(reply))).await.is_err() {
            return Err(Elsewhere::Leader(None));
        }
        answer.await.unwrap_or(Err(Elsewhere::Leader(None)))
    }

    /// The operator's text of the configuration in force, none if there is none.
    ///
    /// # Errors
    /// [`Elsewhere::Leader`] if this replica cannot be sure.
    pub async fn read(&self) -> Result<Option<String>, Elsewhere> {
        let (reply, answer) = oneshot::channel();
        if self.requests.send(Request::Operator(Order::Read(reply))).await.is_err() {
            return Err(Elsewhere::Leader(None));
        }
        answer.await.unwrap_or(Err(Elsewhere::Leader(None)))
    }

    /// Further addresses of replicas, as from changed settings.
    pub async fn learn(&self, addresses: Vec<String>) -> bool {
        self.requests.send(Request::Learn(addresses)).await.is_ok()
    }

    /// Asks the replica to hand over the lead and stop.
    pub async fn stop(&self) -> bool {
        self.requests.send(Request::Stop).await.is_ok()
    }
}
