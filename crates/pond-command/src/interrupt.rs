//! Waits for Ctrl-C or SIGTERM.

use pond_process::Error;
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};

/// Blocks until the process receives SIGINT or SIGTERM.
///
/// # Errors
/// [`Error::Thread`] if the runtime or a signal handler cannot be set up.
pub fn wait() -> Result<(), Error> {
    let failed = |source| Error::Thread { source };
    let runtime = Builder::new_current_thread().enable_all().build().map_err(failed)?;
    runtime.block_on(async {
        let mut interrupt = signal(SignalKind::interrupt()).map_err(failed)?;
        let mut terminate = signal(SignalKind::terminate()).map_err(failed)?;
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        }
        Ok(())
    })
}
