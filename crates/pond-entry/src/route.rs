//! The routing thread: the router core with its links.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use pond_clock::Clock;
use pond_follow::{Control, Told};
use pond_link::{Config, Event, EventKind, LinkKey, Sender, dial};
use pond_log::{Logger, Metrics, event};
use pond_proto::wire::{Body, Content, FateAsk, OfferId, RequestId};
use pond_proto::{Micros, Span};
use pond_route::{Finish, Output, ProcessKey, Request, Router, Tuning};
use pond_settings::Replica;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;

/// Events of links that may wait.
const EVENTS: usize = 4096;

/// Time between looks at deadlines, retries and hedges.
const TICK: Duration = Duration::from_millis(2);

/// Every so many ticks it is looked for callers that are gone, and metrics go out.
const TICKS_PER_SWEEP: u32 = 50;

/// Keys of links to endpoint processes start here; control replicas come before.
const FIRST_PROCESS_LINK: u64 = 1 << 16;

/// A request on its way from the callers' thread.
#[derive(Debug)]
pub struct Asked {
    /// What is passed on.
    pub content: Content,
    /// It may run more than once.
    pub repeatable: bool,
    /// How long the caller waits.
    pub deadline_ms: Span,
    /// Where the end goes.
    pub reply: oneshot::Sender<(RequestId, Finish)>,
}

/// What the routing thread is made from.
pub struct Parts {
    /// All control replicas.
    pub replicas: Vec<Replica>,
    /// Who this process is.
    pub terms: Config,
    /// Requests from the callers' thread; its end means that the entry stops.
    pub asked: mpsc::Receiver<Asked>,
    /// The logger.
    pub log: Logger,
    /// Metrics.
    pub metrics: Metrics,
}

/// A link to an endpoint process.
struct ProcessLink {
    process: ProcessKey,
    sender: Option<Sender>,
    dialler: JoinHandle<()>,
}

/// The routing thread's state.
struct Route {
    router: Router,
    control: Control,
    links: BTreeMap<LinkKey, ProcessLink>,
    terms: Arc<Config>,
    events: mpsc::Sender<Event>,
    waiting: HashMap<RequestId, oneshot::Sender<(RequestId, Finish)>>,
    next_number: u64,
    clock: Clock,
    log: Logger,
    metrics: Metrics,
}

/// Routes until the callers' ring ends and the last request has ended.
pub async fn run(parts: Parts) {
    let Parts { replicas, terms, mut asked, log, metrics } = parts;
    let terms = Arc::new(terms);
    let (events, mut happened) = mpsc::channel(EVENTS);
    let control = Control::start(&replicas, &terms, &events, log.clone());
    let router = Router::new(&terms.hello.data_centre, Tuning::default(), terms.hello.life);
    let mut route = Route {
        router,
        control,
        links: BTreeMap::new(),
        terms,
        events,
        waiting: HashMap::new(),
        next_number: 0,
        clock: Clock::new(),
        log,
        metrics,
    };
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut count = 0;
    let mut open = true;
    while open || route.router.under_way() > 0 {
        tokio::select! {
            request = asked.recv(), if open => match request {
                Some(request) => route.ask(request),
                None => {
                    open = false;
                    route.router.stop();
                }
            },
            Some(event) = happened.recv() => route.event(event),
            _ = ticks.tick() => {
                count += 1;
                route.tick(count % TICKS_PER_SWEEP == 0);
            }
        }
        route.carry_out();
    }
}

impl Route {
    fn now(&self) -> Micros {
        Micros(self.clock.elapsed().as_micros() as u64)
    }

    fn ask(&mut self, asked: Asked) {
        let now = self.now();
        self.next_number += 1;
        let id = RequestId { life: self.terms.hello.life, number: self.next_number };
        self.waiting.insert(id, asked.reply);
        let request = Request {
            id,
            content: asked.content,
            repeatable: asked.repeatable,
            deadline: now.plus_ms(asked.deadline_ms),
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
        let gone: Vec<RequestId> = closed.map(|(id, _)| *id).collect();
        gone.into_iter().for_each(|id| self.router.abandoned(now, id));
        self.metrics.gauge("requests.under_way", self.router.under_way() as u64);
        self.metrics.gauge("configuration.version", self.router.version());
    }

    fn event(&mut self, event: Event) {
        if self.control.owns(event.link) {
            if let Some(told) = self.control.event(event) {
                self.told(told);
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
                self.router.link_up(now, process, hello.life);
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
            Body::Refuse(refuse) => self.router.refused(now, process, refuse),
            Body::Answer(answer) => self.router.answered(now, process, answer),
            Body::Broken(broken) => self.router.broken(now, process, broken.offer),
            Body::FateTell(tell) => self.router.fate_told(now, process, tell),
            Body::Leave(leave) => self.router.leaving(process, leave.task),
            _ => {}
        }
    }

    fn told(&mut self, told: Told) {
        let now = self.now();
        match told {
            Told::View(delta) => {
                let version = delta.to;
                if self.router.view(now, delta) {
                    event!(self.log, VIEW_IN_FORCE, "version" => version);
                    self.control.ack(self.router.version(), Vec::new());
                } else {
                    self.control.ask_all();
                }
            }
            Told::Claim(tell) => self.router.claim_told(now, tell),
            Told::LeaderLost => self.router.control_lost(now),
        }
    }

    fn carry_out(&mut self) {
        loop {
            let outputs = self.router.take_outputs();
            if outputs.is_empty() {
                return;
            }
            outputs.into_iter().for_each(|output| self.output(output));
        }
    }

    fn output(&mut self, output: Output) {
        match output {
            Output::Offer { process, offer } => {
                let name = OfferId { id: offer.id, attempt: offer.attempt };
                if !self.send(process, Body::Offer(offer)) {
                    self.router.not_sent(self.now(), name);
                }
            }
            Output::Revoke { process, offer } => {
                self.send(process, Body::Revoke(offer));
            }
            Output::AskFate { process, offers } => {
                self.send(process, Body::FateAsk(FateAsk { offers }));
            }
            Output::Claim(ask) => {
                let ticket = ask.ticket;
                if !self.control.to_leader(Body::ClaimAsk(ask)) {
                    self.router.claim_failed(self.now(), ticket);
                }
            }
            Output::EndClaim(end) => self.control.to_leader_later(Body::ClaimEnd(end)),
            Output::Finish { id, finish } => self.finish(id, finish),
            Output::Connect { process, address } => self.connect(process, &address),
            Output::Disconnect { process } => {
                if let Some(link) = self.links.remove(&key(process)) {
                    link.dialler.abort();
                }
            }
        }
    }

    fn send(&self, process: ProcessKey, body: Body) -> bool {
        let link = self.links.get(&key(process));
        link.and_then(|link| link.sender.as_ref()).is_some_and(|sender| sender.send(body))
    }

    fn connect(&mut self, process: ProcessKey, address: &str) {
        let Ok(address) = address.parse() else { return };
        let (terms, events) = (self.terms.clone(), self.events.clone());
        let dialler = tokio::spawn(dial(address, key(process), terms, events));
        self.links.insert(key(process), ProcessLink { process, sender: None, dialler });
    }

    fn finish(&mut self, id: RequestId, finish: Finish) {
        self.metrics.count(&format!("requests.{}", finish.outcome()), 1);
        match &finish {
            Finish::Unknown => event!(self.log, REQUEST_UNKNOWN, "request" => id.number),
            Finish::NotRun(why) => {
                let why = format!("{why:?}");
                event!(self.log, REQUEST_NOT_RUN, "request" => id.number, "why" => why);
            }
            Finish::Answered(_) => {}
        }
        if let Some(reply) = self.waiting.remove(&id) {
            let _ = reply.send((id, finish));
        }
    }
}

fn key(process: ProcessKey) -> LinkKey {
    LinkKey(FIRST_PROCESS_LINK + u64::from(process.0))
}
