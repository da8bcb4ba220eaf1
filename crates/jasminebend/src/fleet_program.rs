//! Runs the fleet daemon, which works on the users' platform.

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
use jasminebend_dispatch::PolicySwitches;
use jasminebend_fleet::{
    FleetAdvice,
    FleetDaemon,
    FleetLog,
    FleetPorts,
    FleetVms,
    HttpHandler,
    HttpPool,
    LogEvent,
    RequestBody, //
};
use jasminebend_ingress::DescriptorShortage;
use jasminebend_platform::{
    AdviceClient,
    CallerHandler,
    PlatformSettings,
    StoreClient,
    VmClient,
    WorkerClient, //
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
    MetricsExporter,
    exit_on_panic, //
};

const EXIT_USAGE_ERROR: u8 = 2;
const EXIT_FAILURE: u8 = 1;

/// The fields of the log line that reports the result of a SIGHUP.
#[derive(Serialize)]
struct ReloadLine {
    change: &'static str,
    outcome: String,
}

/// Runs the fleet daemon until a signal stops it. The policy parts that `switches` turns off are not used.
pub(crate) fn run_fleet(switches: PolicySwitches) -> ExitCode {
    exit_on_panic();
    let mut settings = match PlatformSettings::from_environment() {
        Ok(settings) => settings,
        Err(error) => return fail(EXIT_USAGE_ERROR, &error.to_string()),
    };
    settings.fleet.dispatch.switches = switches;
    // A single-threaded runtime: the VMs have a fraction of a core, and the daemon's state needs no locks.
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fail(EXIT_FAILURE, &error.to_string()),
    };
    match LocalSet::new().block_on(&runtime, run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(EXIT_FAILURE, &error.to_string()),
    }
}

async fn run(settings: PlatformSettings) -> io::Result<()> {
    let log = FleetLog::new(&settings.fleet.node, io::stdout());
    let stop = stop_on_signals(&log, &settings)?;
    let shortage = DescriptorShortage::default();
    let pool = Rc::new(HttpPool::new().with_shortage(&shortage));
    let advice = settings.advice_address.as_ref().map(|address| {
        let client = AdviceClient::new(Rc::clone(&pool), address);
        Rc::new(client) as Rc<dyn FleetAdvice>
    });
    let vms = settings.vm_service_address.as_ref().map(|address| {
        let client = VmClient::new(Rc::clone(&pool), address);
        Rc::new(client) as Rc<dyn FleetVms>
    });
    let ports = FleetPorts {
        clock: Rc::new(SystemClock::new()),
        store: Rc::new(StoreClient::new(Rc::clone(&pool), settings.store_address)),
        workers: Rc::new(WorkerClient::new().with_shortage(&shortage)),
        advice,
        vms,
        pool,
        shortage,
        log,
    };
    let metrics = Rc::new(MetricsHandler {
        exporter: MetricsExporter::install(),
    });
    let daemon = FleetDaemon::new(settings.fleet, ports, stop);
    let caller_handler = Rc::new(CallerHandler::new(daemon.job_api()));
    daemon.run(caller_handler, metrics).await
}

/// Returns a receiver that becomes true at the first SIGTERM or SIGINT; further ones have no effect. SIGHUP reads the
/// settings again and logs whether they changed.
fn stop_on_signals(
    log: &FleetLog,
    settings: &PlatformSettings,
) -> io::Result<watch::Receiver<bool>> {
    let (stop, stopping) = watch::channel(false);
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let (log, current) = (log.clone(), settings.clone());
    spawn_local(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => drop(stop.send(true)),
                _ = interrupt.recv() => drop(stop.send(true)),
                _ = hangup.recv() => log_reload(&log, &current),
            }
        }
    });
    Ok(stopping)
}

/// Reads the settings again and logs whether they differ from the current ones. A change takes effect only after a
/// restart, because the addresses that the settings name are bound at the start.
fn log_reload(log: &FleetLog, current: &PlatformSettings) {
    let outcome = match PlatformSettings::from_environment() {
        Ok(settings) if settings == *current => "unchanged".to_owned(),
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

/// Prints an error and returns the exit code.
fn fail(code: u8, cause: &str) -> ExitCode {
    eprintln!("jasminebend: {cause}");
    ExitCode::from(code)
}

/// Serves the metrics in the Prometheus exposition format.
struct MetricsHandler {
    exporter: MetricsExporter,
}

#[async_trait(?Send)]
impl HttpHandler for MetricsHandler {
    async fn handle(&self, _request: Request<RequestBody>) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(Bytes::from(self.exporter.render())));
        response.headers_mut().insert(
            CONTENT_TYPE,
            HeaderValue::from_static("text/plain; version=0.0.4"),
        );
        response
    }
}
