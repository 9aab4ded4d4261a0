//! Interface to the external adviser.

use std::future::Future;
use std::pin::Pin;

use pond_job::{Permit, Question};

/// Decides which workers may run the steps of some queues.
pub trait Adviser: Send + Sync + 'static {
    /// Sends one question to the adviser. Returns `None` if there is no valid answer.
    fn advise(
        &self,
        question: Question,
    ) -> Pin<Box<dyn Future<Output = Option<Vec<Permit>>> + Send + '_>>;
}
