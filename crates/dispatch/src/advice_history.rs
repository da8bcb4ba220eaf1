//! History of a step's requests to the advice service.

use std::time::Duration;

use indexmap::{
    IndexMap,
    IndexSet, //
};

use crate::WorkerKey;

/// The time after which unanswered advice is requested again, and the minimum interval between two
/// requests that name no new worker.
const ADVICE_RETRY_INTERVAL: Duration = Duration::from_millis(1500);

/// History of a step's requests to the advice service.
#[derive(Debug, Default)]
pub(crate) struct AdviceHistory {
    /// When the next request may be made.
    next_request_at: Duration,
    /// When the last request was made.
    requested_at: Duration,
    /// The workers that the unanswered request names.
    awaited: Vec<WorkerKey>,
    /// Those of them that have restarted since, so that the answer is about their former incarnations.
    restarted: IndexSet<WorkerKey>,
    /// When each worker was last named in a request that was answered.
    named_at: IndexMap<WorkerKey, Duration>,
    /// The workers that may run the step, as far as known.
    permitted: IndexSet<WorkerKey>,
}

impl AdviceHistory {
    /// Returns whether a request may be made now.
    pub(crate) fn is_due(&self, now: Duration) -> bool {
        now >= self.next_request_at
    }

    /// Returns whether a worker is known to be permitted.
    pub(crate) fn permits(&self, worker: WorkerKey) -> bool {
        self.permitted.contains(&worker)
    }

    /// Returns when a worker was last named in a request that was answered.
    pub(crate) fn named_at(&self, worker: WorkerKey) -> Option<Duration> {
        self.named_at.get(&worker).copied()
    }

    /// Records a request that names these workers, unless all are known and the last request was
    /// made a short time ago; returns whether it is to be sent.
    pub(crate) fn begin_request(&mut self, workers: &[WorkerKey], now: Duration) -> bool {
        let names_new_worker = workers.iter().any(|key| !self.named_at.contains_key(key));
        let earliest = self.requested_at + ADVICE_RETRY_INTERVAL;
        if !names_new_worker && now < earliest {
            self.next_request_at = earliest;
            return false;
        }
        self.requested_at = now;
        self.next_request_at = now + ADVICE_RETRY_INTERVAL;
        self.awaited = workers.to_vec();
        self.restarted.clear();
        !workers.is_empty()
    }

    /// Records that a worker has restarted.
    pub(crate) fn record_restart(&mut self, worker: WorkerKey) {
        if self.awaited.contains(&worker) {
            self.restarted.insert(worker);
        }
    }

    /// Returns whether a worker has restarted since the unanswered request was made.
    pub(crate) fn has_restarted(&self, worker: WorkerKey) -> bool {
        self.restarted.contains(&worker)
    }

    /// Records that the last request was answered, and which workers are permitted.
    pub(crate) fn record_answer<Permitted>(&mut self, permitted: Permitted)
    where
        Permitted: IntoIterator<Item = WorkerKey>,
    {
        let requested_at = self.requested_at;
        let named = self.awaited.drain(..).map(|key| (key, requested_at));
        self.named_at.extend(named);
        self.permitted.extend(permitted);
        self.next_request_at = Duration::ZERO;
    }
}
