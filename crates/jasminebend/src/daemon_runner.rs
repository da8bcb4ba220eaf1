//! Runs a daemon in this process until a signal stops it.

use jasminebend_ports::AccessToken;
use tokio::{
    runtime::Handle,
    sync::watch,
    task::spawn_blocking, //
};

use crate::{
    AccessKeys,
    DaemonError,
    DaemonSettings,
    EntryDaemon,
    TraceExport,
    peer_keys::PeerKeys,
    platform_ports::PlatformPorts,
    set_up_log,
    stop_signals::StopSignals, //
};

/// Checks the certificate, the tokens and the peer keys that the settings name, as starting a daemon does.
pub(crate) fn check_keys(settings: &DaemonSettings) -> Result<(), DaemonError> {
    AccessKeys::load(settings)?;
    PeerKeys::read(&settings.peer_key)?;
    Ok(())
}

/// Runs a daemon until SIGTERM or SIGINT, and stops it gracefully.
pub(crate) async fn run(settings: DaemonSettings) -> Result<(), DaemonError> {
    let _log = set_up_log(settings.log)?;
    let mut signals = StopSignals::new()?;
    let platform = settings.platform.clone().ok_or(DaemonError::NoPlatform)?;
    let platform_ports = PlatformPorts::new(&platform, rand::random())?;
    let traces = settings.traces;
    let traces = TraceExport::install(traces, settings.domain.as_str(), Handle::current())?;
    let (watcher_stop, stop_receiver) = watch::channel(());
    if let Some((token, watcher)) = platform_ports.token {
        tokio::spawn(watcher.run(replace_token(token), stop_receiver));
    }
    let daemon = EntryDaemon::start(settings, platform_ports.ports).await?;
    signals.wait_for_stop().await;
    tokio::select! {
        () = daemon.stop() => {}
        () = signals.ignore_further() => {}
    }
    drop(watcher_stop);
    // The exporter's thread needs the runtime for its last request, so waiting for it must not block the runtime.
    drop(spawn_blocking(move || traces.finish()).await);
    Ok(())
}

/// Returns a function that replaces the platform's bearer token.
fn replace_token(token: AccessToken) -> impl Fn(&str) -> Result<(), DaemonError> {
    move |text| {
        token.replace(text.trim());
        Ok(())
    }
}
