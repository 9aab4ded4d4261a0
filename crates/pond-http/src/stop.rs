//! A signal that is set once.

use tokio::sync::watch;

/// A signal for a graceful shutdown: the server accepts no more connections, completes the requests in
/// progress, and returns.
#[derive(Clone, Debug)]
pub struct Stop {
    flag: watch::Sender<bool>,
}

impl Default for Stop {
    fn default() -> Stop {
        Stop::new()
    }
}

impl Stop {
    /// Creates a signal that is not set.
    pub fn new() -> Stop {
        Stop { flag: watch::Sender::new(false) }
    }

    /// Sets the signal.
    pub fn stop(&self) {
        self.flag.send_replace(true);
    }

    /// Returns whether the signal is set.
    pub fn stopped(&self) -> bool {
        *self.flag.borrow()
    }

    /// Waits until the signal is set.
    pub async fn wait(&self) {
        let mut receiver = self.flag.subscribe();
        let _ = receiver.wait_for(|stopped| *stopped).await;
    }
}
