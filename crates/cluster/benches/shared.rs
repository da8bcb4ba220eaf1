//! What agreement costs, in one process over loopback: `cargo bench -p jasminebend-cluster --bench
//! shared -- force|idle|change|lose|replace|memory|look [DAEMONS]`.

#![expect(clippy::unwrap_used, reason = "A bench that cannot go on may panic.")]

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
    ClusterEdges,
    ClusterHandle,
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

const CHANGES: u32 = 40;
const IDLE_SECONDS: u64 = 20;
const LOSSES: u64 = 5;

struct EmptyVms;

#[async_trait]
impl VmList for EmptyVms {
    async fn read(&self) -> Result<VmSnapshot, VmListError> {
        Ok(VmSnapshot::default())
    }
}

/// Counts what is sent.
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

struct Bench {
    table: TableStandIn,
    handles: Vec<ClusterHandle>,
    bytes: Arc<AtomicU64>,
    frames: Arc<AtomicU64>,
    seats: u8,
}

impl Bench {
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
        bench.settle().await;
        bench
    }

    async fn start_one(&self) -> ClusterHandle {
        let listen: SocketAddr = ([127, 0, 0, 1], 0).into();
        let key = PeerKey::from_secret("a secret of the benches").unwrap();
        let settings = ClusterSettings::new(listen, "east".into(), key)
            .with_seats(self.seats)
            .with_slot_shares(u16::from(self.seats) * 10)
            .with_shards(u16::from(self.seats))
            .with_longest_request(Duration::from_secs(10));
        let edges = ClusterEdges {
            table: Arc::new(self.table.clone()),
            vm_list: Arc::new(EmptyVms),
            clock: Arc::new(SystemClock::new()),
            seed: rand::random(),
        };
        let link = CountingLink {
            link: TcpLink::new(listen).unwrap(),
            bytes: self.bytes.clone(),
            frames: self.frames.clone(),
        };
        ClusterHandle::start_with_link(settings, edges, Arc::new(link))
            .await
            .unwrap()
    }

    async fn settle(&self) {
        let total = usize::from(self.seats) * 11;
        for _ in 0..600 {
            tokio::time::sleep(Duration::from_millis(100)).await;
            let held: Vec<usize> = self.handles.iter().map(held).collect();
            let even = held.iter().max() < held.iter().min().map(|least| least + 3).as_ref();
            if held.iter().sum::<usize>() == total && even {
                return;
            }
        }
        panic!("the daemons did not settle");
    }

    async fn wait_in_force(&self, version: u64) {
        let behind = |handle: &ClusterHandle| handle.configuration().borrow().version.0 < version;
        while self.handles.iter().any(behind) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    async fn declare(&self) {
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
        self.wait_in_force(version.0).await;
    }

    async fn change(&self, round: u32) -> (Duration, Duration) {
        let state = match round % 2 {
            0 => DomainState::Out,
            _ => DomainState::In,
        };
        let proposer = &self.handles[round as usize % self.handles.len()];
        let started = Instant::now();
        let change = ConfigurationChange::Domain {
            name: "east".into(),
            state,
            force: false,
        };
        let version = proposer.propose(change).await.unwrap();
        let accepted = started.elapsed();
        self.wait_in_force(version.0).await;
        (accepted, started.elapsed())
    }
}

fn held(handle: &ClusterHandle) -> usize {
    handle.ownership().held().len()
}

fn print(name: &str, mut times: Vec<Duration>) {
    times.sort_unstable();
    let at = |share: usize| times[(times.len() - 1) * share / 100];
    println!(
        "{name}: p50 {:?} p99 {:?} max {:?}",
        at(50),
        at(99),
        at(100)
    );
}

/// Returns the processor time of this process so far.
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

fn memory(name: &str) {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let lines = status
        .lines()
        .filter(|line| line.starts_with("VmRSS") || line.starts_with("Threads"));
    println!("{name}: {}", lines.collect::<Vec<_>>().join(" "));
}

async fn force(count: u8) {
    let bench = Bench::start(count).await;
    bench.declare().await;
    let (mut accepted, mut in_force) = (Vec::new(), Vec::new());
    for round in 0..CHANGES {
        let (one, other) = bench.change(round).await;
        accepted.push(one);
        in_force.push(other);
    }
    print(&format!("{count} daemons, accepted"), accepted);
    print(&format!("{count} daemons, in force everywhere"), in_force);
}

async fn measure(count: u8, changes: bool) {
    let bench = Bench::start(count).await;
    bench.declare().await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let (processor, table) = (processor_time(), bench.table.faults().counts());
    let bytes = bench.bytes.load(Ordering::Relaxed);
    let frames = bench.frames.load(Ordering::Relaxed);
    let started = Instant::now();
    let mut made = 0;
    while started.elapsed() < Duration::from_secs(IDLE_SECONDS) {
        if changes {
            bench.change(made).await;
            made += 1;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let per = started.elapsed().as_secs_f64() * f64::from(count);
    let after = bench.table.faults().counts();
    println!(
        "{count} daemons, {made} changes in {:.1} s; per daemon and second: {:.2} ms processor, {:.2} reads, {:.3} writes, {:.0} table bytes, {:.1} frames, {:.0} peer bytes sent",
        started.elapsed().as_secs_f64(),
        (processor_time() - processor).as_secs_f64() * 1_000.0 / per,
        (after.reads - table.reads) as f64 / per,
        (after.writes - table.writes) as f64 / per,
        (after.bytes - table.bytes) as f64 / per,
        (bench.frames.load(Ordering::Relaxed) - frames) as f64 / per,
        (bench.bytes.load(Ordering::Relaxed) - bytes) as f64 / per,
    );
}

/// A daemon dies; its address refuses.
async fn lose(count: u8) {
    let mut bench = Bench::start(count).await;
    let (mut detected, mut shards, mut slots) = (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..LOSSES {
        let dying = bench.handles.remove(0);
        let seat = dying.status().seat.unwrap();
        let started = Instant::now();
        dying.stop();
        let watcher = &bench.handles[0];
        let unheard = |handle: &ClusterHandle| {
            let members = handle.status().members;
            members
                .iter()
                .all(|member| member.seat != seat || !member.heard)
        };
        wait(|| unheard(watcher)).await;
        detected.push(started.elapsed());
        let all = |shard: bool| {
            let held = bench
                .handles
                .iter()
                .flat_map(|handle| handle.ownership().held());
            held.filter(|(id, _)| matches!(id, ResourceId::Shard(_)) == shard)
                .count()
        };
        wait(|| all(true) == usize::from(count)).await;
        shards.push(started.elapsed());
        wait(|| all(false) == usize::from(count) * 10).await;
        slots.push(started.elapsed());
        let handle = bench.start_one().await;
        bench.handles.push(handle);
        bench.settle().await;
    }
    print(&format!("{count} daemons, loss noticed"), detected);
    print(&format!("{count} daemons, shards held again"), shards);
    print(
        &format!("{count} daemons, slots in use again (10 s idle among it)"),
        slots,
    );
}

/// A roll-out: each daemon leaves and another one comes, while those who stay are watched.
async fn replace(count: u8) {
    let mut bench = Bench::start(count).await;
    let (mut empty, mut looks) = (0u64, 0u64);
    for _ in 0..LOSSES {
        bench.handles.remove(0).leave().await;
        let staying = bench.handles.clone();
        let handle = bench.start_one().await;
        bench.handles.push(handle);
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(3) {
            tokio::time::sleep(Duration::from_millis(1)).await;
            for handle in &staying {
                looks += 1;
                if held(handle) == 0 {
                    empty += 1;
                    println!("{:?}: {:?}", started.elapsed(), handle.status());
                }
            }
        }
        bench.settle().await;
    }
    println!(
        "{count} daemons replaced: {empty} of {looks} looks at one that stays saw nothing held"
    );
}

async fn wait<Condition>(mut condition: Condition)
where
    Condition: FnMut() -> bool,
{
    while !condition() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

async fn look(count: u8) {
    const LOOKS: u32 = 1_000_000;
    let bench = Bench::start(count).await;
    let view = bench.handles[0].ownership();
    let (resource, _) = view.held()[0];
    let started = Instant::now();
    for _ in 0..LOOKS {
        std::hint::black_box(view.may_act(resource));
    }
    println!("{count} daemons: {:?} a look", started.elapsed() / LOOKS);
}

async fn sizes(count: u8) {
    memory("before");
    let link = TcpLink::new(([127, 0, 0, 1], 0).into()).unwrap();
    memory("one link");
    link.close();
    let bench = Bench::start(count).await;
    bench.declare().await;
    memory(&format!("{count} daemons in one process"));
}

fn main() {
    let words: Vec<String> = std::env::args()
        .skip(1)
        .filter(|word| word != "--bench")
        .collect();
    let kind = words.first().map_or("force", String::as_str);
    let count = words.get(1).and_then(|word| word.parse().ok()).unwrap_or(7);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        match kind {
            "force" => force(count).await,
            "idle" => measure(count, false).await,
            "change" => measure(count, true).await,
            "lose" => lose(count).await,
            "replace" => replace(count).await,
            "look" => look(count).await,
            _ => sizes(count).await,
        }
    });
}
