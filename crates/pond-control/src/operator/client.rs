//! Sends operators' requests to the deciding thread and converts its answers to HTTP.

use crossbeam_channel::Sender;
use dropshot::HttpError;
use pond_proto::operator::{Accepted, Origin, Status};
use pond_state::{Meta, Order, Refusal, Reply, State};
use tokio::sync::oneshot;

use crate::input::{Input, NotLeader};

/// Maximum time that a request waits for the quorum, in seconds.
const QUORUM_TIMEOUT_S: u64 = 10;

/// Sends requests to the deciding thread.
#[derive(Clone)]
pub struct Client {
    input_sender: Sender<Input>,
}

impl Client {
    /// Creates a client that sends its requests to `input_sender`.
    pub fn new(input_sender: Sender<Input>) -> Client {
        Client { input_sender }
    }

    /// Sends an order and waits until it is accepted or refused.
    pub async fn order(&self, origin: Origin, order: Order) -> Result<Accepted, HttpError> {
        let (reply, answer) = oneshot::channel();
        let Origin { who, request, expect } = origin;
        let meta = Meta { who, request, expect, ..Meta::default() };
        self.send(Input::Order { meta, order, reply })?;
        match wait(answer).await? {
            Ok(Reply::Accepted { version, what }) => Ok(Accepted { version, what }),
            Ok(Reply::Refused(refusal)) => Err(refused(refusal)),
            Ok(_) => Err(HttpError::for_internal_error("an order led to no answer".to_owned())),
            Err(not_leader) => Err(not_leading(not_leader)),
        }
    }

    /// Reads the state as of the time of the call or later.
    pub async fn read<T: Send + 'static>(
        &self,
        read_state: impl FnOnce(&State) -> T + Send + 'static,
    ) -> Result<T, HttpError> {
        let (reply, answer) = oneshot::channel();
        let read_state = Box::new(move |state: Result<&State, NotLeader>| {
            let _ = reply.send(state.map(read_state));
        });
        self.send(Input::Read { read_state })?;
        wait(answer).await?.map_err(not_leading)
    }

    /// Returns the status of this replica.
    pub async fn status(&self) -> Result<Status, HttpError> {
        let (reply, answer) = oneshot::channel();
        self.send(Input::Status { reply })?;
        wait(answer).await
    }

    fn send(&self, input: Input) -> Result<(), HttpError> {
        self.input_sender.try_send(input).map_err(|_| {
            let message = "too much is waiting; try again in a second".to_owned();
            HttpError::for_unavail(Some("busy".to_owned()), message)
        })
    }
}

async fn wait<T>(answer: oneshot::Receiver<T>) -> Result<T, HttpError> {
    let timeout = std::time::Duration::from_secs(QUORUM_TIMEOUT_S);
    match tokio::time::timeout(timeout, answer).await {
        Ok(Ok(answer)) => Ok(answer),
        _ => {
            let message = "no majority of the control replicas answered; the order may still be \
                           accepted: send it again with the same request identity"
                .to_owned();
            Err(HttpError::for_unavail(Some("no-quorum".to_owned()), message))
        }
    }
}

fn not_leading(not_leader: NotLeader) -> HttpError {
    let message = match &not_leader.leader {
        Some(leader) => format!("this replica does not lead; ask {leader}"),
        None => "no replica leads now; try again in a second".to_owned(),
    };
    let error = HttpError::for_unavail(Some("not-leading".to_owned()), message);
    let HttpError { internal_message, .. } = error;
    HttpError::for_unavail(Some("not-leading".to_owned()), internal_message)
        .with_leader(not_leader.leader)
}

/// Adds the leader's address as a header, for programs.
trait WithLeader {
    fn with_leader(self, leader: Option<String>) -> HttpError;
}

impl WithLeader for HttpError {
    fn with_leader(mut self, leader: Option<String>) -> HttpError {
        self.external_message.clone_from(&self.internal_message);
        if let Some(leader) = leader {
            let _ = self.add_header("pondbay-leader", leader);
        }
        self
    }
}

fn refused(refusal: Refusal) -> HttpError {
    use dropshot::ClientErrorStatusCode as Code;
    let (code, name, message) = match refusal {
        Refusal::Conflict { have, expected, since } => {
            let message = format!(
                "the order was based on version {expected}, version {have} is in force; since \
                 then: {}",
                since.join("; ")
            );
            (Code::CONFLICT, "conflict", message)
        }
        Refusal::IdentityUsed => {
            let message = "this request identity stood for another order; use a new one";
            (Code::CONFLICT, "identity-used", message.to_owned())
        }
        Refusal::NoMatch { what } => (Code::NOT_FOUND, "no-match", format!("there are no {what}")),
        other => (Code::BAD_REQUEST, "refused", format!("{other:?}")),
    };
    HttpError::for_client_error(Some(name.to_owned()), code, message)
}
