//! Handlers of the signals that stop a daemon.

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

/// Handlers of SIGTERM, SIGINT and SIGHUP.
///
/// They stay installed until the end of the process. Otherwise a second SIGTERM, or a SIGHUP from a closing terminal,
/// would kill the process and abort requests in progress.
pub(crate) struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl StopSignals {
    /// Installs the signal handlers.
    pub(crate) fn new() -> Result<Self, DaemonError> {
        let install = |kind| signal(kind).map_err(|source| DaemonError::Signals { source });
        Ok(Self {
            terminate: install(SignalKind::terminate())?,
            interrupt: install(SignalKind::interrupt())?,
            hang_up: install(SignalKind::hangup())?,
        })
    }

    /// Waits for SIGTERM or SIGINT. SIGHUP is only logged.
    pub(crate) async fn wait_for_stop(&mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hang_up.recv() => {
                    info!("[daemon] SIGHUP changes nothing: the named files are checked every second.");
                }
            }
        }
    }

    /// Logs and ignores further signals; never returns.
    pub(crate) async fn ignore_further(&mut self) {
        loop {
            self.wait_for_stop().await;
            warn!("[daemon] The daemon is stopping already; the signal changes nothing.");
        }
    }
}
