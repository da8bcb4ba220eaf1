//! The calls of a shard that are in progress.

use std::sync::Arc;

use tokio::sync::watch;

/// Counts the calls of a shard that are in progress, for whoever must wait until there are none.
#[derive(Clone, Debug)]
pub(crate) struct FlightCount {
    count: Arc<watch::Sender<usize>>,
}

impl FlightCount {
    pub(crate) fn new() -> Self {
        Self {
            count: Arc::new(watch::Sender::new(0)),
        }
    }

    /// Counts a call until the guard is dropped, even if its task is aborted.
    pub(crate) fn begin(&self) -> FlightGuard {
        self.count.send_modify(|count| *count += 1);
        FlightGuard {
            count: Arc::clone(&self.count),
        }
    }

    pub(crate) async fn wait_idle(&self) {
        let mut count = self.count.subscribe();
        // The sender lives as long as `self`, so that this ends only once the count is zero.
        let _ = count.wait_for(|count| *count == 0).await;
    }
}

/// One call in progress.
#[derive(Debug)]
pub(crate) struct FlightGuard {
    count: Arc<watch::Sender<usize>>,
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        self.count.send_modify(|count| *count -= 1);
    }
}
