//! The routing thread: the router with its links.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use pond_clock::Clock;
use pond_follow::{Control, Notification};
use pond_link::{Config, Event, EventKind, LinkKey, Sender, dial};
use pond_log::{Logger, Metrics, event};
use pond_proto::wire::{Body, Content, FateRequest, OfferId, RequestId};
use pond_proto::{Micros, Span};
use pond_route::{Finish, Output, ProcessKey, Request, Router, Tuning};
use pond_settings::Replica;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;

/// Maximum number of queued link events.
const MAX_QUEUED_EVENTS: usize = 4096;

/// Interval at which deadlines, retries and hedges are processed.
const TICK_INTERVAL: Duration = Duration::from_millis(2);

/// Number of ticks between checks for disconnected callers and updates of the metrics.
const TICKS_PER_SWEEP: u32 = 50;

/// First key of links to endpoint processes; lower keys are for control replicas.
const FIRST_PROCESS_LINK: u64 = 1 << 16;

/// A request submitted by the callers' thread.
#[derive(Debug)]
pub struct Submission {
    /// Service, key, content type and body, as forwarded to the endpoint.
    pub content: Content,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// How long the caller waits, in milliseconds.
    pub deadline_ms: Span,
    /// Receives the result.
    pub reply: oneshot::Sender<(RequestId, Finish)>,
}

/// Inputs of the routing thread.
pub struct Inputs {
    /// The control replicas.
    pub replicas: Vec<Replica>,
    /// Identity of this process and limits of its links.
    pub link_config: Config,
    /// Requests from the callers' thread. The entry stops when the channel is closed.
    pub submissions: mpsc::Receiver<Submission>,
    /// The logger.
    pub log: Logger,
    /// The metrics.
    pub metrics: Metrics,
}

/// A link to an endpoint process.
struct ProcessLink {
    process: ProcessKey,
    sender: Option<Sender>,
    dial_task: JoinHandle<()>,
}

/// State of the routing thread.
struct Route {
    router: Router,
    control: Control,
    links: BTreeMap<LinkKey, ProcessLink>,
    link_config: Arc<Config>,
    events: mpsc::Sender<Event>,
    waiting: HashMap<RequestId, oneshot::Sender<(RequestId, Finish)>>,
    next_number: u64,
    clock: Clock,
    log: Logger,
    metrics: Metrics,
}

/// Routes requests until `submissions` is closed and the last request has ended.
pub async fn run(inputs: Inputs) {
    let Inputs { replicas, link_config, mut submissions, log, metrics } = inputs;
    let link_config = Arc::new(link_config);
    let (events, mut received) = mpsc::channel(MAX_QUEUED_EVENTS);
    let control = Control::start(&replicas, &link_config, &events, log.clone());
    let router = Router::new(
        &link_config.hello.data_centre,
        Tuning::default(),
        link_config.hello.incarnation,
    );
    let mut route = Route {
        router,
        control,
        links: BTreeMap::new(),
        link_config,
        events,
        waiting: HashMap::new(),
        next_number: 0,
        clock: Clock::new(),
        log,
        metrics,
    };
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut count = 0;
    let mut open = true;
    while open || route.router.in_progress() > 0 {
        tokio::select! {
            request = submissions.recv(), if open => match request {
                Some(request) => route.submit(request),
                None => {
                    open = false;
                    route.router.stop();
                }
            },
            Some(event) = received.recv() => route.event(event),
            _ = ticks.tick() => {
                count += 1;
                route.tick(count % TICKS_PER_SWEEP == 0);
            }
        }
        route.execute_outputs();
    }
}

impl Route {
    fn now(&self) -> Micros {
        Micros(self.clock.elapsed().as_micros() as u64)
    }

    fn submit(&mut self, submission: Submission) {
        let now = self.now();
        self.next_number += 1;
        let id =
            RequestId { incarnation: self.link_config.hello.incarnation, number: self.next_number };
        self.waiting.insert(id, submission.reply);
        let request = Request {
            id,
            content: submission.content,
            repeatable: submission.repeatable,
            deadline: now.plus_ms(submission.deadline_ms),
        };
        self.router.request(now, request);
    }

    fn tick(&mut self, sweep: bool) {
        let now = self.now();
        self.router.tick(now);
        if !sweep {
            return;
        }
        let closed = self.waiting.iter().filter(|(_, reply)| reply.is_closed());
        let disconnected: Vec<RequestId> = closed.map(|(id, _)| *id).collect();
        disconnected.into_iter().for_each(|id| self.router.caller_left(now, id));
        self.metrics.gauge("requests.under_way", self.router.in_progress() as u64);
        self.metrics.gauge("configuration.version", self.router.version());
    }

    fn event(&mut self, event: Event) {
        if self.control.owns(event.link) {
            if let Some(notification) = self.control.event(event) {
                self.notified(notification);
            }
            return;
        }
        let now = self.now();
        let Some(link) = self.links.get_mut(&event.link) else { return };
        let process = link.process;
        match event.kind {
            EventKind::Up { hello, sender, .. } => {
                link.sender = Some(sender);
                event!(self.log, LINK_UP, "peer" => hello.name);
                self.router.link_up(now, process, hello.incarnation);
            }
            EventKind::Down(error) => {
                if link.sender.take().is_some() {
                    let key = event.link.0;
                    event!(self.log, LINK_DOWN, "link" => key, "why" => error.to_string());
                }
                self.router.link_down(now, process);
            }
            EventKind::Frame(body) => self.frame(now, process, body),
        }
    }

    fn frame(&mut self, now: Micros, process: ProcessKey, body: Body) {
        match body {
            Body::Refused(refuse) => self.router.offer_refused(now, process, refuse),
            Body::Answer(answer) => self.router.answered(now, process, answer),
            Body::AnswerLost(broken) => self.router.answer_lost(now, process, broken.offer),
            Body::FateReply(reply) => self.router.fate_reported(now, process, reply),
            Body::Leave(leave) => self.router.endpoint_leaving(process, leave.task),
            _ => {}
        }
    }

    fn notified(&mut self, notification: Notification) {
        let now = self.now();
        match notification {
            Notification::View(delta) => {
                let version = delta.to;
                if self.router.apply_view(now, delta) {
                    event!(self.log, VIEW_IN_FORCE, "version" => version);
                    self.control.acknowledge(self.router.version(), Vec::new());
                } else {
                    self.control.request_full_view();
                }
            }
            Notification::Claim(reply) => self.router.claim_decided(now, reply),
            Notification::LeaderLost => self.router.control_lost(now),
        }
    }

    fn execute_outputs(&mut self) {
        loop {
            let outputs = self.router.take_outputs();
            if outputs.is_empty() {
                return;
            }
            outputs.into_iter().for_each(|output| self.execute(output));
        }
    }

    fn execute(&mut self, output: Output) {
        match output {
            Output::Offer { process, offer } => {
                let offer_id = OfferId { id: offer.id, attempt: offer.attempt };
                if !self.send(process, Body::Offer(offer)) {
                    self.router.offer_not_sent(self.now(), offer_id);
                }
            }
            Output::Revoke { process, offer } => {
                self.send(process, Body::Revoke(offer));
            }
            Output::RequestFate { process, offers } => {
                self.send(process, Body::FateRequest(FateRequest { offers }));
            }
            Output::Claim(request) => {
                let ticket = request.ticket;
                if !self.control.send_to_leader(Body::ClaimRequest(request)) {
                    self.router.claim_failed(self.now(), ticket);
                }
            }
            Output::EndClaim(end) => self.control.send_to_leader_eventually(Body::ClaimEnd(end)),
            Output::Finish { id, finish } => self.finish(id, finish),
            Output::Connect { process, address } => self.connect(process, &address),
            Output::Disconnect { process } => {
                if let Some(link) = self.links.remove(&link_key(process)) {
                    link.dial_task.abort();
                }
            }
        }
    }

    fn send(&self, process: ProcessKey, body: Body) -> bool {
        let link = self.links.get(&link_key(process));
        link.and_then(|link| link.sender.as_ref()).is_some_and(|sender| sender.send(body))
    }

    fn connect(&mut self, process: ProcessKey, address: &str) {
        let Ok(address) = address.parse() else { return };
        let (link_config, events) = (self.link_config.clone(), self.events.clone());
        let dial_task = tokio::spawn(dial(address, link_key(process), link_config, events));
        self.links.insert(link_key(process), ProcessLink { process, sender: None, dial_task });
    }

    fn finish(&mut self, id: RequestId, finish: Finish) {
        self.metrics.count(&format!("requests.{}", finish.outcome()), 1);
        match &finish {
            Finish::Unknown => event!(self.log, REQUEST_UNKNOWN, "request" => id.number),
            Finish::NotRun(reason) => {
                let reason = format!("{reason:?}");
                event!(self.log, REQUEST_NOT_RUN, "request" => id.number, "why" => reason);
            }
            Finish::Answered(_) => {}
        }
        if let Some(reply) = self.waiting.remove(&id) {
            let _ = reply.send((id, finish));
        }
    }
}

fn link_key(process: ProcessKey) -> LinkKey {
    LinkKey(FIRST_PROCESS_LINK + u64::from(process.0))
}
