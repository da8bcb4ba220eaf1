//! The handle of a stand-in's running server.

use tokio::sync::watch;

use crate::stream_controls::StreamControls;

/// The handle of a stand-in's running server. Dropping it closes the listener and every connection.
#[derive(Debug)]
pub struct ServerGuard {
    /// Closes the channel that the server's tasks watch when it is dropped.
    _closing: watch::Sender<()>,
    controls: StreamControls,
}

impl ServerGuard {
    pub(crate) fn new(controls: StreamControls) -> (Self, watch::Receiver<()>) {
        let (closing, closed) = watch::channel(());
        let guard = Self {
            _closing: closing,
            controls,
        };
        (guard, closed)
    }

    /// Makes every open connection silent for the rest of its life, as a NAT or firewall does that loses its
    /// connection state. New connections work.
    pub fn silence_connections(&self) {
        for control in self.controls.all() {
            control.silence();
        }
    }
}
