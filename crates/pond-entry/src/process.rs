//! Starts and stops the threads of an entry.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use pond_http::{Budget, Limits, Stop, serve_within};
use pond_link::Config;
use pond_log::{Logger, Metrics, event};
use pond_process::{Error, Threads, listen, read_token};
use pond_proto::Incarnation;
use pond_proto::wire::Role;
use pond_settings::{Process as Settings, Role as SettingsRole};
use tokio::sync::mpsc;

use crate::caller::Caller;
use crate::route::{self, Inputs, Submission};

/// Maximum number of requests queued for the routing thread.
const MAX_QUEUED: usize = 4096;

/// A running entry.
pub struct Process {
    address: SocketAddr,
    stop: Stop,
    threads: Threads,
    stop_timeout: Duration,
    log: Logger,
}

impl Process {
    /// Starts an entry with the given settings.
    ///
    /// # Errors
    /// See [`Error`]. No thread is left running.
    pub fn start(settings: &Settings, log: Logger) -> Result<Process, Error> {
        let SettingsRole::Entry(entry) = &settings.role else {
            return Err(Error::Role { expected: "entry" });
        };
        let listener = listen(entry.callers)?;
        let address = listener.local_addr().unwrap_or(entry.callers);
        let limits = settings.limits;
        let link_config =
            Config::new(Role::Entry, &settings.name, &settings.data_centre, Incarnation::random())
                .with_limits(limits.frame_bytes, limits.link_queue)
                .with_token(&read_token(settings)?);
        let metrics =
            Metrics::start(settings.metrics, "entry").map_err(|source| Error::Thread { source })?;
        let (sender, submissions) = mpsc::channel(MAX_QUEUED);
        let stop = Stop::new();
        let stop_timeout = Duration::from_millis(limits.stop_ms);
        let mut process =
            Process { address, stop: stop.clone(), threads: Threads::new(), stop_timeout, log };
        let caller = Caller::new(sender, entry.default_deadline_ms);
        let budget = Budget::new(limits.request_memory_bytes);
        let limits = Limits {
            max_connections: limits.connections,
            read_timeout: Duration::from_millis(limits.read_ms),
            max_body_bytes: limits.body_bytes,
            ..Limits::default()
        };
        process.start_callers(listener, limits, budget, caller)?;
        process.start_router(settings, link_config, submissions, metrics)?;
        event!(process.log, STARTED, "callers" => address.to_string());
        Ok(process)
    }

    fn start_callers(
        &mut self,
        listener: TcpListener,
        limits: Limits,
        budget: Budget,
        caller: Caller,
    ) -> Result<(), Error> {
        let (stop, log, max_wait) = (self.stop.clone(), self.log.clone(), self.stop_timeout);
        self.threads.spawn("callers", move || async move {
            let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
            let serving = serve_within(listener, limits, budget, stop.clone(), Arc::new(caller));
            tokio::pin!(serving);
            tokio::select! {
                () = serving.as_mut() => return,
                () = stop.wait() => {}
            }
            if tokio::time::timeout(max_wait, serving).await.is_err() {
                event!(log, STOP_LATE);
            }
        })
    }

    fn start_router(
        &mut self,
        settings: &Settings,
        link_config: Config,
        submissions: mpsc::Receiver<Submission>,
        metrics: Metrics,
    ) -> Result<(), Error> {
        let log = self.log.clone();
        let replicas = settings.replicas.clone();
        let inputs = Inputs { replicas, link_config, submissions, log, metrics };
        self.threads.spawn("route", move || route::run(inputs))
    }

    /// Returns the address for callers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Shuts down gracefully: accepts no more requests, completes those in progress, then ends all
    /// threads.
    pub fn stop(self) {
        event!(self.log, STOPPING);
        self.stop.stop();
        self.threads.join();
        event!(self.log, STOPPED);
    }
}
