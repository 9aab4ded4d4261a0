//! Budget for retries and hedged requests.

/// Maximum number of retries and hedges that can be saved up.
const MAX_TOKENS: f64 = 10.0;

/// Limits retries and hedges to a share of the requests, as a token bucket.
#[derive(Clone, Debug)]
pub struct Budget {
    share: f64,
    tokens: f64,
}

impl Budget {
    /// Creates a full budget that allows `share` retries per request, such as 0.1.
    pub fn new(share: f64) -> Budget {
        Budget { share, tokens: MAX_TOKENS }
    }

    /// Records a new request, which adds its share to the budget.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.share).min(MAX_TOKENS);
    }

    /// Takes one retry from the budget; returns false if there is none left.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
