//! Bounds the load that retries and hedges add.

/// Bounds the load that retries and hedges add: each first attempt earns a share of a token, each
/// further attempt takes a whole one.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    ratio: f64,
    burst: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Creates a full budget; `ratio` is the further attempts allowed for each first one, `burst`
    /// the tokens that may be saved up.
    pub fn new(ratio: f64, burst: f64) -> Self {
        Self {
            ratio,
            burst,
            tokens: burst,
        }
    }

    /// Notes a first attempt.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Takes a token for a further attempt; `false` if there is none.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
