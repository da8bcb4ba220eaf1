//! Limit on the load that retries and hedged attempts add.

/// Token bucket that limits the load added by retries and hedged attempts: each first attempt adds
/// a fraction of a token, each further attempt takes a whole one.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    ratio: f64,
    burst: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    ///
    /// `ratio` is the number of further attempts allowed for each first one, `burst` the maximum
    /// number of tokens in the bucket.
    pub fn new(ratio: f64, burst: f64) -> Self {
        Self {
            ratio,
            burst,
            tokens: burst,
        }
    }

    /// Adds the tokens for a first attempt.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Takes a token for a further attempt; returns `false` if less than one token is left.
    pub fn try_withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
