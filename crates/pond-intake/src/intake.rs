//! The I/O layer around the dispatcher.

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
use pond_uplink::{Notification, Uplink};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot};
use tokio::time::sleep;

use crate::dispatcher::{Answer, Dispatcher, Output};

/// Number of copies of a request while it waits: one to send it again, one that is being sent, and one that is encoded.
const COPIES: usize = 3;

/// Unit in which the memory for waiting requests is reserved, in bytes.
const MEMORY_UNIT_BYTES: usize = 1 << 10;

/// Maximum number of queued inputs: twice the number of requests that the dispatcher lets wait.
const MAX_QUEUED_INPUTS: usize = 4096;

/// Longest interval between checks for due work, in milliseconds.
const MAX_TICK_MS: u64 = 250;

/// How long an entry stays ready without a leader, in milliseconds. Sending callers to other entries
/// during an election does not help, as all entries wait for the same one.
const READY_WITHOUT_LEADER_MS: Span = 3_000;

/// An input from a [`Handle`].
enum Input {
    Request { target: Target, verb: Verb, timeout_ms: Span, waiter: Waiter },
    AddAddresses(Vec<String>),
}

/// Where the answer to a request goes.
struct Waiter {
    reply: oneshot::Sender<Answer>,
    /// Memory of the request, which is released with its answer even if the caller has disconnected before.
    _memory: OwnedSemaphorePermit,
}

/// Submits requests to a running [`Intake`].
#[derive(Clone)]
pub struct Handle {
    inputs: mpsc::Sender<Input>,
    ready: Arc<AtomicBool>,
    /// Memory for waiting requests, in units of [`MEMORY_UNIT_BYTES`].
    memory: Arc<Semaphore>,
    max_units: usize,
}

impl Handle {
    /// Sends a request to the leader and waits for its result. A request that finds no memory is not run.
    pub async fn request(&self, target: Target, verb: Verb, timeout_ms: Span) -> Answer {
        let Some(memory) = self.reserve(&target, &verb) else { return Answer::NoMemory };
        let (reply, answer) = oneshot::channel();
        let waiter = Waiter { reply, _memory: memory };
        if self.inputs.send(Input::Request { target, verb, timeout_ms, waiter }).await.is_err() {
            return Answer::NotRun { retry_after_ms: None };
        }
        answer.await.unwrap_or(Answer::Unknown)
    }

    fn reserve(&self, target: &Target, verb: &Verb) -> Option<OwnedSemaphorePermit> {
        let spec_bytes = match verb {
            Verb::Submit(submit) => submit.spec.memory_bytes(),
            Verb::Look(_) | Verb::Cancel(_) | Verb::Count(_) => 0,
        };
        let bytes = COPIES * (spec_bytes + target.host.len() + target.path.len());
        // The largest request alone always fits.
        let units = bytes.div_ceil(MEMORY_UNIT_BYTES).min(self.max_units);
        self.memory.clone().try_acquire_many_owned(units as u32).ok()
    }

    /// Returns whether requests can be served: a leader with a configuration was reached recently.
    pub fn ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Adds addresses of control replicas; returns false if the intake has ended.
    pub async fn add_addresses(&self, addresses: Vec<String>) -> bool {
        self.inputs.send(Input::AddAddresses(addresses)).await.is_ok()
    }
}

/// Runs the dispatcher with the links to control.
pub struct Intake {
    dispatcher: Dispatcher,
    uplink: Uplink,
    links: mpsc::Receiver<Event>,
    inputs: mpsc::Receiver<Input>,
    waiters: BTreeMap<u64, Waiter>,
    ready: Arc<AtomicBool>,
    /// Whether a leader with a configuration has been reached.
    configured: bool,
    /// Time at which there was last a leader.
    last_leader_at: Millis,
    clock: Clock,
    log: Logger,
}

impl Intake {
    /// Creates an intake that reaches control through `uplink`, whose events come through `links`. Requests that wait
    /// take at most `max_bytes` of memory together.
    pub fn new(
        max_bytes: usize,
        uplink: Uplink,
        links: mpsc::Receiver<Event>,
        clock: Clock,
        log: Logger,
    ) -> (Intake, Handle) {
        let (sender, inputs) = mpsc::channel(MAX_QUEUED_INPUTS);
        let ready = Arc::new(AtomicBool::new(false));
        let max_units = (max_bytes / MEMORY_UNIT_BYTES).clamp(1, u32::MAX as usize);
        let memory = Arc::new(Semaphore::new(max_units));
        let handle = Handle { inputs: sender, ready: ready.clone(), memory, max_units };
        let intake = Intake {
            dispatcher: Dispatcher::new(),
            uplink,
            links,
            inputs,
            waiters: BTreeMap::new(),
            ready,
            configured: false,
            last_leader_at: Millis(0),
            clock,
            log,
        };
        (intake, handle)
    }

    fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Runs until all handles are dropped or the future is cancelled.
    pub async fn run(mut self) {
        loop {
            let now = self.now();
            self.uplink.tick(now);
            self.execute_outputs(now);
            self.update_ready(now);
            let due = self.dispatcher.due(now).into_iter().chain(self.uplink.due()).min();
            let due = due.map_or(MAX_TICK_MS, |due| due.since(now));
            tokio::select! {
                Some(event) = self.links.recv() => self.link_event(event),
                input = self.inputs.recv() => match input {
                    Some(input) => self.input(input),
                    None => return,
                },
                () = sleep(Duration::from_millis(due.clamp(1, MAX_TICK_MS))) => {}
            }
            while let Ok(event) = self.links.try_recv() {
                self.link_event(event);
            }
            while let Ok(input) = self.inputs.try_recv() {
                self.input(input);
            }
        }
    }

    fn link_event(&mut self, event: Event) {
        let now = self.now();
        if let Some(notification) = self.uplink.event(now, event) {
            self.notified(now, notification);
        }
    }

    fn notified(&mut self, now: Millis, notification: Notification) {
        match notification {
            Notification::Leader { configured, new, .. } => {
                self.configured |= configured;
                if new {
                    self.dispatcher.leader_up(now);
                }
            }
            Notification::Lost => {
                self.last_leader_at = now;
                self.dispatcher.leader_lost(now);
            }
            Notification::Frame(Body::JobReply(reply)) => self.dispatcher.answered(reply),
            Notification::Frame(_) => {}
        }
    }

    fn input(&mut self, input: Input) {
        match input {
            Input::Request { target, verb, timeout_ms, waiter } => {
                let ticket = self.dispatcher.request(self.now(), target, verb, timeout_ms);
                self.waiters.insert(ticket, waiter);
            }
            Input::AddAddresses(addresses) => self.uplink.add_addresses(&addresses),
        }
    }

    fn execute_outputs(&mut self, now: Millis) {
        for output in self.dispatcher.tick(now) {
            self.execute(output);
        }
        // Requests that could not be sent are answered at once.
        for output in self.dispatcher.tick(now) {
            self.execute(output);
        }
    }

    fn execute(&mut self, output: Output) {
        match output {
            Output::Send(request) => {
                let ticket = request.ticket;
                let sent = self.uplink.send(Body::JobRequest(request));
                self.dispatcher.sent(ticket, sent);
            }
            Output::Answer { ticket, answer } => {
                if let Some(waiter) = self.waiters.remove(&ticket) {
                    // The caller may have disconnected.
                    let _ = waiter.reply.send(answer);
                }
            }
        }
    }

    fn update_ready(&mut self, now: Millis) {
        if self.uplink.has_leader() {
            self.last_leader_at = now;
        }
        let recent =
            self.uplink.has_leader() || now.since(self.last_leader_at) < READY_WITHOUT_LEADER_MS;
        let ready = self.configured && recent;
        if self.ready.swap(ready, Ordering::Relaxed) != ready {
            event!(self.log, READY, "ready" => ready, "leader" => self.uplink.has_leader(),
                "configured" => self.configured);
        }
    }
}
