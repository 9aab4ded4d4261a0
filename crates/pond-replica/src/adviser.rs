//! The border to the outside adviser.

use std::future::Future;
use std::pin::Pin;

use pond_job::{Permit, Question};

/// Knows which workers may run the steps of some queues.
pub trait Adviser: Send + Sync + 'static {
    /// Asks one question; none if there is no answer that can be read.
    fn advise(
        &self,
        question: Question,
    ) -> Pin<Box<dyn Future<Output = Option<Vec<Permit>>> + Send + '_>>;
}
