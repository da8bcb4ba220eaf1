//! The signals that the program hears.

use spdlog::{
    info,
    warn, //
};
use tokio::signal::unix::{
    Signal,
    SignalKind,
    signal, //
};

use crate::DaemonError;

/// The signals that a daemon hears. They are caught from the start to the end of the process: a
/// second SIGTERM, or a SIGHUP from a closing terminal, would else cut off requests in progress.
pub(crate) struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl StopSignals {
    pub(crate) fn new() -> Result<Self, DaemonError> {
        let catch = |kind| signal(kind).map_err(|source| DaemonError::Signals { source });
        Ok(Self {
            terminate: catch(SignalKind::terminate())?,
            interrupt: catch(SignalKind::interrupt())?,
            hang_up: catch(SignalKind::hangup())?,
        })
    }

    /// Waits for the first signal to stop.
    pub(crate) async fn first(&mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hang_up.recv() => {
                    info!("[daemon] SIGHUP changes nothing: files are looked at each second.");
                }
            }
        }
    }

    /// Hears further signals and does nothing; never ends.
    pub(crate) async fn ignore(&mut self) {
        loop {
            self.first().await;
            warn!("[daemon] Stopping already; the signal changes nothing.");
        }
    }
}
