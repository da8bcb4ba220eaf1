//! [`StreamLimit`]: bounds the incomplete request bodies that are forwarded to a service.

use std::{
    pin::pin,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            AtomicUsize,
            Ordering, //
        },
    },
};

use tokio::sync::Notify;

/// Bounds the incomplete request bodies that are forwarded to a service.
#[derive(Debug, Default)]
pub(crate) struct StreamLimit {
    streams: Arc<StreamCount>,
}

/// The right to forward a body while it is incomplete; clones share it. It counts until the body is complete, or until all
/// clones are dropped.
#[derive(Clone, Debug)]
pub(crate) struct StreamPermit {
    state: Arc<PermitState>,
}

#[derive(Debug, Default)]
struct StreamCount {
    permits: AtomicUsize,
    released: Notify,
}

#[derive(Debug)]
struct PermitState {
    streams: Arc<StreamCount>,
    is_released: AtomicBool,
}

impl StreamLimit {
    /// Waits until fewer permits than `max_permits` returns are in use, and takes one.
    pub(crate) async fn acquire<MaxPermits>(&self, max_permits: MaxPermits) -> StreamPermit
    where
        MaxPermits: Fn() -> usize,
    {
        loop {
            let mut released = pin!(self.streams.released.notified());
            released.as_mut().enable();
            if let Some(permit) = self.try_acquire(max_permits()) {
                return permit;
            }
            released.await;
        }
    }

    /// Returns the number of permits in use.
    pub(crate) fn permit_count(&self) -> usize {
        self.streams.permits.load(Ordering::Relaxed)
    }

    /// Has the requests that wait for a permit check the limit again, which may have grown.
    pub(crate) fn notify_waiters(&self) {
        self.streams.released.notify_waiters();
    }

    fn try_acquire(&self, max_permits: usize) -> Option<StreamPermit> {
        let take = |permits: usize| (permits < max_permits).then(|| permits + 1);
        self.streams
            .permits
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .ok()?;
        let state = PermitState {
            streams: Arc::clone(&self.streams),
            is_released: AtomicBool::new(false),
        };
        Some(StreamPermit {
            state: Arc::new(state),
        })
    }
}

impl StreamPermit {
    /// Releases the permit, because the body is complete.
    pub(crate) fn release(&self) {
        self.state.release();
    }
}

impl PermitState {
    fn release(&self) {
        if !self.is_released.swap(true, Ordering::Relaxed) {
            self.streams.permits.fetch_sub(1, Ordering::Relaxed);
            self.streams.released.notify_one();
        }
    }
}

impl Drop for PermitState {
    fn drop(&mut self) {
        self.release();
    }
}
