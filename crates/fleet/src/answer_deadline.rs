//! When a call is given up.

use std::{
    cell::Cell,
    time::Duration, //
};

use tokio::time::{
    self,
    Instant, //
};

/// The longest time that an answer may take while its parts go on arriving.
const MAX_DOWNLOAD_TIME: Duration = Duration::from_secs(10);

/// When a call is given up: after a fixed time, or once no part of its answer has arrived for that time.
#[derive(Debug)]
pub(crate) struct AnswerDeadline {
    due: Cell<Instant>,
    /// The time by which each part of the answer extends the deadline, and the latest deadline.
    extension: Option<(Duration, Instant)>,
}

impl AnswerDeadline {
    /// Creates a deadline for the whole call.
    pub(crate) fn after(timeout: Duration) -> Self {
        Self {
            due: Cell::new(Instant::now() + timeout),
            extension: None,
        }
    }

    /// Creates a deadline that each part of the answer extends.
    pub(crate) fn after_stall(timeout: Duration) -> Self {
        let now = Instant::now();
        Self {
            due: Cell::new(now + timeout),
            extension: Some((timeout, now + MAX_DOWNLOAD_TIME)),
        }
    }

    /// Returns the present deadline, but at most `limit` from now.
    pub(crate) fn within(&self, limit: Duration) -> Instant {
        self.due.get().min(Instant::now() + limit)
    }

    /// Records that a part of the answer has arrived.
    pub(crate) fn extend(&self) {
        if let Some((extension, latest)) = self.extension {
            self.due.set((Instant::now() + extension).min(latest));
        }
    }

    /// Waits until the deadline has passed.
    pub(crate) async fn passed(&self) {
        while Instant::now() < self.due.get() {
            time::sleep_until(self.due.get()).await;
        }
    }
}
