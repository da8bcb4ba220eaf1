//! Counts the calls of a shard that are in progress.

use std::sync::Arc;

use tokio::sync::watch;

/// Counts the calls of a shard that are in progress, and lets others wait until there are none.
#[derive(Clone, Debug)]
pub(crate) struct InFlightCalls {
    count: Arc<watch::Sender<usize>>,
}

impl InFlightCalls {
    pub(crate) fn new() -> Self {
        Self {
            count: Arc::new(watch::Sender::new(0)),
        }
    }

    /// Counts one call as in progress until the returned guard is dropped, also when the call's
    /// task is aborted.
    pub(crate) fn track(&self) -> InFlightCall {
        self.count.send_modify(|count| *count += 1);
        InFlightCall {
            count: Arc::clone(&self.count),
        }
    }

    /// Waits until no call is in progress.
    pub(crate) async fn wait_idle(&self) {
        let mut count = self.count.subscribe();
        // `self` keeps the sender alive, so this returns only once the count is zero.
        let _ = count.wait_for(|count| *count == 0).await;
    }
}

/// Counts one call as in progress while it exists.
#[derive(Debug)]
pub(crate) struct InFlightCall {
    count: Arc<watch::Sender<usize>>,
}

impl Drop for InFlightCall {
    fn drop(&mut self) {
        self.count.send_modify(|count| *count -= 1);
    }
}
