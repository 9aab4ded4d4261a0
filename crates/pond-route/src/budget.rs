//! The budget for retries and hedges.

/// Retries and hedges that may be saved up.
const SAVED: f64 = 10.0;

/// Allows a share of the requests to be sent once more.
#[derive(Clone, Debug)]
pub struct Budget {
    share: f64,
    tokens: f64,
}

impl Budget {
    /// A budget of that share of the requests, such as 0.1.
    pub fn new(share: f64) -> Budget {
        Budget { share, tokens: SAVED }
    }

    /// A request came in.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(SAVED);
    }

    /// Whether one more sending is allowed; it is then spent.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
