//! Builds the ports under test, each with the stand-in behind it, in memory and over HTTP.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use jasminebend_base::ResourceAmount;
use jasminebend_ports::{
    AnswerFormat,
    ClockSource,
    HttpObjectStore,
    HttpTableService,
    HttpVmList,
    HttpWorkerTransport,
    ObjectStore,
    TableService,
    VmList,
    WorkerPort, //
};
use jasminebend_standins::{
    ManualClock,
    ObjectStandIn,
    RunLedger,
    ServerGuard,
    TableStandIn,
    VmListStandIn,
    WorkerStandIn, //
};

/// A timeout that no call reaches.
pub(crate) const LONG_TIMEOUT: Duration = Duration::from_secs(60);
/// A timeout for tests of silent servers, long enough for a call on an open loopback connection.
pub(crate) const SHORT_TIMEOUT: Duration = Duration::from_millis(500);
/// A delay longer than any test runs.
pub(crate) const ENDLESS_DELAY: Duration = Duration::from_secs(3600);

/// A port under test, with the stand-in behind it. `guard` is `None` for a port in memory.
pub(crate) struct Harness<Port, StandIn>
where
    Port: ?Sized,
{
    pub(crate) port: Arc<Port>,
    pub(crate) stand_in: StandIn,
    pub(crate) guard: Option<ServerGuard>,
}

pub(crate) type TableHarness = Harness<dyn TableService, TableStandIn>;

pub(crate) type ObjectHarness = Harness<dyn ObjectStore, ObjectStandIn>;
pub(crate) type VmListHarness = Harness<dyn VmList, VmListStandIn>;

pub(crate) async fn table_in_memory(_timeout: Duration) -> TableHarness {
    let stand_in = TableStandIn::new();
    Harness {
        port: Arc::new(stand_in.clone()),
        stand_in,
        guard: None,
    }
}

pub(crate) async fn table_over_http(timeout: Duration) -> TableHarness {
    let stand_in = TableStandIn::new();
    let (address, guard) = stand_in.start().await.unwrap();
    Harness {
        port: Arc::new(HttpTableService::new(address).with_timeout(timeout)),
        stand_in,
        guard: Some(guard),
    }
}

/// Waits up to 20,000 sleeps of 1 ms until `check` returns true, and panics otherwise. `what` names the condition.
pub(crate) async fn wait_until<Check>(what: &str, check: Check)
where
    Check: Fn() -> bool,
{
    for _ in 0..20_000 {
        if check() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    panic!("timed out waiting for {what}");
}

/// A worker under test, with its clock and ledger.
pub(crate) struct WorkerHarness {
    pub(crate) port: Arc<dyn WorkerPort>,
    pub(crate) address: SocketAddr,
    pub(crate) stand_in: WorkerStandIn,
    pub(crate) clock: Arc<ManualClock>,
    pub(crate) ledger: Arc<RunLedger>,
    pub(crate) guard: Option<ServerGuard>,
}

fn make_worker() -> (WorkerStandIn, Arc<ManualClock>, Arc<RunLedger>) {
    let clock = Arc::new(ManualClock::new());
    let ledger = Arc::new(RunLedger::new());
    let stand_in = WorkerStandIn::new(
        "vm-1",
        "north",
        ResourceAmount::new(8_000, 16_000),
        Arc::clone(&clock) as Arc<dyn ClockSource>,
        Arc::clone(&ledger),
        1,
    );
    (stand_in, clock, ledger)
}

pub(crate) async fn worker_in_memory(_timeout: Duration) -> WorkerHarness {
    let (stand_in, clock, ledger) = make_worker();
    WorkerHarness {
        port: Arc::new(stand_in.clone()),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        stand_in,
        clock,
        ledger,
        guard: None,
    }
}

pub(crate) async fn worker_over_http(timeout: Duration) -> WorkerHarness {
    serve_worker(HttpWorkerTransport::new().with_timeout(timeout)).await
}

pub(crate) async fn worker_in_json(timeout: Duration) -> WorkerHarness {
    let workers = HttpWorkerTransport::new().with_format(AnswerFormat::Json);
    serve_worker(workers.with_timeout(timeout)).await
}

async fn serve_worker(workers: HttpWorkerTransport) -> WorkerHarness {
    let (stand_in, clock, ledger) = make_worker();
    let (address, guard) = stand_in.start_server().await.unwrap();
    WorkerHarness {
        port: Arc::new(workers),
        address,
        stand_in,
        clock,
        ledger,
        guard: Some(guard),
    }
}

/// The maximum size of an object in the stores under test, in bytes.
pub(crate) const MAX_OBJECT_BYTES: usize = 100_000;

pub(crate) async fn objects_in_memory(_timeout: Duration) -> ObjectHarness {
    let stand_in = ObjectStandIn::new().with_max_object_bytes(MAX_OBJECT_BYTES);
    Harness {
        port: Arc::new(stand_in.clone()),
        stand_in,
        guard: None,
    }
}

pub(crate) async fn objects_over_http(timeout: Duration) -> ObjectHarness {
    let stand_in = ObjectStandIn::new().with_max_object_bytes(MAX_OBJECT_BYTES);
    let (address, guard) = stand_in.start().await.unwrap();
    Harness {
        port: Arc::new(HttpObjectStore::new(address).with_timeout(timeout)),
        stand_in,
        guard: Some(guard),
    }
}

/// The lag of the VM list under test, on the clock that the builders return.
pub(crate) const VM_LIST_LAG: Duration = Duration::from_secs(5);

fn make_vm_list() -> (VmListStandIn, Arc<ManualClock>) {
    let clock = Arc::new(ManualClock::new());
    let stand_in = VmListStandIn::new(Vec::new())
        .with_lag(VM_LIST_LAG)
        .with_clock(Arc::clone(&clock) as Arc<dyn ClockSource>);
    (stand_in, clock)
}

pub(crate) async fn vm_list_in_memory(_timeout: Duration) -> (VmListHarness, Arc<ManualClock>) {
    let (stand_in, clock) = make_vm_list();
    let harness = Harness {
        port: Arc::new(stand_in.clone()) as Arc<dyn VmList>,
        stand_in,
        guard: None,
    };
    (harness, clock)
}

pub(crate) async fn vm_list_over_http(timeout: Duration) -> (VmListHarness, Arc<ManualClock>) {
    let (stand_in, clock) = make_vm_list();
    let (address, guard) = stand_in.start().await.unwrap();
    let harness = Harness {
        port: Arc::new(HttpVmList::new(address).with_timeout(timeout)) as Arc<dyn VmList>,
        stand_in,
        guard: Some(guard),
    };
    (harness, clock)
}
