//! Runtime of the agent: drives [`Core`] and performs its calls, reports and logging.

use std::sync::Arc;
use std::time::Duration;

use pond_clock::Clock;
use pond_link::Event;
use pond_log::{Logger, event};
use pond_proto::Millis;
use pond_proto::wire::Body;
use pond_uplink::{Notification, Uplink};
use tokio::sync::mpsc;
use tokio::time::{Instant as Timer, sleep_until};

use crate::core::{Core, Observation, Output, Registration};
use crate::worker::{Answer, Call, Reply, Worker};

/// Capacity of the input queue. A worker causes a few inputs a second, and each call causes one.
const QUEUE_LEN: usize = 1024;

/// Longest time between two runs of the core, in milliseconds.
const MAX_TICK_MS: u64 = 250;

/// An input of the agent.
enum Input {
    Registered(Registration),
    Deregistered(String),
    Answered { incarnation: String, token: u64, list_id: u64, call: Call, answer: Answer },
    AddAddresses(Vec<String>),
}

/// Passes registrations, deregistrations and control addresses to an agent.
#[derive(Clone)]
pub struct Registrar {
    inputs: mpsc::Sender<Input>,
}

impl Registrar {
    /// Passes on a new or repeated registration of the worker. Returns false if the agent has
    /// stopped.
    pub async fn registered(&self, registration: Registration) -> bool {
        self.inputs.send(Input::Registered(registration)).await.is_ok()
    }

    /// Passes on that the worker with this ID deregisters. Returns false if the agent has stopped.
    pub async fn deregistered(&self, id: String) -> bool {
        self.inputs.send(Input::Deregistered(id)).await.is_ok()
    }

    /// Adds addresses of control replicas. Returns false if the agent has stopped.
    pub async fn add_addresses(&self, addresses: Vec<String>) -> bool {
        self.inputs.send(Input::AddAddresses(addresses)).await.is_ok()
    }
}

/// The agent of one worker.
pub struct Agent {
    core: Core,
    uplink: Uplink,
    links: mpsc::Receiver<Event>,
    worker: Arc<dyn Worker>,
    sender: mpsc::Sender<Input>,
    inputs: mpsc::Receiver<Input>,
    clock: Clock,
    log: Logger,
}

impl Agent {
    /// Creates an agent for `worker` that reports through `uplink` and receives the events of its
    /// links through `links`.
    pub fn new(
        worker: Arc<dyn Worker>,
        uplink: Uplink,
        links: mpsc::Receiver<Event>,
        clock: Clock,
        log: Logger,
    ) -> (Agent, Registrar) {
        let (sender, inputs) = mpsc::channel(QUEUE_LEN);
        let registrar = Registrar { inputs: sender.clone() };
        let core = Core::new();
        (Agent { core, uplink, links, worker, sender, inputs, clock, log }, registrar)
    }

    fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Runs until the future is dropped.
    pub async fn run(mut self) {
        loop {
            let now = self.now();
            self.uplink.tick(now);
            self.execute(now);
            let due =
                self.uplink.due().map_or(self.core.due(now), |due| due.min(self.core.due(now)));
            let wait = due.since(now).clamp(1, MAX_TICK_MS);
            let timer = sleep_until(Timer::now() + Duration::from_millis(wait));
            tokio::select! {
                Some(event) = self.links.recv() => self.handle_event(event),
                Some(input) = self.inputs.recv() => self.handle_input(input),
                () = timer => {}
            }
            while let Ok(event) = self.links.try_recv() {
                self.handle_event(event);
            }
            while let Ok(input) = self.inputs.try_recv() {
                self.handle_input(input);
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.now();
        if let Some(notification) = self.uplink.event(now, event) {
            self.handle_notification(now, notification);
        }
    }

    fn handle_notification(&mut self, now: Millis, notification: Notification) {
        match notification {
            Notification::Leader { term, new, .. } if new => self.core.leader_up(term),
            Notification::Frame(Body::Order(order)) => {
                event!(self.log, ORDERED, "worker" => order.worker.clone(), "term" => order.term,
                    "starts" => order.starts.len(), "stops" => order.stops.len(),
                    "lease_end_ms" => order.lease_end_ms, "extension_ms" => order.extension_ms,
                    "lapses" => order.lapses, "settled" => order.committed);
                self.core.order(now, order);
            }
            Notification::Leader { .. } | Notification::Lost | Notification::Frame(_) => {}
        }
    }

    fn handle_input(&mut self, input: Input) {
        let now = self.now();
        match input {
            Input::Registered(registration) => self.registered(now, registration),
            Input::Deregistered(id) => {
                event!(self.log, WORKER_DEREGISTERED, "worker" => id.clone());
                self.core.deregistered(now, &id);
            }
            Input::Answered { incarnation, token, list_id, call, answer } => {
                self.log_answer(&incarnation, &call, &answer);
                self.core.answer(now, &incarnation, token, list_id, &call, answer);
            }
            Input::AddAddresses(addresses) => self.uplink.add_addresses(&addresses),
        }
    }

    fn registered(&mut self, now: Millis, registration: Registration) {
        if let Some(mismatch) = self.core.mismatch(now, &registration) {
            event!(self.log, CALL_FAILED, "worker" => registration.incarnation.clone(),
                "why" => "registration does not match the known incarnation",
                "mismatch" => format!("{mismatch:?}"), "sequence" => registration.sequence,
                "clock_ms" => registration.clock_ms);
        } else if self.core.has_changes(&registration) {
            event!(self.log, WORKER_REGISTERED, "worker" => registration.incarnation.clone(),
                "pool" => registration.pool.clone(), "address" => registration.address.clone(),
                "draining" => registration.draining, "sequence" => registration.sequence);
        }
        self.core.registered(now, registration);
    }

    fn log_answer(&self, incarnation: &str, call: &Call, answer: &Answer) {
        let done = matches!(answer.reply, Reply::Done | Reply::Listed { .. });
        let (verb, run) = match call {
            Call::Start { run, .. } => ("start", run.to_string()),
            Call::Stop { run } => ("stop", run.to_string()),
            Call::Pace { run, percent } => ("pace", format!("{run} to {percent} %")),
            Call::List { .. } => ("look", String::new()),
        };
        if !done {
            event!(self.log, CALL_FAILED, "worker" => incarnation.to_owned(), "call" => verb, "run" => run,
                "reply" => format!("{:?}", answer.reply));
        } else if let Call::Pace { run, percent } = call {
            event!(self.log, RUN_THROTTLED, "worker" => incarnation.to_owned(), "run" => run.to_string(),
                "percent" => *percent);
        } else if !matches!(call, Call::List { .. }) {
            event!(self.log, WORKER_CALLED, "worker" => incarnation.to_owned(), "call" => verb, "run" => run);
        }
    }

    fn execute(&mut self, now: Millis) {
        for output in self.core.tick(now) {
            match output {
                // A report that could not be sent is made again within a second, or earlier if
                // something changes.
                Output::Report(report) => {
                    self.uplink.send(Body::Report(report));
                }
                Output::Call { address, incarnation, token, list_id, call } => {
                    self.call(address, incarnation, token, list_id, call);
                }
                Output::Observed(observation) => self.log_observation(observation),
            }
        }
    }

    fn log_observation(&self, observation: Observation) {
        match observation {
            Observation::EndRepeated { incarnation, run, number, committed } => {
                event!(self.log, END_DROPPED, "worker" => incarnation, "run" => run.to_string(),
                    "number" => number, "settled" => committed);
            }
            Observation::RunVanished { incarnation, run, committed } => {
                event!(self.log, RUN_VANISHED, "worker" => incarnation, "run" => run.to_string(),
                    "settled" => committed);
            }
            Observation::Claimed { incarnation, pool, address, known, silent_ms } => {
                event!(self.log, WORKER_CLAIMED, "worker" => incarnation, "pool" => pool,
                    "address" => address, "known" => known, "silent_ms" => silent_ms);
            }
            Observation::Adopted { incarnation, pool, address } => {
                event!(self.log, WORKER_ADOPTED, "worker" => incarnation, "pool" => pool,
                    "address" => address);
            }
            Observation::ClaimDropped { incarnation, displaced } => {
                event!(self.log, CLAIM_DROPPED, "worker" => incarnation, "displaced" => displaced);
            }
            Observation::ClaimHeld { incarnation, known, silent_ms, lapsed } => {
                event!(self.log, CLAIM_HELD, "worker" => incarnation, "known" => known,
                    "silent_ms" => silent_ms, "lapsed" => lapsed);
            }
            Observation::Ended { incarnation, evidence, silent_ms, lapsed, runs } => {
                event!(self.log, INCARNATION_ENDED, "worker" => incarnation,
                    "evidence" => format!("{evidence:?}"), "silent_ms" => silent_ms,
                    "lapsed" => lapsed, "runs" => runs);
            }
            Observation::Lease { incarnation, lapsed, held_ms, clock_ms, silent_ms, lapses } => {
                if lapsed {
                    event!(self.log, LEASE_EXPIRED, "worker" => incarnation, "held_ms" => held_ms,
                        "clock_ms" => clock_ms, "silent_ms" => silent_ms, "lapses" => lapses);
                } else {
                    event!(self.log, LEASE_RENEWED, "worker" => incarnation, "held_ms" => held_ms,
                        "clock_ms" => clock_ms, "silent_ms" => silent_ms, "lapses" => lapses);
                }
            }
        }
    }

    fn call(&self, address: String, incarnation: String, token: u64, list_id: u64, call: Call) {
        let (worker, sender) = (self.worker.clone(), self.sender.clone());
        tokio::spawn(async move {
            let answer = worker.call(&address, &incarnation, token, call.clone()).await;
            // Sending fails only after the agent has stopped.
            let _ =
                sender.send(Input::Answered { incarnation, token, list_id, call, answer }).await;
        });
    }
}
