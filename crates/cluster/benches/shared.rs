//! Measures the cost of the shared state, with all daemons in one process over loopback:
//!
//! `cargo bench -p jasminebend-cluster --bench shared -- force|idle|change|lose|replace|memory|look
//! [DAEMONS]`
//!
//! - `force`: the time until a configuration change is accepted, and until it is in force everywhere.
//! - `idle`: the processor time, table traffic and peer traffic of each daemon without changes.
//! - `change`: the same with configuration changes, each 200 ms after the last one was in force everywhere.
//! - `lose`: the time until the loss of a daemon is detected, and until its shards and slot shares are held
//!   again.
//! - `replace`: how often a remaining daemon holds no resources during a rolling replacement.
//! - `memory`: the resident memory and the threads of the process.
//! - `look`: the time of one ownership check.
//!
//! The default is `force` with 7 daemons.

#![expect(
    clippy::unwrap_used,
    reason = "A benchmark that cannot continue may panic."
)]

use std::{
    fs,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        }, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use async_trait::async_trait;
use bytes::Bytes;
use jasminebend_base::{
    Configuration,
    DomainState,
    FailureDomain,
    ResourceId,
    VmSnapshot, //
};
use jasminebend_cluster::{
    ClusterHandle,
    ClusterPorts,
    ClusterSettings,
    ConfigurationChange,
    PeerLink,
    ProbeOutcome,
    TcpLink, //
};
use jasminebend_ports::{
    SystemClock,
    VmList,
    VmListError, //
};
use jasminebend_standins::TableStandIn;
use jasminebend_wire::PeerKey;

/// The number of configuration changes of `force`.
const FORCE_CHANGES: u32 = 40;
/// The duration of `idle` and `change` in seconds.
const MEASURED_SECONDS: u64 = 20;
/// The number of daemons that `lose` stops and `replace` replaces.
const STOPPED_DAEMONS: u64 = 5;

/// A VM list without VMs.
struct EmptyVmList;

#[async_trait]
impl VmList for EmptyVmList {
    async fn read(&self) -> Result<VmSnapshot, VmListError> {
        Ok(VmSnapshot::default())
    }
}

/// A TCP link that counts the frames and bytes sent.
struct CountingLink {
    link: TcpLink,
    bytes: Arc<AtomicU64>,
    frames: Arc<AtomicU64>,
}

#[async_trait]
impl PeerLink for CountingLink {
    fn address(&self) -> SocketAddr {
        self.link.address()
    }

    fn send(&self, to: SocketAddr, frame: Bytes) {
        self.bytes.fetch_add(frame.len() as u64, Ordering::Relaxed);
        self.frames.fetch_add(1, Ordering::Relaxed);
        self.link.send(to, frame);
    }

    fn reset(&self, to: SocketAddr) {
        self.link.reset(to);
    }

    async fn receive(&self, limit: usize) -> Vec<Bytes> {
        self.link.receive(limit).await
    }

    async fn probe(&self, address: SocketAddr) -> ProbeOutcome {
        self.link.probe(address).await
    }

    fn close(&self) {
        self.link.close();
    }
}

/// The daemons of a benchmark and the table that they share.
struct BenchCluster {
    table: TableStandIn,
    handles: Vec<ClusterHandle>,
    /// The number of bytes sent to peers by all daemons.
    bytes: Arc<AtomicU64>,
    /// The number of frames sent to peers by all daemons.
    frames: Arc<AtomicU64>,
    seats: u8,
}

impl BenchCluster {
    /// Starts daemons, and waits until resources are balanced.
    async fn start(count: u8) -> Self {
        let mut bench = Self {
            table: TableStandIn::new(),
            handles: Vec::new(),
            bytes: Arc::default(),
            frames: Arc::default(),
            seats: count,
        };
        for _ in 0..count {
            let handle = bench.start_one().await;
            bench.handles.push(handle);
        }
        bench.wait_until_balanced().await;
        bench
    }

    /// Starts one daemon.
    async fn start_one(&self) -> ClusterHandle {
        let listen: SocketAddr = ([127, 0, 0, 1], 0).into();
        let key = PeerKey::from_secret("a secret of the benches").unwrap();
        let settings = ClusterSettings::new(listen, "east".into(), key)
            .with_seats(self.seats)
            .with_slot_shares(u16::from(self.seats) * 10)
            .with_shards(u16::from(self.seats))
            .with_longest_request(Duration::from_secs(10));
        let ports = ClusterPorts {
            table: Arc::new(self.table.clone()),
            vm_list: Arc::new(EmptyVmList),
            clock: Arc::new(SystemClock::new()),
            seed: rand::random(),
        };
        let link = CountingLink {
            link: TcpLink::new(listen).unwrap(),
            bytes: self.bytes.clone(),
            frames: self.frames.clone(),
        };
        ClusterHandle::start_with_link(settings, ports, Arc::new(link))
            .await
            .unwrap()
    }

    /// Waits until all resources are held, and the numbers that daemons hold differ by at most two.
    async fn wait_until_balanced(&self) {
        let total = usize::from(self.seats) * 11;
        for _ in 0..600 {
            tokio::time::sleep(Duration::from_millis(100)).await;
            let held: Vec<usize> = self.handles.iter().map(held_count).collect();
            let even = held.iter().max() < held.iter().min().map(|least| least + 3).as_ref();
            if held.iter().sum::<usize>() == total && even {
                return;
            }
        }
        panic!("the resources were not balanced within 60 seconds");
    }

    /// Waits until a configuration version is in force at all daemons.
    async fn wait_until_in_force(&self, version: u64) {
        let behind = |handle: &ClusterHandle| handle.configuration().borrow().version.0 < version;
        while self.handles.iter().any(behind) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    /// Puts a configuration with two failure domains into force.
    async fn declare_domains(&self) {
        let domain = |name: &str| FailureDomain {
            name: name.into(),
            region: "south".to_owned(),
            state: DomainState::In,
        };
        let configuration = Configuration {
            domains: vec![domain("east"), domain("west")],
            ..Configuration::default()
        };
        let change = ConfigurationChange::Replace {
            configuration,
            expected: None,
        };
        let version = self.handles[0].propose(change).await.unwrap();
        self.wait_until_in_force(version.0).await;
    }

    /// Takes a failure domain out or in. Returns the times until the change was accepted, and until it was
    /// in force at all daemons.
    async fn change_domain(&self, round: u32) -> (Duration, Duration) {
        let state = match round % 2 {
            0 => DomainState::Out,
            _ => DomainState::In,
        };
        let proposer = &self.handles[round as usize % self.handles.len()];
        let started = Instant::now();
        let change = ConfigurationChange::SetDomainState {
            name: "east".into(),
            state,
            force: false,
        };
        let version = proposer.propose(change).await.unwrap();
        let accepted = started.elapsed();
        self.wait_until_in_force(version.0).await;
        (accepted, started.elapsed())
    }
}

/// Returns the number of resources that a daemon holds.
fn held_count(handle: &ClusterHandle) -> usize {
    handle.ownership().owned_resources().len()
}

/// Prints percentiles of durations.
fn print_percentiles(name: &str, mut times: Vec<Duration>) {
    times.sort_unstable();
    let percentile = |percent: usize| times[(times.len() - 1) * percent / 100];
    println!(
        "{name}: p50 {:?} p99 {:?} max {:?}",
        percentile(50),
        percentile(99),
        percentile(100)
    );
}

/// Returns the processor time that this process has used.
fn processor_time() -> Duration {
    let stat = fs::read_to_string("/proc/self/stat").unwrap();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap()
        .split_whitespace()
        .collect();
    let ticks: u64 = fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap();
    Duration::from_millis(ticks * 10)
}

/// Prints the resident memory and the number of threads of this process.
fn print_memory(name: &str) {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let lines = status
        .lines()
        .filter(|line| line.starts_with("VmRSS") || line.starts_with("Threads"));
    println!("{name}: {}", lines.collect::<Vec<_>>().join(" "));
}

/// Measures the time until configuration changes are accepted and in force.
async fn measure_changes(count: u8) {
    let bench = BenchCluster::start(count).await;
    bench.declare_domains().await;
    let (mut accepted, mut in_force) = (Vec::new(), Vec::new());
    for round in 0..FORCE_CHANGES {
        let (accepted_after, in_force_after) = bench.change_domain(round).await;
        accepted.push(accepted_after);
        in_force.push(in_force_after);
    }
    print_percentiles(&format!("{count} daemons, accepted"), accepted);
    print_percentiles(&format!("{count} daemons, in force everywhere"), in_force);
}

/// Measures the processor time and the traffic of each daemon, with or without changes.
async fn measure_load(count: u8, changes: bool) {
    let bench = BenchCluster::start(count).await;
    bench.declare_domains().await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let (processor_before, table) = (processor_time(), bench.table.faults().counts());
    let bytes = bench.bytes.load(Ordering::Relaxed);
    let frames = bench.frames.load(Ordering::Relaxed);
    let started = Instant::now();
    let mut made = 0;
    while started.elapsed() < Duration::from_secs(MEASURED_SECONDS) {
        if changes {
            bench.change_domain(made).await;
            made += 1;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let daemon_seconds = started.elapsed().as_secs_f64() * f64::from(count);
    let after = bench.table.faults().counts();
    println!(
        "{count} daemons, {made} changes in {:.1} s; per daemon and second: {:.2} ms processor, {:.2} reads, {:.3} writes, {:.0} table bytes, {:.1} frames, {:.0} peer bytes sent",
        started.elapsed().as_secs_f64(),
        (processor_time() - processor_before).as_secs_f64() * 1_000.0 / daemon_seconds,
        (after.reads - table.reads) as f64 / daemon_seconds,
        (after.writes - table.writes) as f64 / daemon_seconds,
        (after.bytes - table.bytes) as f64 / daemon_seconds,
        (bench.frames.load(Ordering::Relaxed) - frames) as f64 / daemon_seconds,
        (bench.bytes.load(Ordering::Relaxed) - bytes) as f64 / daemon_seconds,
    );
}

/// Measures the time until the resources of a daemon that died, and whose address refuses connections,
/// are held again.
async fn measure_losses(count: u8) {
    let mut bench = BenchCluster::start(count).await;
    let (mut detected, mut shards, mut slots) = (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..STOPPED_DAEMONS {
        let dying = bench.handles.remove(0);
        let seat = dying.status().seat.unwrap();
        let started = Instant::now();
        dying.stop();
        let watcher = &bench.handles[0];
        let not_heard = |handle: &ClusterHandle| {
            let members = handle.status().members;
            members
                .iter()
                .all(|member| member.seat != seat || !member.heard)
        };
        wait_until(|| not_heard(watcher)).await;
        detected.push(started.elapsed());
        let held_of_kind = |shard: bool| {
            let held = bench
                .handles
                .iter()
                .flat_map(|handle| handle.ownership().owned_resources());
            held.filter(|(id, _)| matches!(id, ResourceId::Shard(_)) == shard)
                .count()
        };
        wait_until(|| held_of_kind(true) == usize::from(count)).await;
        shards.push(started.elapsed());
        wait_until(|| held_of_kind(false) == usize::from(count) * 10).await;
        slots.push(started.elapsed());
        let handle = bench.start_one().await;
        bench.handles.push(handle);
        bench.wait_until_balanced().await;
    }
    print_percentiles(&format!("{count} daemons, loss noticed"), detected);
    print_percentiles(&format!("{count} daemons, shards held again"), shards);
    print_percentiles(
        &format!("{count} daemons, slots in use again (10 s idle among it)"),
        slots,
    );
}

/// Counts how often a remaining daemon holds no resources while others are replaced one by one.
async fn measure_replacements(count: u8) {
    let mut bench = BenchCluster::start(count).await;
    let (mut empty_observations, mut observations) = (0u64, 0u64);
    for _ in 0..STOPPED_DAEMONS {
        bench.handles.remove(0).leave().await;
        let staying = bench.handles.clone();
        let handle = bench.start_one().await;
        bench.handles.push(handle);
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(3) {
            tokio::time::sleep(Duration::from_millis(1)).await;
            for handle in &staying {
                observations += 1;
                if held_count(handle) == 0 {
                    empty_observations += 1;
                    println!("{:?}: {:?}", started.elapsed(), handle.status());
                }
            }
        }
        bench.wait_until_balanced().await;
    }
    println!(
        "{count} daemons replaced: {empty_observations} of {observations} looks at one that stays saw nothing held"
    );
}

/// Waits until a condition is true.
async fn wait_until<Condition>(mut condition: Condition)
where
    Condition: FnMut() -> bool,
{
    while !condition() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Measures the time of one ownership check.
async fn measure_ownership_checks(count: u8) {
    /// The number of ownership checks.
    const OWNERSHIP_CHECKS: u32 = 1_000_000;
    let bench = BenchCluster::start(count).await;
    let view = bench.handles[0].ownership();
    let (resource, _) = view.owned_resources()[0];
    let started = Instant::now();
    for _ in 0..OWNERSHIP_CHECKS {
        std::hint::black_box(view.may_act(resource));
    }
    println!(
        "{count} daemons: {:?} a look",
        started.elapsed() / OWNERSHIP_CHECKS
    );
}

/// Measures the memory of a link and of all daemons.
async fn measure_memory(count: u8) {
    print_memory("before");
    let link = TcpLink::new(([127, 0, 0, 1], 0).into()).unwrap();
    print_memory("one link");
    link.close();
    let bench = BenchCluster::start(count).await;
    bench.declare_domains().await;
    print_memory(&format!("{count} daemons in one process"));
}

fn main() {
    let arguments: Vec<String> = std::env::args()
        .skip(1)
        .filter(|argument| argument != "--bench")
        .collect();
    let kind = arguments.first().map_or("force", String::as_str);
    let count = arguments
        .get(1)
        .and_then(|argument| argument.parse().ok())
        .unwrap_or(7);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        match kind {
            "force" => measure_changes(count).await,
            "idle" => measure_load(count, false).await,
            "change" => measure_load(count, true).await,
            "lose" => measure_losses(count).await,
            "replace" => measure_replacements(count).await,
            "look" => measure_ownership_checks(count).await,
            _ => measure_memory(count).await,
        }
    });
}
