//! Starts and stops the threads of a control replica.

use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use crossbeam_channel::{Sender, bounded};
use pond_link::{Config, LinkKey};
use pond_log::{Logger, event};
use pond_platform::{HttpPlatform, Platform};
use pond_process::{Error, Threads, listen, read_token};
use pond_proto::Life;
use pond_proto::quorum::Member;
use pond_proto::wire::Role;
use pond_settings::{Process as Settings, Role as SettingsRole};
use pond_store::{Folder, Store, Writer};
use tokio::sync::mpsc;

use crate::operator::{self, Api, Tokens};
use crate::platform;
use crate::reconcile::Times;
use crate::replica::{Parts, Replica};
use crate::ring::{Input, RING};
use pond_clock::Clock;

/// Events of links that may wait on their way to the ring.
const LINK_EVENTS: usize = 4096;

/// How long a draining endpoint may take at most, in milliseconds.
const DRAIN_MS: u64 = 30_000;

/// How long a task may take to stop, in milliseconds.
const GRACE_MS: u64 = 1_000;

/// How long a VM may be missing from the list before its work is moved, in milliseconds.
const MISSING_MS: u64 = 30_000;

/// A running control replica.
pub struct Process {
    ring: Sender<Input>,
    decider: Option<JoinHandle<bool>>,
    threads: Threads,
    log: Logger,
}

impl Process {
    /// Starts a replica from its settings.
    ///
    /// # Errors
    /// See [`Error`]; nothing is left running.
    pub fn start(settings: &Settings, log: Logger) -> Result<Process, Error> {
        let SettingsRole::Control(control) = &settings.role else {
            return Err(Error::Role { wanted: "control" });
        };
        let internal = listen(control.listen.internal)?;
        let tokens = Tokens::new(control.operator_tokens.clone())?;
        let failed = |error: pond_store::Error| Error::Store { what: error.to_string() };
        let folder = Folder::open(&control.data_folder).map_err(failed)?;
        let (store, recovered) = Store::open(Box::new(folder)).map_err(failed)?;
        let clock = Clock::new();
        let (ring, inputs) = bounded(RING);
        let (orders, order_queue) = mpsc::channel(platform::ORDERS);
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
            ring: inputs,
            orders,
            times: Times {
                lease_ms: lease.span_ms,
                surely_over_ms: lease.surely_over_ms(),
                renew_ms: lease.renew_ms,
                drain_ms: DRAIN_MS,
                grace_ms: GRACE_MS,
                missing_ms: MISSING_MS,
            },
            clock,
            log: log.clone(),
            stop_ms: settings.limits.stop_ms,
        };
        let mut process = Process {
            ring: ring.clone(),
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
        let terms =
            Config::new(Role::Control, &settings.name, &settings.data_centre, Life::random())
                .with_limits(limits.frame_bytes, limits.link_queue)
                .with_address(&address.unwrap_or_default())
                .with_heartbeat(pond_follow::BEAT, pond_follow::SILENCE)
                .with_token(&token);
        let terms = Arc::new(terms);
        // One link for each pair: the replica whose name comes first dials.
        let dialled: Vec<SocketAddr> = settings
            .replicas
            .iter()
            .filter(|replica| replica.name > settings.name)
            .map(|replica| replica.internal)
            .collect();
        let ring = self.ring.clone();
        self.threads.spawn("links", move || async move {
            let (events, mut queue) = mpsc::channel(LINK_EVENTS);
            let Ok(listener) = tokio::net::TcpListener::from_std(internal) else { return };
            tokio::spawn(pond_link::accept(listener, terms.clone(), events.clone()));
            for (i, address) in dialled.into_iter().enumerate() {
                let link = LinkKey(i as u64);
                tokio::spawn(pond_link::dial(address, link, terms.clone(), events.clone()));
            }
            drop(events);
            while let Some(event) = queue.recv().await {
                if !put(&ring, Input::Link(event)).await {
                    return;
                }
            }
        })
    }

    fn start_operators(&mut self, address: SocketAddr, tokens: Tokens) -> Result<(), Error> {
        let (told, ready) = std::sync::mpsc::channel();
        let (ring, log) = (self.ring.clone(), self.log.clone());
        self.threads.spawn("operators", move || async move {
            match operator::start(address, Api::new(ring, tokens), &log) {
                Ok(server) => {
                    let _ = told.send(Ok(()));
                    let _ = server.await;
                }
                Err(error) => {
                    let _ = told.send(Err(error));
                }
            }
        })?;
        ready.recv().unwrap_or(Err(Error::Operator { what: "its thread ended".to_owned() }))
    }

    fn start_platform(
        &mut self,
        platform: Arc<dyn Platform>,
        orders: mpsc::Receiver<platform::Order>,
    ) -> Result<(), Error> {
        let ring = self.ring.clone();
        self.threads.spawn("platform", move || platform::run(platform, orders, ring))
    }

    /// Whether the deciding thread has ended, as it does when the files fail.
    pub fn ended(&self) -> bool {
        self.decider.as_ref().is_none_or(JoinHandle::is_finished)
    }

    /// Ends at once, as if it had been killed: nothing more is written or sent.
    pub fn kill(mut self) {
        let _ = self.ring.send(Input::Kill);
        if let Some(thread) = self.decider.take() {
            let _ = thread.join();
        }
        self.threads.cut_short();
    }

    /// Stops as planned: hands the lead over, then ends all threads. True if all went well.
    pub fn stop(mut self) -> bool {
        let _ = self.ring.send(Input::Stop);
        let well = self.decider.take().is_some_and(|thread| thread.join().unwrap_or(false));
        self.threads.cut_short();
        event!(self.log, STOPPED);
        well
    }
}

async fn put(ring: &Sender<Input>, mut input: Input) -> bool {
    loop {
        match ring.try_send(input) {
            Ok(()) => return true,
            Err(crossbeam_channel::TrySendError::Disconnected(_)) => return false,
            Err(crossbeam_channel::TrySendError::Full(back)) => input = back,
        }
        tokio::time::sleep(std::time::Duration::from_millis(1)).await;
    }
}
