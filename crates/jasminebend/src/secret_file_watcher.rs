//! Reloads a secret when its file changes.

use std::path::{
    Path,
    PathBuf, //
};

use spdlog::{
    error,
    info, //
};
use tokio::sync::watch;

use crate::{
    DaemonError,
    file_watcher::FileWatcher,
    peer_keys::read_secret, //
};

/// Reloads a secret when its file changes.
///
/// Create it before the secret is first read. Otherwise a replacement of the file between the two would go unnoticed
/// until the file is replaced again.
#[derive(Debug)]
pub(crate) struct SecretFileWatcher {
    path: PathBuf,
    files: FileWatcher,
}

impl SecretFileWatcher {
    pub(crate) fn new(path: &Path) -> Self {
        Self {
            path: path.to_owned(),
            files: FileWatcher::new(vec![path.to_owned()]),
        }
    }

    /// Passes each new content to `apply`, until the sender of `stop` is dropped. If `apply` returns an error, the
    /// current secret stays.
    pub(crate) async fn run<Apply>(mut self, apply: Apply, mut stop: watch::Receiver<()>)
    where
        Apply: Fn(&str) -> Result<(), DaemonError>,
    {
        loop {
            tokio::select! {
                _ = stop.changed() => return,
                () = self.files.changed() => {}
            }
            let applied = read_secret(&self.path).and_then(|text| apply(&text));
            match applied {
                Ok(()) => info!(
                    "[daemon] The secret in {} was replaced.",
                    self.path.display()
                ),
                Err(error) => {
                    error!("[daemon] The new secret is invalid, the old one stays: {error}.");
                }
            }
        }
    }
}
