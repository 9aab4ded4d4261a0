//! Threads, one for each duty, each with a runtime of its own.

use std::thread::{self, JoinHandle};

use tokio::runtime::Builder;
use tokio::sync::oneshot;

use crate::Error;

/// The running threads of a process.
#[derive(Debug, Default)]
pub struct Threads {
    running: Vec<(oneshot::Sender<()>, JoinHandle<()>)>,
}

impl Threads {
    /// None yet.
    pub fn new() -> Threads {
        Threads::default()
    }

    /// Runs a duty on a thread of its own until it ends or is cut short.
    ///
    /// # Errors
    /// [`Error::Thread`] if the system gives no thread or runtime.
    pub fn spawn<F>(
        &mut self,
        name: &str,
        duty: impl FnOnce() -> F + Send + 'static,
    ) -> Result<(), Error>
    where
        F: Future<Output = ()>,
    {
        let (stop, stopped) = oneshot::channel();
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|source| Error::Thread { source })?;
        let run = move || {
            runtime.block_on(async {
                tokio::select! {
                    () = duty() => {}
                    _ = stopped => {}
                }
            });
        };
        let thread = thread::Builder::new().name(name.to_owned()).spawn(run);
        self.running.push((stop, thread.map_err(|source| Error::Thread { source })?));
        Ok(())
    }

    /// Waits until all duties have ended by themselves.
    pub fn join(self) {
        // The senders live until the threads have ended, as their drop would cut duties short.
        for (_stop, thread) in self.running {
            let _ = thread.join();
        }
    }

    /// Cuts all duties short and waits for their threads.
    pub fn abort(self) {
        let (stops, threads): (Vec<_>, Vec<_>) = self.running.into_iter().unzip();
        drop(stops);
        for thread in threads {
            let _ = thread.join();
        }
    }
}
