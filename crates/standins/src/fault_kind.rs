//! The faults that a stand-in can inject.

use std::time::Duration;

/// A fault that a stand-in injects into one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultKind {
    /// The request is lost: no effect and no response.
    LoseRequest,
    /// The call takes effect, and its response is lost.
    LoseAnswer,
    /// The call takes effect, and its response is truncated.
    CutAnswer,
    /// The call takes effect, and its response is not valid.
    Malformed,
    /// The service refuses the call and reports that it had no effect.
    Refuse,
    /// The service is unreachable.
    Unreachable,
    /// The effect is delayed by this time, and the response follows it.
    Slow(Duration),
    /// The response is sent this time after the effect.
    SlowAnswer(Duration),
    /// The response is lost at once, and the effect is delayed by this time.
    LateEffect(Duration),
    /// The request is delivered a second time after this delay.
    Duplicate(Duration),
    /// The response shows an earlier state. Only the VM list supports it; other services work without a fault.
    Stale,
}

impl FaultKind {
    /// Returns whether the call has no effect, neither now nor later.
    pub fn prevents_effect(self) -> bool {
        matches!(self, Self::LoseRequest | Self::Refuse | Self::Unreachable)
    }
}
