//! A running server of a stand-in.

use tokio::sync::watch;

/// A running server of a stand-in. Dropping it closes the listener and every connection.
#[derive(Debug)]
pub struct ServerGuard {
    _closing: watch::Sender<()>,
}

impl ServerGuard {
    pub(crate) fn new() -> (Self, watch::Receiver<()>) {
        let (closing, closed) = watch::channel(());
        (Self { _closing: closing }, closed)
    }
}
