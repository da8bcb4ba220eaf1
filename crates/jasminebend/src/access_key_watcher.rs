//! Reloads the access keys when their files change.

use std::sync::Arc;

use spdlog::{
    error,
    info, //
};
use tokio::sync::watch;

use crate::{
    AccessKeys,
    file_watcher::FileWatcher, //
};

/// Reloads the access keys when their files change.
///
/// A certificate and its private key are two files, so a check may find a new certificate beside the old key. The pair
/// is then rejected, the current keys stay, and the next change triggers another reload.
#[derive(Debug)]
pub(crate) struct AccessKeyWatcher {
    keys: Arc<AccessKeys>,
    files: FileWatcher,
}

impl AccessKeyWatcher {
    pub(crate) fn new(keys: Arc<AccessKeys>) -> Self {
        let files = FileWatcher::new(keys.files());
        Self { keys, files }
    }

    /// Reloads the keys after each change, until the sender of `stop` is dropped.
    pub(crate) async fn run(mut self, mut stop: watch::Receiver<()>) {
        loop {
            tokio::select! {
                _ = stop.changed() => return,
                () = self.files.changed() => self.reload(),
            }
        }
    }

    fn reload(&self) {
        match self.keys.reload() {
            Ok(()) => info!("[administration] The certificate and tokens were reloaded."),
            Err(error) => {
                error!(
                    "[administration] The new certificate or tokens are invalid, the current ones \
                     stay: {error}."
                );
            }
        }
    }
}
