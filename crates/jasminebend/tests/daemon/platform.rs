//! Stand-ins of the platform, the endpoints and the workers, over HTTP.

use std::{
    fs,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{
            AtomicU32,
            Ordering, //
        },
    },
    time::Duration, //
};

use jasminebend::{
    DaemonPorts,
    DaemonSettings,
    EntryDaemon,
    LimitSettings,
    ListenSettings,
    PeerKeySource,
    SecretText, //
};
use jasminebend_base::{
    ClassKind,
    ClassName,
    ClassTarget,
    Configuration,
    DomainName,
    DomainState,
    FailureDomain,
    IdempotencyRule,
    ResourceAmount,
    RouteRule,
    ServiceClass,
    ServiceName,
    TeamName,
    TeamQuota,
    VmRecord, //
};
use jasminebend_ports::{
    ClockSource,
    HttpWorkerTransport,
    SystemClock, //
};
use jasminebend_standins::{
    EndpointLedger,
    EndpointSettings,
    EndpointStandIn,
    FleetShape,
    ObjectStandIn,
    RunLedger,
    ServerGuard,
    ServiceTime,
    TableStandIn,
    VmListStandIn,
    WorkerFleet, //
};

const SEED: u64 = 7;
const PEER_SECRET: &str = "a secret of the tests";
const SERVICE_NAME: &str = "shop";
/// The next number of a temporary directory and seed of a daemon.
static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);

/// Stand-ins of the platform, endpoints of the service `shop` and two workers, in the failure domain `a`.
pub(crate) struct TestPlatform {
    pub(crate) table: TableStandIn,
    pub(crate) objects: ObjectStandIn,
    pub(crate) vm_list: VmListStandIn,
    pub(crate) ledger: Arc<EndpointLedger>,
    pub(crate) runs: Arc<RunLedger>,
    directory: PathBuf,
    /// The settings that do not depend on the number of daemons.
    settings: String,
    _guards: Vec<ServerGuard>,
}

impl TestPlatform {
    /// Starts a platform with one endpoint, which works for `service_time` on each request.
    pub(crate) async fn start(service_time: Duration) -> Self {
        Self::start_with_endpoints(service_time, 1).await
    }

    /// Starts a platform with this number of endpoints.
    pub(crate) async fn start_with_endpoints(service_time: Duration, endpoints: u32) -> Self {
        let ledger = Arc::new(EndpointLedger::new());
        let runs = Arc::new(RunLedger::new());
        let mut fleet = worker_fleet(&runs);
        let worker_guards = fleet.start_servers().await.expect("free ports");
        let mut vms = fleet.records();
        let mut guards = worker_guards;
        for number in 0..endpoints {
            let (vm, guard) = start_endpoint(number, service_time, &ledger).await;
            vms.push(vm);
            guards.push(guard);
        }
        let vm_list = VmListStandIn::new(vms);
        let (list_address, list_guard) = vm_list.start().await.expect("a free port");
        let table = TableStandIn::new();
        let (table_address, table_guard) = table.start().await.expect("a free port");
        let objects = ObjectStandIn::new();
        let (objects_address, objects_guard) = objects.start().await.expect("a free port");
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("jasminebend-daemon-{}-{number}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        fs::create_dir_all(&directory).expect("a directory");
        let key_file = directory.join("peer.key");
        fs::write(&key_file, PEER_SECRET).expect("a file");
        let settings = format!(
            "listen:\n  callers: 127.0.0.1:0\n  administration: 127.0.0.1:0\n  \
             peers: 127.0.0.1:0\nvm: entry-1\nfailure_domain: a\nregion: north\n\
             shards: 1\npeers:\n  key_file: {}\nplatform:\n  \
             table: {table_address}\n  objects: {objects_address}\n  vm_list: {list_address}\n",
            key_file.display(),
        );
        guards.extend([list_guard, table_guard, objects_guard]);
        Self {
            table,
            objects,
            vm_list,
            ledger,
            runs,
            directory,
            settings,
            _guards: guards,
        }
    }

    /// Starts a daemon in the test's process.
    pub(crate) async fn start_daemon(&self, domain: &str, seats: u8) -> EntryDaemon {
        let settings = DaemonSettings::new(
            ListenSettings::new(),
            DomainName::from(domain),
            PeerKeySource::Text(SecretText::new(PEER_SECRET)),
        );
        let settings = settings
            .with_seats(seats)
            .with_slot_shares(6)
            .with_shards(1)
            .with_limits(LimitSettings {
                administration_timeout: Duration::from_secs(4),
                ..LimitSettings::default()
            })
            .with_balancer_lag(Duration::ZERO);
        let ports = DaemonPorts {
            table: Arc::new(self.table.clone()),
            objects: Arc::new(self.objects.clone()),
            vm_list: Arc::new(self.vm_list.clone()),
            workers: Arc::new(HttpWorkerTransport::new()),
            clock: Arc::new(SystemClock::new()),
            seed: u64::from(NEXT_NUMBER.fetch_add(1, Ordering::Relaxed)),
        };
        EntryDaemon::start(settings, ports).await.expect("a daemon")
    }

    /// Writes a file in the directory of the settings file.
    pub(crate) fn write(&self, name: &str, content: &str) {
        fs::write(self.directory.join(name), content).expect("a file");
    }

    /// Writes a settings file for a single daemon, with `lines` appended.
    pub(crate) fn settings_file(&self, lines: &str) -> PathBuf {
        self.settings_file_for(1, lines)
    }

    /// Writes a settings file for this number of daemons, with `lines` appended.
    pub(crate) fn settings_file_for(&self, daemons: u8, lines: &str) -> PathBuf {
        let shares = u16::from(daemons) * 4;
        let path = self.directory.join("settings.yaml");
        let sizes = format!("seats: {daemons}\nslot_shares: {shares}\n");
        fs::write(&path, format!("{}{sizes}{lines}", self.settings)).expect("a file");
        path
    }
}

async fn start_endpoint(
    number: u32,
    service_time: Duration,
    ledger: &Arc<EndpointLedger>,
) -> (VmRecord, ServerGuard) {
    let settings = EndpointSettings {
        service_time: ServiceTime::Fixed(service_time),
        ..EndpointSettings::default()
    };
    let seed = SEED + u64::from(number);
    let endpoint = EndpointStandIn::new(format!("vm-{number}"), Arc::clone(ledger), seed);
    let endpoint = endpoint.with_settings(settings);
    let (address, guard) = endpoint.start().await.expect("a free port");
    (endpoint.record("a", SERVICE_NAME, address), guard)
}

fn worker_fleet(runs: &Arc<RunLedger>) -> WorkerFleet {
    let clock: Arc<dyn ClockSource> = Arc::new(SystemClock::new());
    let shape = FleetShape {
        workers: 2,
        domains: vec![DomainName::from("a")],
        rack_size: 2,
        capacity: ResourceAmount::new(4000, 4096),
    };
    WorkerFleet::new(&shape, &clock, runs, SEED)
}

impl Drop for TestPlatform {
    fn drop(&mut self) {
        drop(fs::remove_dir_all(&self.directory));
    }
}

/// Returns a configuration with two failure domains, the class `quotes` of the service, the batch class
/// `reconciliation`, and the team `benches`.
pub(crate) fn configuration() -> Configuration {
    let domain = |name| FailureDomain {
        name: DomainName::from(name),
        region: "north".to_owned(),
        state: DomainState::In,
    };
    Configuration {
        domains: vec![domain("a"), domain("b")],
        classes: vec![quotes_class(), reconciliation_class()],
        teams: vec![TeamQuota {
            name: TeamName::from("benches"),
            limit: ResourceAmount::new(8000, 8192),
        }],
        ..Configuration::default()
    }
}

fn quotes_class() -> ServiceClass {
    ServiceClass {
        name: ClassName::from("quotes"),
        kind: ClassKind::Service,
        target: ClassTarget::AnswerWithin(Duration::from_secs(2)),
        service: Some(ServiceName::from(SERVICE_NAME)),
        route: Some(RouteRule {
            host: None,
            path_prefix: "/".to_owned(),
        }),
        idempotency: IdempotencyRule::ByMethod,
    }
}

fn reconciliation_class() -> ServiceClass {
    ServiceClass {
        name: ClassName::from("reconciliation"),
        kind: ClassKind::Batch,
        target: ClassTarget::FinishWithin(Duration::from_secs(3600)),
        service: None,
        route: None,
        idempotency: IdempotencyRule::ByMethod,
    }
}
