//! Replaces a secret when its file changes.

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
    file_watch::FileWatch,
    peer_keys::read_secret, //
};

/// Replaces a secret when its file changes.
///
/// It is made before the secret is first read: a file that is replaced between the two would
/// otherwise go unnoticed until it is replaced again.
#[derive(Debug)]
pub(crate) struct SecretWatch {
    path: PathBuf,
    files: FileWatch,
}

impl SecretWatch {
    pub(crate) fn new(path: &Path) -> Self {
        Self {
            path: path.to_owned(),
            files: FileWatch::new(vec![path.to_owned()]),
        }
    }

    /// Hands each new content to `apply`, until the sender of `stop` is dropped. A content that is
    /// refused leaves the secret in force.
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
                    error!("[daemon] A new secret is refused, the old one stays: {error}.");
                }
            }
        }
    }
}
