//! Runs the daemon on the users' platform, as its settings file says.

use std::{
    io,
    process::ExitCode,
    rc::Rc, //
};

use async_trait::async_trait;
use bytes::Bytes;
use http::{
    Request,
    Response,
    header::{
        CONTENT_TYPE,
        HeaderValue, //
    }, //
};
use http_body_util::Full;
use hyper::body::Incoming;
use jasminebend_dispatch::PolicySwitches;
use jasminebend_fleet::{
    FleetAdvice,
    FleetDaemon,
    FleetLog,
    FleetPorts,
    FleetVms,
    HttpHandler,
    HttpPool,
    LogEvent, //
};
use jasminebend_platform::{
    AdviceCalls,
    CallerFront,
    PlatformSettings,
    StoreCalls,
    VmCalls,
    WorkerCalls, //
};
use jasminebend_ports::SystemClock;
use serde::Serialize;
use tokio::{
    runtime::Builder,
    signal::unix::{
        SignalKind,
        signal, //
    },
    sync::watch,
    task::{
        LocalSet,
        spawn_local, //
    }, //
};

use crate::{
    MetricsHub,
    end_on_panic, //
};

const MISUSED: u8 = 2;
const FAILED: u8 = 1;

#[derive(Serialize)]
struct ReloadLine {
    change: &'static str,
    outcome: String,
}

/// Runs the daemon until a signal ends it, without the parts of the policy that are switched off.
pub(crate) fn run_fleet(switches: PolicySwitches) -> ExitCode {
    end_on_panic();
    let mut settings = match PlatformSettings::from_environment() {
        Ok(settings) => settings,
        Err(error) => return fail(MISUSED, &error.to_string()),
    };
    settings.fleet.dispatch.switches = switches;
    // One thread: the machines have a fraction of a core, and nothing has to be locked.
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fail(FAILED, &error.to_string()),
    };
    match LocalSet::new().block_on(&runtime, run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(FAILED, &error.to_string()),
    }
}

async fn run(settings: PlatformSettings) -> io::Result<()> {
    let log = FleetLog::new(&settings.fleet.node, io::stdout());
    let stop = stop_on_signals(&log, &settings)?;
    let pool = Rc::new(HttpPool::new());
    let advice = settings.advice.as_ref().map(|address| {
        let calls = AdviceCalls::new(Rc::clone(&pool), address);
        Rc::new(calls) as Rc<dyn FleetAdvice>
    });
    let vms = settings.vms.as_ref().map(|address| {
        let calls = VmCalls::new(Rc::clone(&pool), address);
        Rc::new(calls) as Rc<dyn FleetVms>
    });
    let ports = FleetPorts {
        clock: Rc::new(SystemClock::new()),
        store: Rc::new(StoreCalls::new(Rc::clone(&pool), settings.store)),
        workers: Rc::new(WorkerCalls::new()),
        advice,
        vms,
        pool,
        log,
    };
    let metrics = Rc::new(MetricsPage {
        hub: MetricsHub::install(),
    });
    let daemon = FleetDaemon::new(settings.fleet, ports, stop);
    let front = Rc::new(CallerFront::new(daemon.job_api()));
    daemon.run(front, metrics).await
}

/// Returns what turns true at the first SIGTERM or SIGINT. A further one changes nothing; SIGHUP has the
/// settings read again.
fn stop_on_signals(
    log: &FleetLog,
    settings: &PlatformSettings,
) -> io::Result<watch::Receiver<bool>> {
    let (stop, stopping) = watch::channel(false);
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let (log, known) = (log.clone(), settings.clone());
    spawn_local(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => drop(stop.send(true)),
                _ = interrupt.recv() => drop(stop.send(true)),
                _ = hangup.recv() => tell_reload(&log, &known),
            }
        }
    });
    Ok(stopping)
}

/// What the settings name is bound at the start; a change is told, and in force after a restart.
fn tell_reload(log: &FleetLog, known: &PlatformSettings) {
    let outcome = match PlatformSettings::from_environment() {
        Ok(settings) if settings == *known => "unchanged".to_owned(),
        Ok(_) => "changed; in force after a restart".to_owned(),
        Err(error) => error.to_string(),
    };
    log.line(
        LogEvent::Daemon,
        ReloadLine {
            change: "reload",
            outcome,
        },
    );
}

fn fail(code: u8, cause: &str) -> ExitCode {
    eprintln!("jasminebend: {cause}");
    ExitCode::from(code)
}

/// Writes the metrics as a page.
struct MetricsPage {
    hub: MetricsHub,
}

#[async_trait(?Send)]
impl HttpHandler for MetricsPage {
    async fn handle(&self, _request: Request<Incoming>) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(Bytes::from(self.hub.render())));
        response.headers_mut().insert(
            CONTENT_TYPE,
            HeaderValue::from_static("text/plain; version=0.0.4"),
        );
        response
    }
}
