//! [`DescriptorShortage`]: descriptors that a process's own calls lack.

use std::{
    io,
    sync::Arc, //
};

use tokio::sync::Notify;

/// Reports that a process's own calls lack descriptors to its connection tables; clones share it.
///
/// The connections of clients that wait for a request, or for the rest of one, then close.
#[derive(Clone, Debug, Default)]
pub struct DescriptorShortage {
    reported: Arc<Notify>,
}

impl DescriptorShortage {
    /// Reports an error of a call of the process's own; returns whether it was due to a lack of descriptors.
    pub fn report(&self, error: &io::Error) -> bool {
        let is_shortage = lacks_descriptor(error);
        if is_shortage {
            self.reported.notify_waiters();
        }
        is_shortage
    }

    /// Waits until a shortage is reported.
    pub(crate) async fn reported(&self) {
        self.reported.notified().await;
    }
}

/// Returns whether an operation failed for the lack of a descriptor.
pub(crate) fn lacks_descriptor(error: &io::Error) -> bool {
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    matches!(error.raw_os_error(), Some(ENFILE | EMFILE))
}
