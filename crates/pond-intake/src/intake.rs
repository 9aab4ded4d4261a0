//! The shell around the dispatcher.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use pond_clock::Clock;
use pond_link::Event;
use pond_log::{Logger, event};
use pond_proto::fleet::{Target, Verb};
use pond_proto::wire::Body;
use pond_proto::{Millis, Span};
use pond_uplink::{Told, Uplink};
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

use crate::dispatcher::{Answer, Dispatcher, Output};

/// Inputs that may wait for the dispatcher: twice the requests that the dispatcher itself lets wait.
const QUEUE: usize = 4096;

/// Longest time between looks at what is due, in milliseconds.
const TICK_MS: u64 = 250;

/// An entry stays ready for this long without a leader, in milliseconds: an election is no reason
/// to send callers elsewhere, as all entries wait for the same one.
const READY_WITHOUT_MS: Span = 3_000;

/// Something that the dispatcher is asked or told.
enum Input {
    Request { target: Target, verb: Verb, timeout_ms: Span, reply: oneshot::Sender<Answer> },
    AddAddresses(Vec<String>),
}

/// Hands requests in.
#[derive(Clone)]
pub struct Handle {
    inputs: mpsc::Sender<Input>,
    ready: Arc<AtomicBool>,
}

impl Handle {
    /// Hands a request to the leader and waits for what became of it.
    pub async fn request(&self, target: Target, verb: Verb, timeout_ms: Span) -> Answer {
        let (reply, answer) = oneshot::channel();
        if self.inputs.send(Input::Request { target, verb, timeout_ms, reply }).await.is_err() {
            return Answer::NotRun;
        }
        answer.await.unwrap_or(Answer::Unknown)
    }

    /// Whether requests can be served: a leader with a configuration was reached not long ago.
    pub fn ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Further addresses of control replicas.
    pub async fn add_addresses(&self, addresses: Vec<String>) -> bool {
        self.inputs.send(Input::AddAddresses(addresses)).await.is_ok()
    }
}

/// Runs the dispatcher.
pub struct Intake {
    dispatcher: Dispatcher,
    uplink: Uplink,
    links: mpsc::Receiver<Event>,
    inputs: mpsc::Receiver<Input>,
    replies: BTreeMap<u64, oneshot::Sender<Answer>>,
    ready: Arc<AtomicBool>,
    /// A leader with a configuration was reached once.
    configured: bool,
    /// When there was last a leader.
    led: Millis,
    clock: Clock,
    log: Logger,
}

impl Intake {
    /// A dispatcher that reaches control through `uplink`, whose events come through `links`.
    pub fn new(
        uplink: Uplink,
        links: mpsc::Receiver<Event>,
        clock: Clock,
        log: Logger,
    ) -> (Intake, Handle) {
        let (sender, inputs) = mpsc::channel(QUEUE);
        let ready = Arc::new(AtomicBool::new(false));
        let handle = Handle { inputs: sender, ready: ready.clone() };
        let intake = Intake {
            dispatcher: Dispatcher::new(),
            uplink,
            links,
            inputs,
            replies: BTreeMap::new(),
            ready,
            configured: false,
            led: Millis(0),
            clock,
            log,
        };
        (intake, handle)
    }

    fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Runs until all handles are gone or it is cut short.
    pub async fn run(mut self) {
        loop {
            let now = self.now();
            self.uplink.tick(now);
            self.carry_out(now);
            self.judge_ready(now);
            let due = self.dispatcher.due().into_iter().chain(self.uplink.due()).min();
            let due = due.map_or(TICK_MS, |due| due.since(now));
            tokio::select! {
                Some(event) = self.links.recv() => self.link(event),
                input = self.inputs.recv() => match input {
                    Some(input) => self.input(input),
                    None => return,
                },
                () = sleep(Duration::from_millis(due.clamp(1, TICK_MS))) => {}
            }
            while let Ok(event) = self.links.try_recv() {
                self.link(event);
            }
            while let Ok(input) = self.inputs.try_recv() {
                self.input(input);
            }
        }
    }

    fn link(&mut self, event: Event) {
        let now = self.now();
        if let Some(told) = self.uplink.event(now, event) {
            self.told(now, told);
        }
    }

    fn told(&mut self, now: Millis, told: Told) {
        match told {
            Told::Leader { configured, new, .. } => {
                self.configured |= configured;
                if new {
                    self.dispatcher.leader_up();
                }
            }
            Told::Lost => {
                self.led = now;
                self.dispatcher.leader_lost(now);
            }
            Told::Frame(Body::Tell(tell)) => self.dispatcher.tell(tell),
            Told::Frame(_) => {}
        }
    }

    fn input(&mut self, input: Input) {
        match input {
            Input::Request { target, verb, timeout_ms, reply } => {
                let ticket = self.dispatcher.request(self.now(), target, verb, timeout_ms);
                self.replies.insert(ticket, reply);
            }
            Input::AddAddresses(addresses) => self.uplink.learn(&addresses),
        }
    }

    fn carry_out(&mut self, now: Millis) {
        for output in self.dispatcher.tick(now) {
            self.output(output);
        }
        // What could not be sent is answered at once.
        for output in self.dispatcher.tick(now) {
            self.output(output);
        }
    }

    fn output(&mut self, output: Output) {
        match output {
            Output::Send(ask) => {
                let ticket = ask.ticket;
                let sent = self.uplink.send(Body::Ask(ask));
                self.dispatcher.sent(ticket, sent);
            }
            Output::Answer { ticket, answer } => {
                if let Some(reply) = self.replies.remove(&ticket) {
                    // The caller may have left.
                    let _ = reply.send(answer);
                }
            }
        }
    }

    fn judge_ready(&mut self, now: Millis) {
        if self.uplink.leads() {
            self.led = now;
        }
        let recent = self.uplink.leads() || now.since(self.led) < READY_WITHOUT_MS;
        let ready = self.configured && recent;
        if self.ready.swap(ready, Ordering::Relaxed) != ready {
            event!(self.log, READY, "ready" => ready, "leader" => self.uplink.leads(),
                "configured" => self.configured);
        }
    }
}
