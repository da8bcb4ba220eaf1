//! Measures the cost of the control plane in seven daemon processes, at several numbers of workers: processor time,
//! memory, and requests to the table service. Callers send no requests.
//!
//! `cargo bench --package jasminebend --bench control_cost -- [SHARDS]` (takes about 3 minutes)

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

const WORKER_COUNTS: [usize; 4] = [10, 50, 200, 650];
const TASKS_PER_WORKER: usize = 8;
const DAEMON_COUNT: usize = 7;
const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// The number of workers in a rack.
const RACK_SIZE: usize = 8;
/// The time between the submission of the tasks and the measurement.
const WARM_UP_DURATION: Duration = Duration::from_secs(15);
const MEASUREMENT_DURATION: Duration = Duration::from_secs(20);
/// The run time of a task, longer than the benchmark.
const TASK_RUN_TIME: Duration = Duration::from_secs(3_600);

fn main() {
    let shards = env::args().filter_map(|word| word.parse().ok()).next();
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(run_benchmark(shards.unwrap_or(1)));
}

async fn run_benchmark(shards: u16) {
    println!(
        "{DAEMON_COUNT} daemons, {shards} shards, {TASKS_PER_WORKER} running tasks a worker; the most of any daemon:"
    );
    println!(
        "| workers | tasks | core | core, median | memory | table reads/s | table writes/s | of peers, bytes/s |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for workers in WORKER_COUNTS {
        measure_size(workers, shards).await;
    }
}

async fn measure_size(workers: usize, shards: u16) {
    let environment = BenchEnvironment::start(workers).await;
    let daemons: Vec<DaemonProcess> = (0..DAEMON_COUNT)
        .map(|index| DaemonProcess::start(&environment, index, shards))
        .collect();
    let operator = daemons[0].admin;
    configure(operator).await;
    submit(operator, workers * TASKS_PER_WORKER).await;
    sleep(WARM_UP_DURATION).await;
    let running = environment.runs.running().len();
    let before: Vec<Duration> = daemons.iter().map(DaemonProcess::cpu_time).collect();
    let bytes_before = peer_bytes_sent(&daemons).await;
    let requests_before = environment.table.faults().counts();
    sleep(MEASUREMENT_DURATION).await;
    let requests_after = environment.table.faults().counts();
    let sent = peer_bytes_sent(&daemons).await - bytes_before;
    let mut cores: Vec<f64> = daemons
        .iter()
        .zip(before)
        .map(|(daemon, before)| {
            (daemon.cpu_time() - before).as_secs_f64() / MEASUREMENT_DURATION.as_secs_f64()
        })
        .collect();
    cores.sort_by(f64::total_cmp);
    let memory = daemons
        .iter()
        .map(DaemonProcess::resident_mib)
        .max()
        .unwrap_or(0);
    let rate = |count: u64| count as f64 / MEASUREMENT_DURATION.as_secs_f64();
    println!(
        "| {workers} | {running} | {:.2}% | {:.2}% | {memory} MiB | {:.1} | {:.2} | {:.0} |",
        100.0 * cores[DAEMON_COUNT - 1],
        100.0 * cores[DAEMON_COUNT / 2],
        rate(requests_after.reads - requests_before.reads),
        rate(requests_after.writes - requests_before.writes),
        sent / MEASUREMENT_DURATION.as_secs_f64() / DAEMON_COUNT as f64,
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
    let request = admin_request(
        Method::PUT,
        "/v1/configuration",
        configuration.to_string(),
        version,
    );
    send_until_success(operator, request).await;
}

async fn submit(operator: SocketAddr, tasks: usize) {
    let job = serde_json::json!({
        "team": "t",
        "class": "batch",
        "tasks": tasks,
        "size": ResourceAmount::new(1_000, 1_024),
        "payload": TaskPayload::new(TASK_RUN_TIME).to_text(),
        "key": "bench",
    });
    let request = admin_request(Method::POST, "/v1/jobs", job.to_string(), None);
    send_until_success(operator, request).await;
}

/// Sends a request, and retries until it succeeds.
async fn send_until_success(operator: SocketAddr, request: AdminRequest) {
    loop {
        let answer = send_request(operator, request.clone()).await;
        if answer
            .as_ref()
            .is_some_and(|answer| answer.status.is_success())
        {
            return;
        }
        sleep(Duration::from_millis(300)).await;
    }
}

/// Sends a request to the administration API; returns `None` if there is no response.
async fn send_request(operator: SocketAddr, request: AdminRequest) -> Option<AdminResponse> {
    let target = GlobalOptions {
        address: operator.to_string(),
        ..GlobalOptions::new()
    };
    let client = AdminClient::new(&target).ok()?;
    client.call(&request).await.ok()
}

fn admin_request(
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

/// Returns the sum of the bytes that the daemons have sent to their peers.
async fn peer_bytes_sent(daemons: &[DaemonProcess]) -> f64 {
    let mut sum = 0.0;
    for daemon in daemons {
        let request = admin_request(Method::GET, "/metrics", String::new(), None);
        let Some(answer) = send_request(daemon.admin, request).await else {
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

/// Stand-ins of the platform and the workers of one measurement.
struct BenchEnvironment {
    table: TableStandIn,
    runs: Arc<RunLedger>,
    /// The addresses of the table service, the object store and the VM list.
    addresses: [SocketAddr; 3],
    directory: PathBuf,
    _guards: Vec<ServerGuard>,
}

impl BenchEnvironment {
    async fn start(workers: usize) -> Self {
        let clock: Arc<dyn ClockSource> = Arc::new(SystemClock::new());
        let runs = Arc::new(RunLedger::new());
        let shape = FleetShape {
            workers,
            domains: DOMAINS.map(DomainName::from).to_vec(),
            rack_size: RACK_SIZE,
            capacity: ResourceAmount::new(32_000, 128_000),
        };
        let mut fleet = WorkerFleet::new(&shape, &clock, &runs, 1);
        let mut guards = fleet.start_servers().await.expect("workers");
        let table = TableStandIn::new().with_clock(Arc::clone(&clock));
        let mut vms = fleet.records();
        vms.extend((0..DAEMON_COUNT).map(entry_vm_record));
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

impl Drop for BenchEnvironment {
    fn drop(&mut self) {
        // If it fails, the files remain in the directory for temporary files.
        let _ = fs::remove_dir_all(&self.directory);
    }
}

fn entry_vm_record(index: usize) -> VmRecord {
    VmRecord {
        name: VmName::from(format!("entry-{index}")),
        incarnation: 1,
        domain: DomainName::from(DOMAINS[index % DOMAINS.len()]),
        state: VmState::Live,
        executor: None,
        worker: None,
    }
}

/// A daemon process.
struct DaemonProcess {
    child: Child,
    admin: SocketAddr,
}

impl DaemonProcess {
    fn start(environment: &BenchEnvironment, index: usize, shards: u16) -> Self {
        let file = environment.directory.join(format!("entry-{index}.yaml"));
        fs::write(&file, settings_text(environment, index, shards)).expect("a settings file");
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
        // The log is read to its end, because the daemon drops log lines while the pipe is full.
        thread::spawn(move || lines.map_while(Result::ok).for_each(drop));
        Self { child, admin }
    }

    /// Returns the processor time used so far.
    fn cpu_time(&self) -> Duration {
        let stat = read_file(Path::new(&format!("/proc/{}/stat", self.child.id())));
        let fields: Vec<u64> = stat
            .rsplit(") ")
            .next()
            .unwrap_or_default()
            .split(' ')
            .map(|field| field.parse().unwrap_or(0))
            .collect();
        // Fields 14 and 15 of the whole line, counted from one: user and system time in hundredths of a second.
        Duration::from_millis(10 * (fields[11] + fields[12]))
    }

    /// Returns the resident memory, in MiB.
    fn resident_mib(&self) -> u64 {
        let status = read_file(Path::new(&format!("/proc/{}/status", self.child.id())));
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
        kib.unwrap_or(0) >> 10
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn read_file(path: &Path) -> String {
    fs::read_to_string(path).unwrap_or_default()
}

/// Returns the settings file's text of a daemon.
fn settings_text(environment: &BenchEnvironment, index: usize, shards: u16) -> String {
    let [table, objects, vm_list] = environment.addresses;
    let key = environment.directory.join("peer.key");
    format!(
        "listen:\n  callers: 127.0.0.1:0\n  administration: 127.0.0.1:0\n  peers: 127.0.0.1:0\n\
         vm: entry-{index}\nfailure_domain: {}\nregion: r\nseats: {DAEMON_COUNT}\nshards: {shards}\n\
         peers:\n  key_file: {}\n\
         platform:\n  table: {table}\n  objects: {objects}\n  vm_list: {vm_list}\n",
        DOMAINS[index % DOMAINS.len()],
        key.display(),
    )
}
