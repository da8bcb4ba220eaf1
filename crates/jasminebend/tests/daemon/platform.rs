//! The platform and one endpoint, over real HTTP.

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
    time::Duration,
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
    RouteRule,
    ServiceClass,
    ServiceName, //
};
use jasminebend_standins::{
    EndpointKnobs,
    EndpointLedger,
    EndpointStandIn,
    ObjectStandIn,
    ServerGuard,
    ServiceTime,
    TableStandIn,
    VmListStandIn, //
};

const SEED: u64 = 7;
const SERVICE: &str = "shop";
static NEXT: AtomicU32 = AtomicU32::new(0);

/// The platform and one endpoint of the service `shop` in the failure domain `a`.
pub(crate) struct TestPlatform {
    pub(crate) table: TableStandIn,
    pub(crate) objects: ObjectStandIn,
    pub(crate) vm_list: VmListStandIn,
    pub(crate) ledger: Arc<EndpointLedger>,
    directory: PathBuf,
    settings: String,
    _guards: Vec<ServerGuard>,
}

impl TestPlatform {
    pub(crate) async fn start(service_time: Duration) -> Self {
        let ledger = Arc::new(EndpointLedger::new());
        let knobs = EndpointKnobs {
            service_time: ServiceTime::Fixed(service_time),
            ..EndpointKnobs::default()
        };
        let endpoint = EndpointStandIn::new("vm-1", Arc::clone(&ledger), SEED).with_knobs(knobs);
        let (address, endpoint_guard) = endpoint.start().await.expect("a free port");
        let vm_list = VmListStandIn::new(vec![endpoint.record("a", SERVICE, address)]);
        let (list_address, list_guard) = vm_list.start().await.expect("a free port");
        let table = TableStandIn::new();
        let (table_address, table_guard) = table.start().await.expect("a free port");
        let objects = ObjectStandIn::new();
        let (objects_address, objects_guard) = objects.start().await.expect("a free port");
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("jasminebend-daemon-{}-{number}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        fs::create_dir_all(&directory).expect("a directory");
        let key_file = directory.join("peer.key");
        fs::write(&key_file, "a secret of the tests\n").expect("a file");
        let settings = format!(
            "listen:\n  callers: 127.0.0.1:0\n  administration: 127.0.0.1:0\n  \
             peers: 127.0.0.1:0\nvm: entry-1\nfailure_domain: a\nregion: north\nseats: 1\n\
             slot_shares: 4\nshards: 1\npeers:\n  key_file: {}\nplatform:\n  \
             table: {table_address}\n  objects: {objects_address}\n  vm_list: {list_address}\n",
            key_file.display(),
        );
        Self {
            table,
            objects,
            vm_list,
            ledger,
            directory,
            settings,
            _guards: vec![endpoint_guard, list_guard, table_guard, objects_guard],
        }
    }

    /// Writes a settings file for a daemon on this platform, with these lines after its own.
    pub(crate) fn settings_file(&self, lines: &str) -> PathBuf {
        let path = self.directory.join("settings.yaml");
        fs::write(&path, format!("{}{lines}", self.settings)).expect("a file");
        path
    }
}

impl Drop for TestPlatform {
    fn drop(&mut self) {
        drop(fs::remove_dir_all(&self.directory));
    }
}

/// A configuration of two failure domains, the class `quotes` of the service, and the batch class
/// `reconciliation`.
pub(crate) fn configuration() -> Configuration {
    let domain = |name| FailureDomain {
        name: DomainName::from(name),
        region: "north".to_owned(),
        state: DomainState::In,
    };
    Configuration {
        domains: vec![domain("a"), domain("b")],
        classes: vec![ServiceClass {
            name: ClassName::from("quotes"),
            kind: ClassKind::Service,
            target: ClassTarget::AnswerWithin(Duration::from_secs(2)),
            service: Some(ServiceName::from(SERVICE)),
            route: Some(RouteRule {
                host: None,
                path_prefix: "/".to_owned(),
            }),
            idempotency: IdempotencyRule::ByMethod,
        }],
        ..Configuration::default()
    }
}
