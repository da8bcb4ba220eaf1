//! Whether a request may wait for a slot.

use std::time::Duration;

/// Whether a request may wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It may: its target can be met.
    Wait,
    /// It may not.
    Refuse {
        /// When a slot is likely to be free for it, counted from now.
        retry_after: Duration,
    },
}

/// What the decision whether a request may wait rests on.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRule {
    /// The slots that this daemon holds, busy ones included.
    pub slots: usize,
    /// The requests that wait already.
    pub waiting: usize,
    /// The mean time that a request holds a slot.
    pub service_time: Duration,
}

impl AdmissionRule {
    /// Returns how long one more request is likely to wait.
    pub fn expected_wait(&self) -> Duration {
        let ahead = u32::try_from(self.waiting + 1).unwrap_or(u32::MAX);
        let slots = u32::try_from(self.slots.max(1)).unwrap_or(u32::MAX);
        self.service_time.saturating_mul(ahead) / slots
    }

    /// Decides on a request that is to be answered within `left` from now. One that would miss its
    /// target is refused at once: it would only take a slot from one that can still meet it.
    pub fn decide(&self, left: Duration) -> Admission {
        let wait = self.expected_wait();
        if self.slots > 0 && wait + self.service_time <= left {
            return Admission::Wait;
        }
        Admission::Refuse { retry_after: wait }
    }
}
