//! Replaces the access keys when their files change.

use std::sync::Arc;

use spdlog::{
    error,
    info, //
};
use tokio::sync::watch;

use crate::{
    AccessKeys,
    file_watch::FileWatch, //
};

/// Replaces the access keys when their files change.
///
/// A certificate and its key are two files, so that one look may find a new certificate beside the
/// old key. The pair is then refused, the keys in force stay, and the next change is a new try.
#[derive(Debug)]
pub(crate) struct KeyWatch {
    keys: Arc<AccessKeys>,
    files: FileWatch,
}

impl KeyWatch {
    pub(crate) fn new(keys: Arc<AccessKeys>) -> Self {
        let files = FileWatch::new(keys.files());
        Self { keys, files }
    }

    /// Runs until the sender of `stop` is dropped.
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
            Ok(()) => info!("[administration] The keys were replaced."),
            Err(error) => {
                error!("[administration] The new keys are refused, the old ones stay: {error}.");
            }
        }
    }
}
