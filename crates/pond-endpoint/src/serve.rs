//! The serving thread: admission control with its links and the calls to endpoints.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use pond_clock::Clock;
use pond_follow::{Control, Notification};
use pond_http::{Call, Client, HeaderMap, HeaderName, HeaderValue, Method};
use pond_link::{Config, Event, EventKind, LinkKey, Sender, accept};
use pond_log::{Logger, event};
use pond_proto::Micros;
use pond_proto::wire::{Body, OfferId};
use pond_route::{Admission, AdmissionOutput, Run};
use pond_settings::Replica;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

/// Maximum number of queued link events.
const MAX_QUEUED_EVENTS: usize = 4096;

/// Maximum number of queued results of calls.
const MAX_QUEUED_RESULTS: usize = 4096;

/// Interval at which queued offers are checked for expiry.
const TICK_INTERVAL: Duration = Duration::from_millis(5);

/// How long a stopping process waits after its last request, so that answers are sent.
const DRAIN_GRACE: Duration = Duration::from_millis(100);

/// Inputs of the serving thread.
pub struct Inputs {
    /// Accepts links from entries.
    pub listener: TcpListener,
    /// The control replicas.
    pub replicas: Vec<Replica>,
    /// Identity of this process and limits of its links.
    pub link_config: Config,
    /// Requests a graceful shutdown.
    pub stop: oneshot::Receiver<()>,
    /// Longest duration of a graceful shutdown.
    pub stop_timeout: Duration,
    /// Largest answer of an endpoint, in bytes.
    pub max_answer_bytes: usize,
    /// The logger.
    pub log: Logger,
}

/// The result of a call to an endpoint.
struct CallResult {
    offer: OfferId,
    result: Result<pond_http::Reply, pond_http::Error>,
}

/// State of the serving thread.
struct Serve {
    admission: Admission,
    control: Control,
    senders: BTreeMap<LinkKey, Sender>,
    client: Client,
    results: mpsc::Sender<CallResult>,
    clock: Clock,
    log: Logger,
}

/// Serves entries until a shutdown is requested and all offers have ended, or the shutdown takes too
/// long.
pub async fn run(inputs: Inputs) {
    let Inputs { listener, replicas, link_config, mut stop, stop_timeout, max_answer_bytes, log } =
        inputs;
    let own_address = link_config.hello.address.clone();
    let link_config = Arc::new(link_config);
    let (events, mut received) = mpsc::channel(MAX_QUEUED_EVENTS);
    let (results, mut completed) = mpsc::channel(MAX_QUEUED_RESULTS);
    let control = Control::start(&replicas, &link_config, &events, log.clone());
    tokio::spawn(accept(listener, link_config, events));
    let mut serve = Serve {
        admission: Admission::new(&own_address),
        control,
        senders: BTreeMap::new(),
        client: Client::new().with_max_answer_bytes(max_answer_bytes),
        results,
        clock: Clock::new(),
        log,
    };
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut stopping: Option<Instant> = None;
    let mut idle_since: Option<Instant> = None;
    loop {
        tokio::select! {
            Some(event) = received.recv() => serve.event(event),
            Some(call) = completed.recv() => serve.call_ended(call),
            _ = ticks.tick() => serve.tick(),
            _ = &mut stop, if stopping.is_none() => {
                event!(serve.log, DRAINING);
                stopping = Some(Instant::now());
                serve.admission.leave_all();
            }
        }
        serve.execute_outputs();
        let Some(since) = stopping else { continue };
        if serve.admission.in_progress() > 0 {
            idle_since = None;
        } else if idle_since.get_or_insert_with(Instant::now).elapsed() >= DRAIN_GRACE {
            return;
        }
        if since.elapsed() >= stop_timeout {
            event!(serve.log, STOP_LATE);
            return;
        }
    }
}

impl Serve {
    fn now(&self) -> Micros {
        Micros(self.clock.elapsed().as_micros() as u64)
    }

    fn tick(&mut self) {
        let now = self.now();
        self.admission.tick(now);
        self.control.acknowledge(self.admission.version(), self.admission.drained());
    }

    fn event(&mut self, event: Event) {
        if self.control.owns(event.link) {
            if let Some(Notification::View(delta)) = self.control.event(event) {
                self.view(delta);
            }
            return;
        }
        let link = event.link;
        match event.kind {
            EventKind::Up { hello, sender, .. } => {
                self.senders.insert(link, sender);
                event!(self.log, LINK_UP, "peer" => hello.name);
                self.admission.link_up(link.0, hello.incarnation);
            }
            EventKind::Down(error) => {
                // Links to control are handled above, so this link was accepted from an entry.
                match self.senders.remove(&link) {
                    Some(_) => event!(self.log, LINK_DOWN, "why" => error.to_string()),
                    None => event!(self.log, LINK_REFUSED, "why" => error.to_string()),
                }
                self.admission.link_down(link.0);
            }
            EventKind::Frame(body) => self.frame(link, body),
        }
    }

    fn view(&mut self, delta: pond_proto::view::Delta) {
        let version = delta.to;
        if self.admission.apply_view(self.now(), delta) {
            event!(self.log, VIEW_IN_FORCE, "version" => version);
            self.control.acknowledge(self.admission.version(), self.admission.drained());
        } else {
            self.control.request_full_view();
        }
    }

    fn frame(&mut self, link: LinkKey, body: Body) {
        let now = self.now();
        match body {
            Body::Offer(offer) => self.admission.offer(now, link.0, offer),
            Body::Revoke(offer) => self.admission.revoke(link.0, offer),
            Body::FateRequest(request) => self.admission.report_fates(link.0, request),
            _ => {}
        }
    }

    fn call_ended(&mut self, call: CallResult) {
        let now = self.now();
        match call.result {
            Ok(reply) => {
                let content_type = reply.header("content-type").unwrap_or_default().to_owned();
                let status = u32::from(reply.status.as_u16());
                let body = reply.body.to_vec();
                self.admission.answered(now, call.offer, status, content_type, body);
            }
            Err(error) if error.not_sent() => self.admission.unreachable(now, call.offer),
            Err(_) => self.admission.answer_lost(now, call.offer),
        }
    }

    fn execute_outputs(&mut self) {
        for output in self.admission.take_outputs() {
            match output {
                AdmissionOutput::Run(run) => self.run(run),
                AdmissionOutput::Send { link, body } => {
                    if let Some(sender) = self.senders.get(&LinkKey(link)) {
                        // If the queue is full, the entry asks for the fate of the offer after it
                        // has reconnected.
                        sender.send(body);
                    }
                }
            }
        }
    }

    fn run(&self, run: Run) {
        let (client, results) = (self.client.clone(), self.results.clone());
        let max_wait = Duration::from_micros(run.deadline.since(self.now()));
        tokio::spawn(async move {
            let offer = run.offer;
            let address = run.address.clone();
            let result = client.call(&address, request(run), max_wait).await;
            let _ = results.send(CallResult { offer, result }).await;
        });
    }
}

/// Builds the HTTP request for the endpoint.
fn request(run: Run) -> Call {
    let path = format!("/v1/services/{}", run.content.service);
    let mut headers = HeaderMap::new();
    let mut put = |name: &'static str, value: &str| {
        if let (false, Ok(value)) = (value.is_empty(), HeaderValue::from_str(value)) {
            headers.insert(HeaderName::from_static(name), value);
        }
    };
    put("content-type", &run.content.content_type);
    put("idempotency-key", &run.content.key);
    let id = run.offer.id;
    put("pondbay-request", &format!("{:016x}-{}", id.incarnation, id.number));
    let mut call = Call::new(Method::POST, &path, run.content.body);
    call.headers = headers;
    call
}
