//! Measures the cost of an idle daemon, and of reading and changing configurations of several sizes.
//!
//! `cargo bench --package jasminebend --bench administration_cost`

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use http::Method;
use jasminebend::{
    DaemonPorts,
    DaemonSettings,
    EntryDaemon,
    ListenSettings,
    LogFormat,
    LogLevel,
    LogSettings,
    PeerKeySource,
    ProcessUsage,
    SecretText,
    set_up_log, //
};
use jasminebend_base::{
    ClassKind,
    ClassName,
    ClassTarget,
    Configuration,
    ConfigurationVersion,
    DomainName,
    DomainState,
    FailureDomain,
    IdempotencyRule,
    ServiceClass, //
};
use jasminebend_ports::{
    HttpWorkerTransport,
    SystemClock, //
};
use jasminebend_standins::{
    ObjectStandIn,
    TableStandIn,
    VmListStandIn, //
};
use jbctl::{
    AdminClient,
    AdminRequest,
    AdminResponse,
    GlobalOptions, //
};
use tokio::time::sleep;

/// The numbers of classes in the configurations.
const CLASS_COUNTS: [usize; 4] = [10, 50, 100, 200];
/// The number of changes for each size.
const CHANGE_COUNT: u32 = 10;
/// The number of reads for each size.
const READ_COUNT: u32 = 200;
const IDLE_DURATION: Duration = Duration::from_secs(10);

fn main() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(run_benchmark());
}

async fn run_benchmark() {
    let log = LogSettings {
        format: LogFormat::Text,
        level: LogLevel::Error,
    };
    let _log = set_up_log(log).expect("a log");
    let daemon = start_daemon().await;
    while !daemon.ready() {
        sleep(Duration::from_millis(10)).await;
    }
    let cpu_before = usage().cpu_time;
    sleep(IDLE_DURATION).await;
    let idle_cpu = usage().cpu_time - cpu_before;
    let share = 100.0 * idle_cpu.as_secs_f64() / IDLE_DURATION.as_secs_f64();
    println!(
        "one idle daemon with its platform: {share:.2}% of a core, {} KiB",
        usage().resident_bytes >> 10
    );
    println!("classes  body bytes  change ms  change cpu ms  reading ms  reading cpu ms");
    let mut version = 0;
    for size in CLASS_COUNTS {
        let mut configuration = configuration(size);
        let body = serde_json::to_vec(&configuration).expect("JSON").len();
        let change = time_runs(CHANGE_COUNT, async || {
            configuration.version = ConfigurationVersion(version);
            version += 1;
            configuration.classes[0].name = ClassName::from(format!("of-version-{version}"));
            let answer = send_request(&daemon, put_configuration(&configuration)).await;
            assert!(answer.status.is_success(), "{answer:?}");
        });
        let change = change.await;
        let reading = time_runs(READ_COUNT, async || {
            send_request(&daemon, get_request("/v1/configuration")).await;
        });
        let reading = reading.await;
        println!(
            "{size:7}  {body:10}  {:9.2}  {:13.2}  {:10.3}  {:14.3}",
            change.0, change.1, reading.0, reading.1
        );
    }
    daemon.stop().await;
}

/// Runs `work` repeatedly, and returns the elapsed time and the processor time of one run, in milliseconds.
async fn time_runs(times: u32, mut work: impl AsyncFnMut()) -> (f64, f64) {
    let started = Instant::now();
    let cpu_before = usage().cpu_time;
    for _ in 0..times {
        work().await;
    }
    let each = |time: Duration| time.as_secs_f64() * 1000.0 / f64::from(times);
    (each(started.elapsed()), each(usage().cpu_time - cpu_before))
}

async fn start_daemon() -> EntryDaemon {
    let settings = DaemonSettings::new(
        ListenSettings::new(),
        DomainName::from("a"),
        PeerKeySource::Text(SecretText::new("a secret of the bench")),
    );
    let ports = DaemonPorts {
        table: Arc::new(TableStandIn::new()),
        objects: Arc::new(ObjectStandIn::new()),
        vm_list: Arc::new(VmListStandIn::new(Vec::new())),
        workers: Arc::new(HttpWorkerTransport::new()),
        clock: Arc::new(SystemClock::new()),
        seed: 7,
    };
    let settings = settings.with_seats(1).with_balancer_lag(Duration::ZERO);
    EntryDaemon::start(settings, ports).await.expect("a daemon")
}

fn configuration(classes: usize) -> Configuration {
    let class = |number| ServiceClass {
        name: ClassName::from(format!("reconciliation-{number}")),
        kind: ClassKind::Batch,
        target: ClassTarget::FinishWithin(Duration::from_secs(3600)),
        service: None,
        route: None,
        idempotency: IdempotencyRule::ByMethod,
    };
    Configuration {
        domains: vec![FailureDomain {
            name: DomainName::from("a"),
            region: "north".to_owned(),
            state: DomainState::In,
        }],
        classes: (0..classes).map(class).collect(),
        ..Configuration::default()
    }
}

async fn send_request(daemon: &EntryDaemon, request: AdminRequest) -> AdminResponse {
    let mut options = GlobalOptions::new();
    options.address = daemon.admin_address().to_string();
    let client = AdminClient::new(&options).expect("a client");
    client.call(&request).await.expect("an answer")
}

fn get_request(path: &str) -> AdminRequest {
    AdminRequest {
        method: Method::GET,
        path: path.to_owned(),
        expected_version: None,
        body: Default::default(),
    }
}

fn put_configuration(configuration: &Configuration) -> AdminRequest {
    let mut request = get_request("/v1/configuration");
    request.method = Method::PUT;
    request.expected_version = Some(configuration.version);
    request.body = serde_json::to_vec(configuration).expect("JSON").into();
    request
}

fn usage() -> ProcessUsage {
    ProcessUsage::read().expect("a Linux process")
}
