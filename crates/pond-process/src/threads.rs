//! Named threads, each with its own async runtime.

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
    /// Creates an empty set.
    pub fn new() -> Threads {
        Threads::default()
    }

    /// Runs a future on a dedicated thread until it completes or is aborted.
    ///
    /// # Errors
    /// [`Error::Thread`] if the thread or its runtime cannot be created.
    pub fn spawn<F>(
        &mut self,
        name: &str,
        task: impl FnOnce() -> F + Send + 'static,
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
                    () = task() => {}
                    _ = stopped => {}
                }
            });
        };
        let thread = thread::Builder::new().name(name.to_owned()).spawn(run);
        self.running.push((stop, thread.map_err(|source| Error::Thread { source })?));
        Ok(())
    }

    /// Waits until all futures have completed.
    pub fn join(self) {
        // Dropping a sender aborts its future, so each is kept until its thread has ended.
        for (_stop, thread) in self.running {
            let _ = thread.join();
        }
    }

    /// Aborts all futures and waits for their threads.
    pub fn abort(self) {
        let (stops, threads): (Vec<_>, Vec<_>) = self.running.into_iter().unzip();
        drop(stops);
        for thread in threads {
            let _ = thread.join();
        }
    }
}
