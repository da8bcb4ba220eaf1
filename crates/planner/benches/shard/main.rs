//! Measures a whole shard with 50 to 2,600 workers on a paused clock: processor time per second of
//! planning, commits and rows, report bytes, memory, and the time from a planner's end to the
//! first start by its successor.
//!
//! `cargo bench -p jasminebend-planner --bench shard`

#![expect(clippy::unwrap_used, reason = "a benchmark that cannot run panics")]

mod in_memory_workers;

use std::{
    fs,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use jasminebend_base::{
    ClassKind,
    ClassTarget,
    Configuration,
    OwnerEpoch,
    ResourceAmount,
    ResourceId,
    ServiceClass,
    VmRecord,
    VmSnapshot,
    VmState,
    WorkerRecord, //
};
use jasminebend_planner::{
    JobSpec,
    PlannerHandle,
    PlannerPorts,
    PlannerSettings, //
};
use jasminebend_ports::{
    ClockSource,
    SystemClock, //
};
use jasminebend_standins::{
    FixedOwnership,
    ObjectStandIn,
    TableStandIn, //
};
use spdlog::LevelFilter;
use tokio::{
    runtime::Builder,
    sync::watch,
    time::sleep, //
};

use crate::in_memory_workers::InMemoryWorkers;

/// Run time of a task. Each worker holds 23 tasks, so 2,600 workers run 61,000 tasks and start 770
/// per second.
const TASK_RUN_TIME: Duration = Duration::from_secs(80);
/// Length of the measured period.
const MEASUREMENT_TIME: Duration = Duration::from_secs(60);

fn main() {
    spdlog::default_logger().set_level_filter(LevelFilter::Off);
    println!(
        "workers running starts/s  core%  commits/s rows/s KB/s  report B/worker/s  MB resident  first start after"
    );
    for workers in [50, 65, 371, 500, 2600] {
        let runtime = Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build();
        runtime.unwrap().block_on(measure(workers));
    }
}

/// The stand-ins that the planners under measurement use.
struct ShardBench {
    clock: Arc<dyn ClockSource>,
    table: TableStandIn,
    workers: Arc<InMemoryWorkers>,
    configuration: watch::Sender<Arc<Configuration>>,
    vms: watch::Sender<Arc<VmSnapshot>>,
}

impl ShardBench {
    fn new(workers: usize) -> Self {
        let clock: Arc<dyn ClockSource> = Arc::new(SystemClock::new());
        let vms = VmSnapshot {
            revision: 1,
            vms: (0..workers).map(vm_record).collect(),
        };
        Self {
            table: TableStandIn::new(),
            workers: Arc::new(InMemoryWorkers::new(Arc::clone(&clock), TASK_RUN_TIME)),
            clock,
            configuration: watch::channel(Arc::new(configuration())).0,
            vms: watch::channel(Arc::new(vms)).0,
        }
    }

    async fn planner(&self, epoch: u64, objects: &ObjectStandIn) -> PlannerHandle {
        let shard = ResourceId::Shard(0);
        let ownership = FixedOwnership::new().with_owned(shard, OwnerEpoch(epoch));
        let ports = PlannerPorts {
            ownership: Arc::new(ownership),
            configuration: self.configuration.subscribe(),
            vms: self.vms.subscribe(),
            table: Arc::new(self.table.clone()),
            objects: Arc::new(objects.clone()),
            workers: Arc::clone(&self.workers) as _,
            clock: Arc::clone(&self.clock),
            seed: epoch,
        };
        PlannerHandle::start(PlannerSettings::new(1), ports).await
    }
}

/// Runs a shard with this many workers, replaces its planner, and prints the figures.
async fn measure(workers: usize) {
    let bench = ShardBench::new(workers);
    let objects = ObjectStandIn::new();
    let before = resident_mb();
    let planner = bench.planner(1, &objects).await;
    submit_jobs(&planner, workers).await;
    // Wait until all workers are full and tasks end at evenly spread times.
    sleep(TASK_RUN_TIME * 2).await;
    let (counts, table) = (bench.workers.counts(), bench.table.faults().counts());
    let began = Instant::now();
    sleep(MEASUREMENT_TIME).await;
    let busy = began.elapsed().as_secs_f64() / MEASUREMENT_TIME.as_secs_f64();
    let (counts_after, table_after) = (bench.workers.counts(), bench.table.faults().counts());
    let seconds = MEASUREMENT_TIME.as_secs_f64();
    let rate = |before: u64, after: u64| (after - before) as f64 / seconds;
    let running = bench.workers.running();
    let resident = resident_mb() - before;
    drop(planner);
    let crashed_at = bench.clock.monotonic();
    bench.workers.reset_first_start();
    let began = Instant::now();
    let successor = bench.planner(2, &objects).await;
    // Every worker has just enough free capacity for this task.
    let mut spec = job_spec(0);
    spec.size = ResourceAmount::new(100, 100);
    successor.submit(spec).await.unwrap();
    sleep(Duration::from_secs(30)).await;
    let first = bench.workers.counts().first_start;
    println!(
        "{workers:>7} {running:>7} {:>8.0} {:>6.2} {:>9.1} {:>6.0} {:>5.0} {:>18.0} {resident:>12.0}  {:?} ({:.0} ms of processor in 30 s)",
        rate(counts.starts, counts_after.starts),
        busy * 100.0,
        rate(table.writes, table_after.writes),
        rate(table.rows, table_after.rows),
        rate(table.bytes, table_after.bytes) / 1024.0,
        rate(counts.report_bytes, counts_after.report_bytes) / workers as f64,
        first.map(|time| time - crashed_at),
        began.elapsed().as_secs_f64() * 1000.0,
    );
}

/// Submits enough jobs for the running tasks, those that start during the measurement, and a queue;
/// at 2,600 workers that is 17,000 jobs.
async fn submit_jobs(planner: &PlannerHandle, workers: usize) {
    let jobs = workers * 17_000 / 2_600;
    for index in 0..jobs {
        planner.submit(job_spec(index)).await.unwrap();
    }
}

fn job_spec(index: usize) -> JobSpec {
    JobSpec {
        team: "team".into(),
        class: format!("class-{}", index % 20).as_str().into(),
        tasks: 16,
        size: ResourceAmount::new(2_700, 8_000),
        payload: "run".to_owned(),
        run_time: Some(TASK_RUN_TIME),
        key: None,
    }
}

fn vm_record(place: usize) -> VmRecord {
    let address = std::net::Ipv4Addr::from(0x0a00_0000 + u32::try_from(place).unwrap());
    VmRecord {
        name: format!("worker-{place}").as_str().into(),
        incarnation: 1,
        domain: format!("domain-{}", place / 10 % 10).as_str().into(),
        state: VmState::Live,
        executor: None,
        worker: Some(WorkerRecord {
            address: (address, 7000).into(),
            rack: format!("rack-{}", place / 10),
            capacity: ResourceAmount::new(64_000, 256_000),
        }),
    }
}

fn configuration() -> Configuration {
    let class = |index: usize| ServiceClass {
        name: format!("class-{index}").as_str().into(),
        kind: ClassKind::Batch,
        target: ClassTarget::FinishWithin(Duration::from_secs(36_000)),
        service: None,
        route: None,
        idempotency: Default::default(),
    };
    Configuration {
        classes: (0..20).map(class).collect(),
        ..Configuration::default()
    }
}

/// Returns the resident memory of this process in MB, stand-ins included.
fn resident_mb() -> f64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0.0) * 4096.0 / 1e6
}
