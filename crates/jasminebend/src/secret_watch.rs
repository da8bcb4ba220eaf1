//! Replaces a secret when its file changes.

use std::path::PathBuf;

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

/// Hands the content of `path` to `apply` each time that it changes, until the sender of `stop` is
/// dropped. A content that is refused leaves the secret in force.
pub(crate) async fn watch_secret<Apply>(path: PathBuf, apply: Apply, mut stop: watch::Receiver<()>)
where
    Apply: Fn(&str) -> Result<(), DaemonError>,
{
    let mut files = FileWatch::new(vec![path.clone()]);
    loop {
        tokio::select! {
            _ = stop.changed() => return,
            () = files.changed() => {}
        }
        let applied = read_secret(&path).and_then(|text| apply(&text));
        match applied {
            Ok(()) => info!("[daemon] The secret in {} was replaced.", path.display()),
            Err(error) => error!("[daemon] A new secret is refused, the old one stays: {error}."),
        }
    }
}
