//! The stream controls of a server's open connections.

use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    PoisonError, //
};

use crate::controlled_stream::StreamControl;

/// The stream controls of a server's open connections. Copies share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct StreamControls(Arc<Mutex<Vec<StreamControl>>>);

impl StreamControls {
    pub(crate) fn add(&self) -> StreamControl {
        let control = StreamControl::default();
        self.lock().push(control.clone());
        control
    }

    pub(crate) fn remove(&self, control: &StreamControl) {
        self.lock().retain(|other| !other.is_same(control));
    }

    pub(crate) fn all(&self) -> Vec<StreamControl> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<StreamControl>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
