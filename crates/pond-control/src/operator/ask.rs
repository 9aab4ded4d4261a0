//! Asks the deciding thread and turns its answers into HTTP.

use crossbeam_channel::Sender;
use dropshot::HttpError;
use pond_proto::operator::{Accepted, Origin, Status};
use pond_state::{Meta, Order, Refusal, Reply, State};
use tokio::sync::oneshot;

use crate::ring::{Input, Unready};

/// How long an operator waits for the quorum, in seconds.
const PATIENCE_S: u64 = 10;

/// Asks the deciding thread.
#[derive(Clone)]
pub struct Asker {
    ring: Sender<Input>,
}

impl Asker {
    /// Asks through that ring.
    pub fn new(ring: Sender<Input>) -> Asker {
        Asker { ring }
    }

    /// Gives an order and waits until it is accepted or refused.
    pub async fn order(&self, origin: Origin, order: Order) -> Result<Accepted, HttpError> {
        let (reply, answer) = oneshot::channel();
        let Origin { who, request, expect } = origin;
        let meta = Meta { who, request, expect, ..Meta::default() };
        self.put(Input::Order { meta, order, reply })?;
        match wait(answer).await? {
            Ok(Reply::Accepted { version, what }) => Ok(Accepted { version, what }),
            Ok(Reply::Refused(refusal)) => Err(refused(refusal)),
            Ok(_) => Err(HttpError::for_internal_error("an order led to no answer".to_owned())),
            Err(unready) => Err(not_leading(unready)),
        }
    }

    /// Looks at the state as it is now or later.
    pub async fn read<T: Send + 'static>(
        &self,
        look: impl FnOnce(&State) -> T + Send + 'static,
    ) -> Result<T, HttpError> {
        let (reply, answer) = oneshot::channel();
        let look = Box::new(move |state: Result<&State, Unready>| {
            let _ = reply.send(state.map(look));
        });
        self.put(Input::Read { look })?;
        wait(answer).await?.map_err(not_leading)
    }

    /// The status of this replica.
    pub async fn status(&self) -> Result<Status, HttpError> {
        let (reply, answer) = oneshot::channel();
        self.put(Input::Status { reply })?;
        wait(answer).await
    }

    fn put(&self, input: Input) -> Result<(), HttpError> {
        self.ring.try_send(input).map_err(|_| {
            let message = "too much is waiting; try again in a second".to_owned();
            HttpError::for_unavail(Some("busy".to_owned()), message)
        })
    }
}

async fn wait<T>(answer: oneshot::Receiver<T>) -> Result<T, HttpError> {
    let patience = std::time::Duration::from_secs(PATIENCE_S);
    match tokio::time::timeout(patience, answer).await {
        Ok(Ok(answer)) => Ok(answer),
        _ => {
            let message = "no majority of the control replicas answered; the order may still be \
                           accepted: send it again with the same request identity"
                .to_owned();
            Err(HttpError::for_unavail(Some("no-quorum".to_owned()), message))
        }
    }
}

fn not_leading(unready: Unready) -> HttpError {
    let message = match &unready.leader {
        Some(leader) => format!("this replica does not lead; ask {leader}"),
        None => "no replica leads now; try again in a second".to_owned(),
    };
    let error = HttpError::for_unavail(Some("not-leading".to_owned()), message);
    let HttpError { internal_message, .. } = error;
    HttpError::for_unavail(Some("not-leading".to_owned()), internal_message)
        .with_leader(unready.leader)
}

/// Names the leader in a header, for programs.
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
