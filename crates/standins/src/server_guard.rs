//! A running server of a stand-in.

use tokio::sync::watch;

use crate::tap_set::TapSet;

/// A running server of a stand-in. Dropping it closes the listener and every connection.
#[derive(Debug)]
pub struct ServerGuard {
    _closing: watch::Sender<()>,
    taps: TapSet,
}

impl ServerGuard {
    pub(crate) fn new(taps: TapSet) -> (Self, watch::Receiver<()>) {
        let (closing, closed) = watch::channel(());
        let guard = Self {
            _closing: closing,
            taps,
        };
        (guard, closed)
    }

    /// Lets every open connection go silent for good, as when something between the two ends loses
    /// track of them; new ones work.
    pub fn silence_connections(&self) {
        for tap in self.taps.taps() {
            tap.silence();
        }
    }
}
