//! HTTP interface for callers.

use std::future::Future;
use std::pin::Pin;

use pond_http::{Call, Handler, HeaderName, HeaderValue, Method, Refused, Reply, StatusCode};
use pond_proto::wire::{Answer, Content, RequestId};
use pond_proto::{Outcome, Span};
use pond_route::{Finish, NotRun};
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};

use crate::header::{self, Options};
use crate::route::Submission;

/// Value of `retry-after` for refused requests, in seconds.
const RETRY_AFTER_S: &str = "1";

/// HTTP handler that submits requests to the routing thread.
#[derive(Debug)]
pub struct Caller {
    submissions: mpsc::Sender<Submission>,
    default_deadline_ms: Span,
}

/// Response body when there is no answer from an endpoint.
#[derive(Serialize)]
struct Problem<'a> {
    outcome: &'a str,
    reason: &'a str,
    message: String,
}

impl Caller {
    /// Creates a handler that sends requests to the routing thread through `submissions`.
    pub fn new(submissions: mpsc::Sender<Submission>, default_deadline_ms: Span) -> Caller {
        Caller { submissions, default_deadline_ms }
    }

    async fn answer(&self, call: Call) -> Reply {
        if call.method == Method::GET && call.path == "/v1/health" {
            return Reply::new(StatusCode::OK, "well\n");
        }
        let options = match header::parse(&call) {
            Ok(options) => options,
            Err(errors) => return rejected(StatusCode::BAD_REQUEST, errors.join("; ")),
        };
        if call.method != Method::POST {
            let message = "use POST /v1/services/SERVICE".to_owned();
            return rejected(StatusCode::METHOD_NOT_ALLOWED, message);
        }
        self.submit(options, call).await
    }

    async fn submit(&self, options: Options, call: Call) -> Reply {
        let content_type = call.header("content-type").unwrap_or_default().to_owned();
        let content = Content {
            service: options.service,
            content_type,
            key: options.key,
            body: call.body.to_vec(),
        };
        let deadline_ms = options.deadline_ms.unwrap_or(self.default_deadline_ms);
        let (reply, result) = oneshot::channel();
        let submission = Submission { content, repeatable: options.repeatable, deadline_ms, reply };
        if self.submissions.try_send(submission).is_err() {
            return not_run(NotRun::Overload);
        }
        match result.await {
            Ok((id, finish)) => {
                reply_to(finish).with_header(header_name(header::REQUEST), id_value(id))
            }
            Err(_) => not_run(NotRun::Stopping),
        }
    }
}

fn header_name(name: &'static str) -> HeaderName {
    HeaderName::from_static(name)
}

fn id_value(id: RequestId) -> HeaderValue {
    let text = format!("{:016x}-{}", id.incarnation, id.number);
    HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static("-"))
}

fn with_outcome(reply: Reply, outcome: Outcome) -> Reply {
    reply.with_header(header_name(header::OUTCOME), HeaderValue::from_static(outcome.as_str()))
}

fn reply_to(finish: Finish) -> Reply {
    match finish {
        Finish::Answered(answer) => answered(answer),
        Finish::NotRun(cause) => not_run(cause),
        Finish::Unknown => unknown(),
    }
}

fn answered(answer: Answer) -> Reply {
    let status = u16::try_from(answer.status).ok().and_then(|s| StatusCode::from_u16(s).ok());
    let mut reply = Reply::new(status.unwrap_or(StatusCode::BAD_GATEWAY), answer.body);
    if let Ok(value) = HeaderValue::from_str(&answer.content_type)
        && !value.is_empty()
    {
        reply = reply.with_header(header_name("content-type"), value);
    }
    with_outcome(reply, Outcome::Answered)
}

fn not_run(cause: NotRun) -> Reply {
    let (status, reason, message) = explain(cause);
    let problem =
        Problem { outcome: Outcome::NotRun.as_str(), reason, message: message.to_owned() };
    let mut reply = Reply::json(status, &problem);
    if matches!(status, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) {
        let after = HeaderValue::from_static(RETRY_AFTER_S);
        reply = reply.with_header(header_name("retry-after"), after);
    }
    with_outcome(reply, Outcome::NotRun)
}

fn explain(cause: NotRun) -> (StatusCode, &'static str, &'static str) {
    use StatusCode as Code;
    match cause {
        NotRun::NoService => (Code::NOT_FOUND, "no-service", "there is no such service"),
        NotRun::NoEndpoint => {
            (Code::SERVICE_UNAVAILABLE, "no-endpoint", "no endpoint takes requests now")
        }
        NotRun::Overload => {
            (Code::TOO_MANY_REQUESTS, "overload", "too many requests are under way")
        }
        NotRun::Expired => {
            (Code::SERVICE_UNAVAILABLE, "expired", "its time was over before it could start")
        }
        NotRun::NoQuorum => (
            Code::SERVICE_UNAVAILABLE,
            "no-quorum",
            "control could not promise that it runs at most once",
        ),
        NotRun::Held => (Code::SERVICE_UNAVAILABLE, "held", "its key is in use"),
        NotRun::KeyReused => {
            (Code::UNPROCESSABLE_ENTITY, "key-reused", "its key came with another body before")
        }
        NotRun::ClaimsFull => {
            (Code::SERVICE_UNAVAILABLE, "claims-full", "no more keys can be remembered now")
        }
        NotRun::Stopping => (Code::SERVICE_UNAVAILABLE, "stopping", "this entry is stopping"),
        NotRun::NotReady => {
            (Code::SERVICE_UNAVAILABLE, "not-ready", "this entry has no configuration yet")
        }
    }
}

fn unknown() -> Reply {
    let problem = Problem {
        outcome: Outcome::Unknown.as_str(),
        reason: "unknown",
        message: "it may have run; ask the service, or send it again with the same key".to_owned(),
    };
    with_outcome(Reply::json(StatusCode::GATEWAY_TIMEOUT, &problem), Outcome::Unknown)
}

fn rejected(status: StatusCode, message: String) -> Reply {
    let problem = Problem { outcome: Outcome::NotRun.as_str(), reason: "bad-request", message };
    with_outcome(Reply::json(status, &problem), Outcome::NotRun)
}

impl Handler for Caller {
    fn handle(&self, call: Call) -> Pin<Box<dyn Future<Output = Reply> + Send + '_>> {
        Box::pin(self.answer(call))
    }

    fn refuse(&self, refused: Refused) -> Reply {
        let message = match refused {
            Refused::TooLarge => "the body is larger than limits.body_bytes",
            Refused::TooSlow => "the body did not come in time",
            Refused::CutOff => "the body broke off",
            Refused::NoMemory => return not_run(NotRun::Overload),
        };
        rejected(refused.status(), message.to_owned())
    }
}
