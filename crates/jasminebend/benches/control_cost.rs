//! What control costs seven idle daemons, at several numbers of workers.
//!
//! `cargo bench --package jasminebend --bench control_cost`
//!
//! The daemons are processes of their own; the platform, the endpoints and the workers are stand-ins
//! in this one, over real HTTP. Nothing is asked of the daemons, so that all they do is control.

use std::{
    fs,
    io::{
        BufRead,
        BufReader, //
    },
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    },
    process::{
        Child,
        Command,
        Stdio, //
    },
    sync::Arc,
    thread,
    time::Duration, //
};

use jasminebend::ProcessUsage;
use jasminebend_base::{
    DomainName,
    ResourceAmount,
    VmRecord, //
};
use jasminebend_ports::{
    ClockSource,
    SystemClock, //
};
use jasminebend_standins::{
    EndpointLedger,
    EndpointStandIn,
    FleetShape,
    ObjectStandIn,
    RunLedger,
    ServerGuard,
    TableStandIn,
    VmListStandIn,
    WorkerFleet, //
};
use tokio::{
    runtime::Runtime,
    time::sleep, //
};

const DAEMONS: usize = 7;
const ENDPOINTS: usize = 50;
const RACK: usize = 8;
/// Numbers of workers, and of shards among which they are divided.
const SIZES: [(usize, u16); 5] = [(0, 1), (65, 1), (500, 1), (500, 8), (2600, 8)];
/// Until seats, shares and workers are taken.
const SETTLE: Duration = Duration::from_secs(20);
const MEASURE: Duration = Duration::from_secs(20);
const SEED: u64 = 7;

fn main() {
    let runtime = Runtime::new().expect("a runtime");
    println!("workers shards  cpu % of a core: least mean most  MiB: mean most  calls a worker");
    for (workers, shards) in SIZES {
        runtime.block_on(measure(workers, shards));
    }
}

async fn measure(workers: usize, shards: u16) {
    let platform = BenchPlatform::start(workers, shards).await;
    let mut daemons = BenchDaemons::start(&platform.settings);
    sleep(SETTLE).await;
    let calls = platform.worker_calls();
    let before = daemons.usage();
    sleep(MEASURE).await;
    let after = daemons.usage();
    let calls = platform.worker_calls() - calls;
    let shares = before.iter().zip(&after).map(|(before, after)| {
        let used = after.processor - before.processor;
        100.0 * used.as_secs_f64() / MEASURE.as_secs_f64()
    });
    let shares: Vec<f64> = shares.collect();
    let least = shares.iter().copied().fold(f64::MAX, f64::min);
    let most = shares.iter().copied().fold(0.0, f64::max);
    // CAST: these numbers are small.
    let mean = shares.iter().sum::<f64>() / DAEMONS as f64;
    let sizes = after.iter().map(|usage| usage.resident >> 20);
    let largest = sizes.clone().max().unwrap_or_default();
    let size = sizes.sum::<u64>() / DAEMONS as u64;
    // CAST: these numbers are small.
    let calls = calls as f64 / workers.max(1) as f64;
    println!(
        "{workers:7} {shards:6}  {least:22.2} {mean:4.2} {most:4.2}  {size:9} {largest:4}  {calls:14.1}"
    );
    daemons.stop();
}

/// The platform, fifty endpoints and some workers.
struct BenchPlatform {
    settings: PathBuf,
    fleet: WorkerFleet,
    _guards: Vec<ServerGuard>,
}

impl BenchPlatform {
    async fn start(workers: usize, shards: u16) -> Self {
        let mut guards = Vec::new();
        let clock: Arc<dyn ClockSource> = Arc::new(SystemClock::new());
        let shape = FleetShape {
            workers,
            domains: ["a", "b", "c"].map(DomainName::from).to_vec(),
            rack_size: RACK,
            capacity: ResourceAmount::new(32_000, 125 << 10),
        };
        let mut fleet = WorkerFleet::new(&shape, &clock, &Arc::new(RunLedger::new()), SEED);
        guards.extend(fleet.start_servers().await.expect("free ports"));
        let mut vms = fleet.records();
        let ledger = Arc::new(EndpointLedger::new());
        for number in 0..ENDPOINTS {
            let (vm, guard) = start_endpoint(number, &ledger).await;
            vms.push(vm);
            guards.push(guard);
        }
        let (vm_list, guard) = VmListStandIn::new(vms).start().await.expect("a port");
        guards.push(guard);
        let (table, guard) = TableStandIn::new().start().await.expect("a port");
        guards.push(guard);
        let (objects, guard) = ObjectStandIn::new().start().await.expect("a port");
        guards.push(guard);
        Self {
            settings: write_settings(table, objects, vm_list, shards),
            fleet,
            _guards: guards,
        }
    }

    fn worker_calls(&self) -> u64 {
        let workers = self.fleet.workers();
        workers.map(|(_, one)| one.faults().counts().writes).sum()
    }
}

async fn start_endpoint(number: usize, ledger: &Arc<EndpointLedger>) -> (VmRecord, ServerGuard) {
    let endpoint = EndpointStandIn::new(format!("vm-{number}"), Arc::clone(ledger), SEED);
    let (address, guard) = endpoint.start().await.expect("a port");
    (endpoint.record("a", "shop", address), guard)
}

fn write_settings(
    table: SocketAddr,
    objects: SocketAddr,
    vm_list: SocketAddr,
    shards: u16,
) -> PathBuf {
    let directory = std::env::temp_dir().join(format!("jasminebend-bench-{}", std::process::id()));
    fs::create_dir_all(&directory).expect("a directory");
    let key = directory.join("peer.key");
    fs::write(&key, "a secret of the bench\n").expect("a file");
    let path = directory.join("settings.yaml");
    let settings = format!(
        "listen:\n  callers: 127.0.0.1:0\n  administration: 127.0.0.1:0\n  peers: 127.0.0.1:0\n\
         vm: entry\nfailure_domain: a\nregion: north\nshards: {shards}\npeers:\n  key_file: {}\nplatform:\n  \
         table: {table}\n  objects: {objects}\n  vm_list: {vm_list}\nlog:\n  level: warn\n",
        key.display(),
    );
    fs::write(&path, settings).expect("a file");
    path
}

/// Seven daemons, each a process.
struct BenchDaemons(Vec<Child>);

impl BenchDaemons {
    fn start(settings: &Path) -> Self {
        let start = |_| {
            let mut command = Command::new(env!("CARGO_BIN_EXE_jasminebend"));
            let command = command.arg("--settings").arg(settings);
            let mut child = command.stderr(Stdio::piped()).spawn().expect("a daemon");
            let stderr = child.stderr.take().expect("a pipe");
            thread::spawn(move || {
                for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                    eprintln!("{line}");
                }
            });
            child
        };
        Self((0..DAEMONS).map(start).collect())
    }

    fn usage(&self) -> Vec<ProcessUsage> {
        let usage = |child: &Child| ProcessUsage::of(&child.id().to_string());
        let usage = self.0.iter().map(usage);
        usage
            .map(|usage| usage.expect("a running daemon"))
            .collect()
    }

    fn stop(&mut self) {
        for child in &mut self.0 {
            child.kill().expect("a running daemon");
            child.wait().expect("an end");
        }
    }
}
