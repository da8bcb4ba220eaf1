//! Admission control for requests that find no free slot.

use std::time::Duration;

/// Decision on a request that finds no free slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// Queue the request: it is expected to meet its target.
    Queue,
    /// Refuse the request.
    Refuse {
        /// Expected time until a slot is free for it, after which the caller may retry.
        retry_after: Duration,
    },
}

/// Admission control based on the current load and the mean service time.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionControl {
    /// Number of slots, busy ones included, that this daemon can send requests to.
    pub slot_count: usize,
    /// Number of requests in the queue.
    pub queue_length: usize,
    /// Mean time for which a request occupies a slot.
    pub service_time: Duration,
}

impl AdmissionControl {
    /// Returns the expected time in the queue for one more request.
    pub fn expected_wait(&self) -> Duration {
        let queue_position = u32::try_from(self.queue_length + 1).unwrap_or(u32::MAX);
        let slots = u32::try_from(self.slot_count.max(1)).unwrap_or(u32::MAX);
        self.service_time.saturating_mul(queue_position) / slots
    }

    /// Decides whether to queue a request that should be answered within `remaining` from now.
    ///
    /// A request that is expected to miss its target is refused at once: it would only occupy a
    /// slot that another request could use to meet its own target. Without slots, every request is
    /// refused.
    pub fn decide(&self, remaining: Duration) -> AdmissionDecision {
        let wait = self.expected_wait();
        if self.slot_count > 0 && wait + self.service_time <= remaining {
            return AdmissionDecision::Queue;
        }
        AdmissionDecision::Refuse { retry_after: wait }
    }
}
