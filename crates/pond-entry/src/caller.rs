//! Callers' requests over HTTP.

use std::future::Future;
use std::pin::Pin;

use pond_http::{Call, Handler, HeaderName, HeaderValue, Method, Refused, Reply, StatusCode};
use pond_proto::wire::{Answer, Content, RequestId};
use pond_proto::{Outcome, Span};
use pond_route::{Finish, NotRun};
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};

use crate::header::{self, Wish};
use crate::route::Asked;

/// Seconds after which a refused caller may try again.
const RETRY_AFTER_S: &str = "1";

/// Answers callers through the router.
#[derive(Debug)]
pub struct Caller {
    ring: mpsc::Sender<Asked>,
    default_deadline_ms: Span,
}

/// What a caller is told in the body when there is no answer of an endpoint.
#[derive(Serialize)]
struct Problem<'a> {
    outcome: &'a str,
    reason: &'a str,
    message: String,
}

impl Caller {
    /// Answers through that ring.
    pub fn new(ring: mpsc::Sender<Asked>, default_deadline_ms: Span) -> Caller {
        Caller { ring, default_deadline_ms }
    }

    async fn answer(&self, call: Call) -> Reply {
        if call.method == Method::GET && call.path == "/v1/health" {
            return Reply::new(StatusCode::OK, "well\n");
        }
        let wish = match header::read(&call) {
            Ok(wish) => wish,
            Err(findings) => return bad(StatusCode::BAD_REQUEST, findings.join("; ")),
        };
        if call.method != Method::POST {
            let what = "use POST /v1/services/SERVICE".to_owned();
            return bad(StatusCode::METHOD_NOT_ALLOWED, what);
        }
        self.ask(wish, call).await
    }

    async fn ask(&self, wish: Wish, call: Call) -> Reply {
        let content_type = call.header("content-type").unwrap_or_default().to_owned();
        let content = Content {
            service: wish.service,
            content_type,
            key: wish.key,
            body: call.body.to_vec(),
        };
        let deadline_ms = wish.deadline_ms.unwrap_or(self.default_deadline_ms);
        let (reply, told) = oneshot::channel();
        let asked = Asked { content, repeatable: wish.repeatable, deadline_ms, reply };
        if self.ring.try_send(asked).is_err() {
            return not_run(NotRun::Overload);
        }
        match told.await {
            Ok((id, finish)) => reply_to(finish).with_header(name(header::REQUEST), show(id)),
            Err(_) => not_run(NotRun::Stopping),
        }
    }
}

fn name(name: &'static str) -> HeaderName {
    HeaderName::from_static(name)
}

fn show(id: RequestId) -> HeaderValue {
    let text = format!("{:016x}-{}", id.life, id.number);
    HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static("-"))
}

fn with_outcome(reply: Reply, outcome: Outcome) -> Reply {
    reply.with_header(name(header::OUTCOME), HeaderValue::from_static(outcome.as_str()))
}

fn reply_to(finish: Finish) -> Reply {
    match finish {
        Finish::Answered(answer) => answered(answer),
        Finish::NotRun(why) => not_run(why),
        Finish::Unknown => unknown(),
    }
}

fn answered(answer: Answer) -> Reply {
    let status = u16::try_from(answer.status).ok().and_then(|s| StatusCode::from_u16(s).ok());
    let mut reply = Reply::new(status.unwrap_or(StatusCode::BAD_GATEWAY), answer.body);
    if let Ok(value) = HeaderValue::from_str(&answer.content_type)
        && !value.is_empty()
    {
        reply = reply.with_header(name("content-type"), value);
    }
    with_outcome(reply, Outcome::Answered)
}

fn not_run(why: NotRun) -> Reply {
    let (status, reason, message) = explain(why);
    let problem =
        Problem { outcome: Outcome::NotRun.as_str(), reason, message: message.to_owned() };
    let mut reply = Reply::json(status, &problem);
    if matches!(status, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) {
        let after = HeaderValue::from_static(RETRY_AFTER_S);
        reply = reply.with_header(name("retry-after"), after);
    }
    with_outcome(reply, Outcome::NotRun)
}

fn explain(why: NotRun) -> (StatusCode, &'static str, &'static str) {
    use StatusCode as Code;
    match why {
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

fn bad(status: StatusCode, message: String) -> Reply {
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
        };
        bad(refused.status(), message.to_owned())
    }
}
