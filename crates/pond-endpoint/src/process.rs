//! Starts and stops the thread of an endpoint process.

use std::net::SocketAddr;
use std::time::Duration;

use pond_link::Config;
use pond_log::{Logger, event};
use pond_process::{Error, Threads, listen, read_token};
use pond_proto::Incarnation;
use pond_proto::wire::Role;
use pond_settings::{Process as Settings, Role as SettingsRole};
use tokio::sync::oneshot;

use crate::serve::{self, Inputs};

/// A running endpoint process.
pub struct Process {
    address: SocketAddr,
    stop: oneshot::Sender<()>,
    threads: Threads,
    log: Logger,
}

impl Process {
    /// Starts an endpoint process with the given settings.
    ///
    /// # Errors
    /// See [`Error`]. No thread is left running.
    pub fn start(settings: &Settings, log: Logger) -> Result<Process, Error> {
        let SettingsRole::Endpoint(endpoint) = &settings.role else {
            return Err(Error::Role { expected: "endpoint" });
        };
        let listener = listen(endpoint.internal)?;
        let address = listener.local_addr().unwrap_or(endpoint.internal);
        let limits = settings.limits;
        let terms = Config::new(
            Role::Endpoint,
            &settings.name,
            &settings.data_centre,
            Incarnation::random(),
        )
        .with_limits(limits.frame_bytes, limits.link_queue)
        .with_address(&address.to_string())
        .with_token(&read_token(settings)?);
        let (stop, stopped) = oneshot::channel();
        let replicas = settings.replicas.clone();
        let thread_log = log.clone();
        let mut threads = Threads::new();
        threads.spawn("serve", move || async move {
            let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
            let inputs = Inputs {
                listener,
                replicas,
                terms,
                stop: stopped,
                stop_timeout: Duration::from_millis(limits.stop_ms),
                max_answer_bytes: limits.body_bytes,
                log: thread_log,
            };
            serve::run(inputs).await;
        })?;
        event!(log, STARTED, "internal" => address.to_string());
        Ok(Process { address, stop, threads, log })
    }

    /// Returns the address for internal links.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Shuts down gracefully: refuses new offers, completes the running ones, then ends.
    pub fn stop(self) {
        event!(self.log, STOPPING);
        let _ = self.stop.send(());
        self.threads.join();
        event!(self.log, STOPPED);
    }

    /// Ends at once, as if the process had been killed.
    pub fn kill(self) {
        self.threads.abort();
    }
}
