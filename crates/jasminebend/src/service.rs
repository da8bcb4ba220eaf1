//! Runs one daemon until a signal.

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
    platform_edges::PlatformEdges,
    set_up_log,
    stop_signals::StopSignals, //
};

/// Reads the certificate, the tokens and the keys that the settings name, as a start would.
pub(crate) fn check_keys(settings: &DaemonSettings) -> Result<(), DaemonError> {
    AccessKeys::load(settings)?;
    PeerKeys::read(&settings.peer_key)?;
    Ok(())
}

/// Runs one daemon until SIGTERM or SIGINT, and stops it gracefully.
pub(crate) async fn run(settings: DaemonSettings) -> Result<(), DaemonError> {
    let _log = set_up_log(settings.log)?;
    let mut signals = StopSignals::new()?;
    let platform = settings.platform.clone().ok_or(DaemonError::NoPlatform)?;
    let reached = PlatformEdges::new(&platform, rand::random())?;
    let traces = settings.traces;
    let traces = TraceExport::install(traces, settings.domain.as_str(), Handle::current())?;
    let (background, ended) = watch::channel(());
    if let Some((token, watch)) = reached.token {
        tokio::spawn(watch.run(replace(token), ended));
    }
    let daemon = EntryDaemon::start(settings, reached.edges).await?;
    signals.first().await;
    tokio::select! {
        () = daemon.stop() => {}
        () = signals.ignore() => {}
    }
    drop(background);
    // The exporter's thread is waited for off the runtime, which it needs for its last request.
    drop(spawn_blocking(move || traces.finish()).await);
    Ok(())
}

fn replace(token: AccessToken) -> impl Fn(&str) -> Result<(), DaemonError> {
    move |text| {
        token.replace(text.trim());
        Ok(())
    }
}
