//! The threads of a control replica.

use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use crossbeam_channel::{Sender, bounded};
use pond_link::{Config, LinkKey};
use pond_log::{Logger, event};
use pond_platform::{HttpPlatform, Platform};
use pond_process::{Error, Threads, listen, read_token};
use pond_proto::Incarnation;
use pond_proto::quorum::Member;
use pond_proto::wire::Role;
use pond_settings::{Process as Settings, Role as SettingsRole};
use pond_store::{Folder, Store, Writer};
use tokio::sync::mpsc;

use crate::input::{INPUT_CAPACITY, Input};
use crate::operator::{self, Api, Tokens};
use crate::platform;
use crate::reconcile::Times;
use crate::replica::{Parts, Replica};
use pond_clock::Clock;

/// Maximum number of link events that wait to be forwarded to the deciding thread.
const MAX_LINK_EVENTS: usize = 4096;

/// Maximum time for draining an endpoint, in milliseconds.
const MAX_DRAIN_MS: u64 = 30_000;

/// Time that a task gets to stop, in milliseconds.
const STOP_GRACE_MS: u64 = 1_000;

/// Time for which a VM may be missing from the list before its work is moved, in milliseconds.
const MAX_MISSING_MS: u64 = 30_000;

/// A running control replica.
pub struct Process {
    input_sender: Sender<Input>,
    decider: Option<JoinHandle<bool>>,
    threads: Threads,
    log: Logger,
}

impl Process {
    /// Starts a replica from its settings.
    ///
    /// # Errors
    /// See [`Error`]; no thread is left running.
    pub fn start(settings: &Settings, log: Logger) -> Result<Process, Error> {
        let SettingsRole::Control(control) = &settings.role else {
            return Err(Error::Role { expected: "control" });
        };
        let internal = listen(control.listen.internal)?;
        let tokens = Tokens::new(control.operator_tokens.clone())?;
        let failed = |error: pond_store::Error| Error::Store { reason: error.to_string() };
        let folder = Folder::open(&control.data_folder).map_err(failed)?;
        let (store, recovered) = Store::open(Box::new(folder)).map_err(failed)?;
        let clock = Clock::new();
        let (input_sender, inputs) = bounded(INPUT_CAPACITY);
        let (orders, order_queue) = mpsc::channel(platform::MAX_ORDERS);
        let member = Member {
            id: recovered.id,
            name: settings.name.clone(),
            address: control.listen.internal.to_string(),
            voter: true,
        };
        let lease = control.lease;
        let parts = Parts {
            name: settings.name.clone(),
            replicas: settings.replicas.clone(),
            writer: Writer::new(store),
            recovered,
            member,
            input_receiver: inputs,
            orders,
            times: Times {
                lease_ms: lease.span_ms,
                lease_expiry_ms: lease.expiry_ms(),
                renew_ms: lease.renew_ms,
                drain_ms: MAX_DRAIN_MS,
                grace_ms: STOP_GRACE_MS,
                missing_ms: MAX_MISSING_MS,
            },
            clock,
            log: log.clone(),
            stop_ms: settings.limits.stop_ms,
        };
        let mut process = Process {
            input_sender: input_sender.clone(),
            decider: None,
            threads: Threads::new(),
            log: log.clone(),
        };
        process.start_decider(parts)?;
        process.start_links(settings, internal)?;
        process.start_operators(control.listen.operator, tokens)?;
        let platform: Arc<dyn Platform> = Arc::new(HttpPlatform::new(control.platform));
        process.start_platform(platform, order_queue)?;
        event!(log, STARTED, "internal" => control.listen.internal.to_string(),
            "operator" => control.listen.operator.to_string());
        Ok(process)
    }

    fn start_decider(&mut self, parts: Parts) -> Result<(), Error> {
        let log = self.log.clone();
        let decide = move || {
            let ended = match Replica::new(parts) {
                Ok(replica) => replica.run().map_err(|error| error.to_string()),
                Err(what) => Err(what),
            };
            if let Err(what) = &ended {
                event!(log, STORE_FAILED, "why" => what.clone());
            }
            ended.is_ok()
        };
        let thread = thread::Builder::new().name("decide".to_owned()).spawn(decide);
        self.decider = Some(thread.map_err(|source| Error::Thread { source })?);
        Ok(())
    }

    fn start_links(&mut self, settings: &Settings, internal: StdListener) -> Result<(), Error> {
        let address = internal.local_addr().map(|address| address.to_string());
        let token = read_token(settings)?;
        let limits = settings.limits;
        let terms = Config::new(
            Role::Control,
            &settings.name,
            &settings.data_centre,
            Incarnation::random(),
        )
        .with_limits(limits.frame_bytes, limits.link_queue)
        .with_address(&address.unwrap_or_default())
        .with_heartbeat(pond_follow::HEARTBEAT_INTERVAL, pond_follow::SILENCE_TIMEOUT)
        .with_token(&token);
        let terms = Arc::new(terms);
        // There is one link for each pair of replicas: the one whose name sorts first dials.
        let dialled: Vec<SocketAddr> = settings
            .replicas
            .iter()
            .filter(|replica| replica.name > settings.name)
            .map(|replica| replica.internal)
            .collect();
        let input_sender = self.input_sender.clone();
        self.threads.spawn("links", move || async move {
            let (events, mut queue) = mpsc::channel(MAX_LINK_EVENTS);
            let Ok(listener) = tokio::net::TcpListener::from_std(internal) else { return };
            tokio::spawn(pond_link::accept(listener, terms.clone(), events.clone()));
            for (i, address) in dialled.into_iter().enumerate() {
                let link = LinkKey(i as u64);
                tokio::spawn(pond_link::dial(address, link, terms.clone(), events.clone()));
            }
            drop(events);
            while let Some(event) = queue.recv().await {
                if !send_input(&input_sender, Input::Link(event)).await {
                    return;
                }
            }
        })
    }

    fn start_operators(&mut self, address: SocketAddr, tokens: Tokens) -> Result<(), Error> {
        let (started, ready) = std::sync::mpsc::channel();
        let (input_sender, log) = (self.input_sender.clone(), self.log.clone());
        self.threads.spawn("operators", move || async move {
            match operator::start(address, Api::new(input_sender, tokens), &log) {
                Ok(server) => {
                    let _ = started.send(Ok(()));
                    let _ = server.await;
                }
                Err(error) => {
                    let _ = started.send(Err(error));
                }
            }
        })?;
        ready.recv().unwrap_or(Err(Error::Operator { reason: "its thread ended".to_owned() }))
    }

    fn start_platform(
        &mut self,
        platform: Arc<dyn Platform>,
        orders: mpsc::Receiver<platform::Order>,
    ) -> Result<(), Error> {
        let input_sender = self.input_sender.clone();
        self.threads.spawn("platform", move || platform::run(platform, orders, input_sender))
    }

    /// Returns whether the deciding thread has ended, which also happens when the data files fail.
    pub fn ended(&self) -> bool {
        self.decider.as_ref().is_none_or(JoinHandle::is_finished)
    }

    /// Ends the process at once, as if it had been killed: nothing more is written or sent.
    pub fn kill(mut self) {
        let _ = self.input_sender.send(Input::Kill);
        if let Some(thread) = self.decider.take() {
            let _ = thread.join();
        }
        self.threads.abort();
    }

    /// Stops the process as planned: hands leadership over, then ends all threads. Returns whether
    /// the deciding thread ended without an error.
    pub fn stop(mut self) -> bool {
        let _ = self.input_sender.send(Input::Stop);
        let succeeded = self.decider.take().is_some_and(|thread| thread.join().unwrap_or(false));
        self.threads.abort();
        event!(self.log, STOPPED);
        succeeded
    }
}

async fn send_input(input_sender: &Sender<Input>, mut input: Input) -> bool {
    loop {
        match input_sender.try_send(input) {
            Ok(()) => return true,
            Err(crossbeam_channel::TrySendError::Disconnected(_)) => return false,
            Err(crossbeam_channel::TrySendError::Full(back)) => input = back,
        }
        tokio::time::sleep(std::time::Duration::from_millis(1)).await;
    }
}
