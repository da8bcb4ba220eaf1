//! [`CallLimit`]: bounds the calls that callers' requests make.

use std::cell::Cell;

use tokio::sync::{
    Semaphore,
    SemaphorePermit, //
};

/// Bounds the requests of callers that call the store, or other daemons, at once. Each such call takes descriptors.
pub(crate) struct CallLimit {
    limit: usize,
    permits: Semaphore,
    waited: Cell<u64>,
}

impl CallLimit {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            permits: Semaphore::new(limit),
            waited: Cell::new(0),
        }
    }

    /// Waits for the permit to call.
    pub(crate) async fn acquire(&self) -> Option<SemaphorePermit<'_>> {
        if let Ok(permit) = self.permits.try_acquire() {
            return Some(permit);
        }
        self.waited.set(self.waited.get() + 1);
        // `acquire` fails only on a closed semaphore, and this one is never closed.
        self.permits.acquire().await.ok()
    }

    pub(crate) fn limit(&self) -> usize {
        self.limit
    }

    /// Returns how many requests call now.
    pub(crate) fn in_progress(&self) -> usize {
        self.limit.saturating_sub(self.permits.available_permits())
    }

    /// Returns how many requests had to wait since the last call.
    pub(crate) fn take_waited(&self) -> u64 {
        self.waited.take()
    }
}
