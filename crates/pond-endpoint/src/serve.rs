//! The serving thread: the admission core with its links and calls.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use pond_clock::Clock;
use pond_follow::{Control, Told};
use pond_http::{Call, Client, HeaderMap, HeaderName, HeaderValue, Method};
use pond_link::{Config, Event, EventKind, LinkKey, Sender, accept};
use pond_log::{Logger, event};
use pond_proto::Micros;
use pond_proto::wire::{Body, OfferId};
use pond_route::{Admission, AdmissionOutput, Run};
use pond_settings::Replica;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

/// Events of links that may wait.
const EVENTS: usize = 4096;

/// Ends of calls that may wait.
const ENDS: usize = 4096;

/// Time between looks at what waits.
const TICK: Duration = Duration::from_millis(5);

/// How long after its last request a stopping process stays, so that answers get out.
const LINGER: Duration = Duration::from_millis(100);

/// What the serving thread is made from.
pub struct Parts {
    /// Where it takes links.
    pub listener: TcpListener,
    /// All control replicas.
    pub replicas: Vec<Replica>,
    /// Who this process is.
    pub terms: Config,
    /// Tells it to stop as planned.
    pub stop: oneshot::Receiver<()>,
    /// Longest time for a planned stop.
    pub stop_time: Duration,
    /// Largest answer of an endpoint, in bytes.
    pub answer_bytes: usize,
    /// The logger.
    pub log: Logger,
}

/// How a call to an endpoint ended.
struct Ended {
    offer: OfferId,
    result: Result<pond_http::Reply, pond_http::Error>,
}

/// The serving thread's state.
struct Serve {
    admission: Admission,
    control: Control,
    senders: BTreeMap<LinkKey, Sender>,
    client: Client,
    ends: mpsc::Sender<Ended>,
    clock: Clock,
    log: Logger,
}

/// Serves until it is told to stop and has finished what it has.
pub async fn run(parts: Parts) {
    let Parts { listener, replicas, terms, mut stop, stop_time, answer_bytes, log } = parts;
    let own_address = terms.hello.address.clone();
    let terms = Arc::new(terms);
    let (events, mut happened) = mpsc::channel(EVENTS);
    let (ends, mut ended) = mpsc::channel(ENDS);
    let control = Control::start(&replicas, &terms, &events, log.clone());
    tokio::spawn(accept(listener, terms, events));
    let mut serve = Serve {
        admission: Admission::new(&own_address),
        control,
        senders: BTreeMap::new(),
        client: Client::new().with_answer_bytes(answer_bytes),
        ends,
        clock: Clock::new(),
        log,
    };
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut stopping: Option<Instant> = None;
    let mut quiet_since: Option<Instant> = None;
    loop {
        tokio::select! {
            Some(event) = happened.recv() => serve.event(event),
            Some(end) = ended.recv() => serve.ended(end),
            _ = ticks.tick() => serve.tick(),
            _ = &mut stop, if stopping.is_none() => {
                event!(serve.log, DRAINING);
                stopping = Some(Instant::now());
                serve.admission.leave_all();
            }
        }
        serve.carry_out();
        let Some(since) = stopping else { continue };
        if serve.admission.under_way() > 0 {
            quiet_since = None;
        } else if quiet_since.get_or_insert_with(Instant::now).elapsed() >= LINGER {
            return;
        }
        if since.elapsed() >= stop_time {
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
        self.control.ack(self.admission.version(), self.admission.quiet());
    }

    fn event(&mut self, event: Event) {
        if self.control.owns(event.link) {
            if let Some(Told::View(delta)) = self.control.event(event) {
                self.view(delta);
            }
            return;
        }
        let link = event.link;
        match event.kind {
            EventKind::Up { hello, sender, .. } => {
                self.senders.insert(link, sender);
                event!(self.log, LINK_UP, "peer" => hello.name);
                self.admission.link_up(link.0, hello.life);
            }
            EventKind::Down(error) => {
                // All links here but those to control are accepted ones.
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
        if self.admission.view(self.now(), delta) {
            event!(self.log, VIEW_IN_FORCE, "version" => version);
            self.control.ack(self.admission.version(), self.admission.quiet());
        } else {
            self.control.ask_all();
        }
    }

    fn frame(&mut self, link: LinkKey, body: Body) {
        let now = self.now();
        match body {
            Body::Offer(offer) => self.admission.offer(now, link.0, offer),
            Body::Revoke(offer) => self.admission.revoke(link.0, offer),
            Body::FateAsk(ask) => self.admission.fate_ask(link.0, ask),
            _ => {}
        }
    }

    fn ended(&mut self, end: Ended) {
        let now = self.now();
        match end.result {
            Ok(reply) => {
                let content_type = reply.header("content-type").unwrap_or_default().to_owned();
                let status = u32::from(reply.status.as_u16());
                let body = reply.body.to_vec();
                self.admission.answered(now, end.offer, status, content_type, body);
            }
            Err(error) if error.not_sent() => self.admission.unreachable(now, end.offer),
            Err(_) => self.admission.broke(now, end.offer),
        }
    }

    fn carry_out(&mut self) {
        for output in self.admission.take_outputs() {
            match output {
                AdmissionOutput::Run(run) => self.run(run),
                AdmissionOutput::Send { link, body } => {
                    if let Some(sender) = self.senders.get(&LinkKey(link)) {
                        // What does not fit is asked for as a fate once the link is made again.
                        sender.send(body);
                    }
                }
            }
        }
    }

    fn run(&self, run: Run) {
        let (client, ends) = (self.client.clone(), self.ends.clone());
        let patience = Duration::from_micros(run.deadline.since(self.now()));
        tokio::spawn(async move {
            let offer = run.offer;
            let address = run.address.clone();
            let result = client.call(&address, call(run), patience).await;
            let _ = ends.send(Ended { offer, result }).await;
        });
    }
}

/// The request as the endpoint gets it.
fn call(run: Run) -> Call {
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
    put("pondbay-request", &format!("{:016x}-{}", id.life, id.number));
    let mut call = Call::new(Method::POST, &path, run.content.body);
    call.headers = headers;
    call
}
