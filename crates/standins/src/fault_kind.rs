//! What a stand-in does wrong.

use std::time::Duration;

/// What a stand-in does wrong with one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultKind {
    /// The call is lost on its way: no effect, no answer.
    LoseRequest,
    /// The answer is lost on its way back, after the effect.
    LoseAnswer,
    /// The answer is cut in its middle, after the effect.
    CutAnswer,
    /// The answer is no valid one, after the effect.
    Malformed,
    /// The service says that it did not run the call.
    Refuse,
    /// The service is not reached.
    Unreachable,
    /// The effect comes this much later, and the answer after it.
    Slow(Duration),
    /// The answer comes this much later than the effect.
    SlowAnswer(Duration),
    /// The answer is lost at once, and the effect comes this much later.
    LateEffect(Duration),
    /// The call is delivered a second time, this much later.
    Duplicate(Duration),
    /// The answer tells an earlier state; for the VM list only.
    Stale,
}

impl FaultKind {
    /// Tells whether the call has no effect, now or later.
    pub fn prevents_effect(self) -> bool {
        matches!(self, Self::LoseRequest | Self::Refuse | Self::Unreachable)
    }
}
