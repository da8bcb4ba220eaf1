//! What administration and an idle daemon cost, at several sizes of the configuration.
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
    DaemonEdges,
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
    HttpWorkers,
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

const SIZES: [usize; 4] = [10, 50, 100, 200];
const CHANGES: u32 = 10;
const READINGS: u32 = 200;
const IDLE: Duration = Duration::from_secs(10);

fn main() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(measure());
}

async fn measure() {
    let log = LogSettings {
        format: LogFormat::Text,
        level: LogLevel::Error,
    };
    let _log = set_up_log(log).expect("a log");
    let daemon = start().await;
    while !daemon.ready() {
        sleep(Duration::from_millis(10)).await;
    }
    let before = usage().processor;
    sleep(IDLE).await;
    let idle = usage().processor - before;
    let share = 100.0 * idle.as_secs_f64() / IDLE.as_secs_f64();
    println!(
        "one idle daemon with its platform: {share:.2}% of a core, {} KiB",
        usage().resident >> 10
    );
    println!("classes  body bytes  change ms  change cpu ms  reading ms  reading cpu ms");
    let mut version = 0;
    for size in SIZES {
        let mut configuration = configuration(size);
        let body = serde_json::to_vec(&configuration).expect("JSON").len();
        let change = run(CHANGES, async || {
            configuration.version = ConfigurationVersion(version);
            version += 1;
            configuration.classes[0].name = ClassName::from(format!("of-version-{version}"));
            let answer = call(&daemon, put(&configuration)).await;
            assert!(answer.status.is_success(), "{answer:?}");
        });
        let change = change.await;
        let reading = run(READINGS, async || {
            call(&daemon, get("/v1/configuration")).await;
        });
        let reading = reading.await;
        println!(
            "{size:7}  {body:10}  {:9.2}  {:13.2}  {:10.3}  {:14.3}",
            change.0, change.1, reading.0, reading.1
        );
    }
    daemon.stop().await;
}

/// Returns milliseconds of time, and of processor time, for each run.
async fn run(times: u32, mut work: impl AsyncFnMut()) -> (f64, f64) {
    let begun = Instant::now();
    let before = usage().processor;
    for _ in 0..times {
        work().await;
    }
    let each = |time: Duration| time.as_secs_f64() * 1000.0 / f64::from(times);
    (each(begun.elapsed()), each(usage().processor - before))
}

async fn start() -> EntryDaemon {
    let settings = DaemonSettings::new(
        ListenSettings::new(),
        DomainName::from("a"),
        PeerKeySource::Text(SecretText::new("a secret of the bench")),
    );
    let edges = DaemonEdges {
        table: Arc::new(TableStandIn::new()),
        objects: Arc::new(ObjectStandIn::new()),
        vm_list: Arc::new(VmListStandIn::new(Vec::new())),
        workers: Arc::new(HttpWorkers::new()),
        clock: Arc::new(SystemClock::new()),
        seed: 7,
    };
    let settings = settings.with_seats(1).with_balancer_lag(Duration::ZERO);
    EntryDaemon::start(settings, edges).await.expect("a daemon")
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

async fn call(daemon: &EntryDaemon, call: AdminRequest) -> AdminResponse {
    let mut options = GlobalOptions::new();
    options.address = daemon.admin_address().to_string();
    let client = AdminClient::new(&options).expect("a client");
    client.call(&call).await.expect("an answer")
}

fn get(path: &str) -> AdminRequest {
    AdminRequest {
        method: Method::GET,
        path: path.to_owned(),
        expected_version: None,
        body: Default::default(),
    }
}

fn put(configuration: &Configuration) -> AdminRequest {
    let mut call = get("/v1/configuration");
    call.method = Method::PUT;
    call.expected_version = Some(configuration.version);
    call.body = serde_json::to_vec(configuration).expect("JSON").into();
    call
}

fn usage() -> ProcessUsage {
    ProcessUsage::read().expect("a Linux process")
}
