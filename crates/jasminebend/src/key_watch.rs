//! Replaces the access keys when their files change.

use std::{
    sync::Arc,
    time::Duration, //
};

use blake3::Hash;
use spdlog::{
    error,
    info, //
};
use tokio::{
    sync::watch,
    time::sleep, //
};

use crate::AccessKeys;

const PERIOD: Duration = Duration::from_secs(1);

/// Replaces the access keys when their files change.
///
/// A certificate and its key are two files, so that one look may find a new certificate beside the
/// old key. The pair is then refused, the keys in force stay, and the next change is a new try.
pub(crate) struct KeyWatch {
    keys: Arc<AccessKeys>,
    seen: Hash,
}

impl KeyWatch {
    pub(crate) fn new(keys: Arc<AccessKeys>) -> Self {
        let seen = keys.fingerprint();
        Self { keys, seen }
    }

    /// Looks at the files each second, until the sender of `stop` is dropped.
    pub(crate) async fn run(mut self, mut stop: watch::Receiver<()>) {
        loop {
            tokio::select! {
                _ = stop.changed() => return,
                () = sleep(PERIOD) => self.look(),
            }
        }
    }

    fn look(&mut self) {
        let found = self.keys.fingerprint();
        if found == self.seen {
            return;
        }
        self.seen = found;
        match self.keys.reload() {
            Ok(()) => info!("[administration] The keys were replaced."),
            Err(error) => {
                error!("[administration] The new keys are refused, the old ones stay: {error}.");
            }
        }
    }
}
