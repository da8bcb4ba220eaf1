//! What control costs each of seven real daemons, at several numbers of workers: processor time, memory, calls of the
//! table. No caller sends anything.
//!
//! `cargo bench --package jasminebend --bench control_cost -- [SHARDS]` (long: about 3 minutes)

use std::{
    env,
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

use http::Method;
use jasminebend_base::{
    ConfigurationVersion,
    DomainName,
    ResourceAmount,
    VmName,
    VmRecord,
    VmState, //
};
use jasminebend_ports::{
    ClockSource,
    SystemClock, //
};
use jasminebend_standins::{
    FleetShape,
    ObjectStandIn,
    RunLedger,
    ServerGuard,
    TableStandIn,
    TaskPayload,
    VmListStandIn,
    WorkerFleet, //
};
use jbctl::{
    AdminClient,
    AdminRequest,
    AdminResponse,
    GlobalOptions, //
};
use tokio::time::sleep;

const SIZES: [usize; 4] = [10, 50, 200, 650];
const TASKS_A_WORKER: usize = 8;
const DAEMONS: usize = 7;
const DOMAINS: [&str; 3] = ["a", "b", "c"];
const RACK: usize = 8;
const SETTLE: Duration = Duration::from_secs(15);
const MEASURE: Duration = Duration::from_secs(20);
const LONG_WORK: Duration = Duration::from_secs(3_600);

fn main() {
    let shards = env::args().filter_map(|word| word.parse().ok()).next();
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(measure(shards.unwrap_or(1)));
}

async fn measure(shards: u16) {
    println!(
        "{DAEMONS} daemons, {shards} shards, {TASKS_A_WORKER} running tasks a worker; the most of any daemon:"
    );
    println!(
        "| workers | tasks | core | core, median | memory | table reads/s | table writes/s | of peers, bytes/s |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for workers in SIZES {
        measure_size(workers, shards).await;
    }
}

async fn measure_size(workers: usize, shards: u16) {
    let site = BenchSite::start(workers).await;
    let daemons: Vec<DaemonProcess> = (0..DAEMONS)
        .map(|place| DaemonProcess::start(&site, place, shards))
        .collect();
    let operator = daemons[0].admin;
    configure(operator).await;
    submit(operator, workers * TASKS_A_WORKER).await;
    sleep(SETTLE).await;
    let running = site.runs.running().len();
    let before: Vec<Duration> = daemons.iter().map(DaemonProcess::processor).collect();
    let peers = peer_bytes(&daemons).await;
    let calls = site.table.faults().counts();
    sleep(MEASURE).await;
    let after = site.table.faults().counts();
    let sent = peer_bytes(&daemons).await - peers;
    let mut cores: Vec<f64> = daemons
        .iter()
        .zip(before)
        .map(|(daemon, before)| (daemon.processor() - before).as_secs_f64() / MEASURE.as_secs_f64())
        .collect();
    cores.sort_by(f64::total_cmp);
    let memory = daemons
        .iter()
        .map(DaemonProcess::resident_mib)
        .max()
        .unwrap_or(0);
    let rate = |count: u64| count as f64 / MEASURE.as_secs_f64();
    println!(
        "| {workers} | {running} | {:.2}% | {:.2}% | {memory} MiB | {:.1} | {:.2} | {:.0} |",
        100.0 * cores[DAEMONS - 1],
        100.0 * cores[DAEMONS / 2],
        rate(after.reads - calls.reads),
        rate(after.writes - calls.writes),
        sent / MEASURE.as_secs_f64() / DAEMONS as f64,
    );
}

async fn configure(operator: SocketAddr) {
    let domains: Vec<_> = DOMAINS
        .iter()
        .map(|name| serde_json::json!({"name": name, "region": "r"}))
        .collect();
    let configuration = serde_json::json!({
        "version": 0,
        "domains": domains,
        "classes": [{"name": "batch", "kind": "batch", "target": {"finish_within": "10h"}}],
        "teams": [{"name": "t", "limit": ResourceAmount::new(u64::MAX / 2, u64::MAX / 2)}],
    });
    let version = Some(ConfigurationVersion(0));
    let call = call(
        Method::PUT,
        "/v1/configuration",
        configuration.to_string(),
        version,
    );
    call_until_done(operator, call).await;
}

async fn submit(operator: SocketAddr, tasks: usize) {
    let job = serde_json::json!({
        "team": "t",
        "class": "batch",
        "tasks": tasks,
        "size": ResourceAmount::new(1_000, 1_024),
        "payload": TaskPayload::new(LONG_WORK).to_text(),
        "key": "bench",
    });
    let call = call(Method::POST, "/v1/jobs", job.to_string(), None);
    call_until_done(operator, call).await;
}

async fn call_until_done(operator: SocketAddr, call: AdminRequest) {
    loop {
        let answer = ask(operator, call.clone()).await;
        if answer
            .as_ref()
            .is_some_and(|answer| answer.status.is_success())
        {
            return;
        }
        sleep(Duration::from_millis(300)).await;
    }
}

async fn ask(operator: SocketAddr, call: AdminRequest) -> Option<AdminResponse> {
    let target = GlobalOptions {
        address: operator.to_string(),
        ..GlobalOptions::new()
    };
    let client = AdminClient::new(&target).ok()?;
    client.call(&call).await.ok()
}

fn call(
    method: Method,
    path: &str,
    body: String,
    expected_version: Option<ConfigurationVersion>,
) -> AdminRequest {
    AdminRequest {
        method,
        path: path.to_owned(),
        expected_version,
        body: body.into(),
    }
}

async fn peer_bytes(daemons: &[DaemonProcess]) -> f64 {
    let mut sum = 0.0;
    for daemon in daemons {
        let call = call(Method::GET, "/metrics", String::new(), None);
        let Some(answer) = ask(daemon.admin, call).await else {
            continue;
        };
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let lines = text
            .lines()
            .filter(|line| line.starts_with("jasminebend_peer_bytes_sent_total"));
        let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
        sum += values.sum::<f64>();
    }
    sum
}

/// The platform and the workers of one measurement.
struct BenchSite {
    table: TableStandIn,
    runs: Arc<RunLedger>,
    addresses: [SocketAddr; 3],
    directory: PathBuf,
    _guards: Vec<ServerGuard>,
}

impl BenchSite {
    async fn start(workers: usize) -> Self {
        let clock: Arc<dyn ClockSource> = Arc::new(SystemClock::new());
        let runs = Arc::new(RunLedger::new());
        let shape = FleetShape {
            workers,
            domains: DOMAINS.map(DomainName::from).to_vec(),
            rack_size: RACK,
            capacity: ResourceAmount::new(32_000, 128_000),
        };
        let mut fleet = WorkerFleet::new(&shape, &clock, &runs, 1);
        let mut guards = fleet.start_servers().await.expect("workers");
        let table = TableStandIn::new().with_clock(Arc::clone(&clock));
        let mut vms = fleet.records();
        vms.extend((0..DAEMONS).map(entry));
        let (table_address, table_guard) = table.start().await.expect("a table");
        let (objects, object_guard) = ObjectStandIn::new().start().await.expect("objects");
        let (vm_list, list_guard) = VmListStandIn::new(vms).start().await.expect("a list");
        guards.extend([table_guard, object_guard, list_guard]);
        let directory =
            env::temp_dir().join(format!("jasminebend-control-cost-{}", std::process::id()));
        fs::create_dir_all(&directory).expect("a directory");
        fs::write(
            directory.join("peer.key"),
            "a key of the control cost bench",
        )
        .expect("a key");
        Self {
            table,
            runs,
            addresses: [table_address, objects, vm_list],
            directory,
            _guards: guards,
        }
    }
}

impl Drop for BenchSite {
    fn drop(&mut self) {
        // What is left lies in the directory for temporary files.
        let _ = fs::remove_dir_all(&self.directory);
    }
}

fn entry(place: usize) -> VmRecord {
    VmRecord {
        name: VmName::from(format!("entry-{place}")),
        incarnation: 1,
        domain: DomainName::from(DOMAINS[place % DOMAINS.len()]),
        state: VmState::Live,
        executor: None,
        worker: None,
    }
}

/// A real daemon.
struct DaemonProcess {
    child: Child,
    admin: SocketAddr,
}

impl DaemonProcess {
    fn start(site: &BenchSite, place: usize, shards: u16) -> Self {
        let file = site.directory.join(format!("entry-{place}.yaml"));
        fs::write(&file, settings(site, place, shards)).expect("a settings file");
        let mut child = Command::new(env!("CARGO_BIN_EXE_jasminebend"))
            .arg("--settings")
            .arg(&file)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program");
        let mut lines = BufReader::new(child.stderr.take().expect("a pipe")).lines();
        let admin = lines
            .by_ref()
            .map_while(Result::ok)
            .find_map(|line| {
                let (_, rest) = line.split_once("Operators are served on ")?;
                rest.trim_end_matches('.').parse().ok()
            })
            .expect("an address");
        // A full pipe would stop the daemon.
        thread::spawn(move || lines.map_while(Result::ok).for_each(drop));
        Self { child, admin }
    }

    /// Returns the processor time used so far.
    fn processor(&self) -> Duration {
        let stat = read(Path::new(&format!("/proc/{}/stat", self.child.id())));
        let fields: Vec<u64> = stat
            .rsplit(") ")
            .next()
            .unwrap_or_default()
            .split(' ')
            .map(|field| field.parse().unwrap_or(0))
            .collect();
        // The fields 14 and 15 of the whole line, in hundredths of a second.
        Duration::from_millis(10 * (fields[11] + fields[12]))
    }

    fn resident_mib(&self) -> u64 {
        let status = read(Path::new(&format!("/proc/{}/status", self.child.id())));
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
        kib.unwrap_or(0) >> 10
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // It may have ended of itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn read(path: &Path) -> String {
    fs::read_to_string(path).unwrap_or_default()
}

fn settings(site: &BenchSite, place: usize, shards: u16) -> String {
    let [table, objects, vm_list] = site.addresses;
    let key = site.directory.join("peer.key");
    format!(
        "listen:\n  callers: 127.0.0.1:0\n  administration: 127.0.0.1:0\n  peers: 127.0.0.1:0\n\
         vm: entry-{place}\nfailure_domain: {}\nregion: r\nseats: {DAEMONS}\nshards: {shards}\n\
         peers:\n  key_file: {}\n\
         platform:\n  table: {table}\n  objects: {objects}\n  vm_list: {vm_list}\n",
        DOMAINS[place % DOMAINS.len()],
        key.display(),
    )
}
