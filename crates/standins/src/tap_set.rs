//! The taps of a server's open connections.

use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    PoisonError, //
};

use crate::tapped_stream::StreamTap;

/// The taps of a server's open connections. Copies share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct TapSet(Arc<Mutex<Vec<StreamTap>>>);

impl TapSet {
    pub(crate) fn add(&self) -> StreamTap {
        let tap = StreamTap::default();
        self.lock().push(tap.clone());
        tap
    }

    pub(crate) fn remove(&self, tap: &StreamTap) {
        self.lock().retain(|other| !other.is_same(tap));
    }

    pub(crate) fn taps(&self) -> Vec<StreamTap> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<StreamTap>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
