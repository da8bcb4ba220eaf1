//! What the calls of the platform and of the workers cost the daemon that makes them: bytes on the
//! wire, and processor time of the calling thread, at several sizes each.
//!
//! The server runs on a thread of its own, so that its time is not counted. The relay that counts
//! bytes is not in the way while time is measured.

#![expect(
    clippy::unwrap_used,
    reason = "a bench that can't run says so by a panic"
)]

use std::{
    fs,
    future::Future,
    hint::black_box,
    net::SocketAddr,
    sync::{
        Arc,
        mpsc, //
    },
    thread,
    time::{
        Duration, //
    }, //
};

use jasminebend_base::{
    ClassKind,
    OwnerEpoch,
    ResourceAmount,
    VmRecord,
    VmState,
    WorkerRecord, //
};
use jasminebend_ports::{
    AnswerFormat,
    ClockSource,
    EpochAdoption,
    HttpTable,
    HttpVmList,
    HttpWorkers,
    LeaseRenewal,
    RowChange,
    RowExpectation,
    TableService,
    TaskAttempt,
    TaskEvent,
    TaskOrder,
    TaskUsage,
    VmList,
    WorkerPort,
    WorkerReport,
    WorkerTask,
    WriteId, //
};
use jasminebend_standins::{
    ManualClock,
    RunLedger,
    ServerGuard,
    TableStandIn,
    TaskPayload,
    VmListStandIn,
    WorkerStandIn, //
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    runtime::{
        Builder,
        Runtime, //
    }, //
};

const ROUNDS: usize = 5;
/// What a round takes at the least: the kernel counts a thread's time in steps of 4 ms.
const ROUND_TIME: Duration = Duration::from_millis(100);
const BATCH: u32 = 20;
const EPOCH: OwnerEpoch = OwnerEpoch(5);
const LEASE: Duration = Duration::from_secs(15);

fn main() {
    codec();
    renewals();
    table_reads();
    table_commits();
    vm_lists();
}

/// The processor time that the calling thread has taken.
fn thread_time() -> Duration {
    let stat = fs::read_to_string("/proc/thread-self/schedstat").unwrap();
    let nanos = stat.split(' ').next().unwrap().parse().unwrap();
    Duration::from_nanos(nanos)
}

/// Returns the median, the least and the most of the times per call, in microseconds.
fn spread<Call>(mut call: Call) -> String
where
    Call: FnMut(),
{
    let mut times: Vec<_> = (0..=ROUNDS).map(|_| round(&mut call)).skip(1).collect();
    times.sort_by(f64::total_cmp);
    let (least, most) = (times[0], times[ROUNDS - 1]);
    format!("{:.1} ({least:.1} to {most:.1})", times[ROUNDS / 2])
}

fn round<Call>(call: &mut Call) -> f64
where
    Call: FnMut(),
{
    let before = thread_time();
    let mut calls = 0;
    loop {
        (0..BATCH).for_each(|_| call());
        calls += BATCH;
        let taken = thread_time() - before;
        if taken >= ROUND_TIME {
            return taken.as_secs_f64() * 1e6 / f64::from(calls);
        }
    }
}

fn runtime() -> Runtime {
    Builder::new_current_thread().enable_all().build().unwrap()
}

/// Serves on a thread of its own until the process ends.
fn serve_apart<Serve, Served>(serve: Serve) -> SocketAddr
where
    Serve: FnOnce() -> Served + Send + 'static,
    Served: Future<Output = (SocketAddr, ServerGuard)>,
{
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        runtime().block_on(async {
            let (address, _guard) = serve().await;
            sender.send(address).unwrap();
            std::future::pending::<()>().await;
        });
    });
    receiver.recv().unwrap()
}

/// Relays one connection to `server`, and returns the bytes that went there and back.
async fn relay(listener: TcpListener, server: SocketAddr) -> (u64, u64) {
    let (mut client, _) = listener.accept().await.unwrap();
    let mut server = TcpStream::connect(server).await.unwrap();
    tokio::io::copy_bidirectional(&mut client, &mut server)
        .await
        .unwrap()
}

/// Returns the bytes that one call by way of this adapter takes, there and back.
fn wire_bytes<Adapter, Make, Call>(server: SocketAddr, make: Make, call: Call) -> (u64, u64)
where
    Make: Fn(SocketAddr) -> Adapter,
    Call: AsyncFn(&Adapter, SocketAddr),
{
    runtime().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let relay = tokio::spawn(relay(listener, server));
        let adapter = make(address);
        call(&adapter, address).await;
        drop(adapter);
        relay.await.unwrap()
    })
}

fn run(index: u32) -> TaskAttempt {
    TaskAttempt {
        job: 0x5eed_0000_0000_0007,
        index,
        attempt: 1,
    }
}

fn order(index: u32) -> TaskOrder {
    TaskOrder {
        attempt: run(index),
        class: "reconciliation".into(),
        kind: ClassKind::Batch,
        reserved: ResourceAmount::new(500, 1_000),
        payload: TaskPayload::new(Duration::from_secs(86_400)).to_text(),
        checkpoint: None,
        valid_for: LEASE,
    }
}

/// A report with measurements of so many runs, and one end for each ten.
fn report(runs: u32) -> WorkerReport {
    let usage = (0..runs).map(|index| TaskUsage {
        attempt: run(index),
        used: ResourceAmount::new(431, 977),
        latency_p99: None,
        progress_millis: Some(431),
        age: Duration::from_millis(12_345),
    });
    let ended = (0..runs / 10).map(|index| WorkerTask {
        attempt: run(index),
        class: "reconciliation".into(),
        reserved: ResourceAmount::new(500, 1_000),
        speed_millis: 1_000,
        ended: Some(TaskEvent::Finished {
            result: "done 7/1".to_owned(),
        }),
    });
    WorkerReport {
        incarnation: 0x5eed,
        running: runs,
        ended: ended.collect(),
        usage: usage.collect(),
    }
}

fn codec() {
    println!("### A worker's report by codec\n");
    println!("| runs measured | codec | bytes | encode, us | decode, us |");
    println!("|---|---|---|---|---|");
    for runs in [0, 6, 23, 64, 200] {
        let report = report(runs);
        let json = |report: &WorkerReport| serde_json::to_vec(report).unwrap();
        let postcard = |report: &WorkerReport| postcard::to_stdvec(report).unwrap();
        codec_row(runs, "JSON", &report, json, |bytes| {
            serde_json::from_slice(bytes).unwrap()
        });
        codec_row(runs, "postcard", &report, postcard, |bytes| {
            postcard::from_bytes(bytes).unwrap()
        });
    }
    println!();
}

fn codec_row<Message, Encode, Decode>(
    runs: u32,
    name: &str,
    message: &Message,
    encode: Encode,
    decode: Decode,
) where
    Message: Serialize + DeserializeOwned,
    Encode: Fn(&Message) -> Vec<u8>,
    Decode: Fn(&[u8]) -> Message,
{
    let bytes = encode(message);
    let encoding = spread(|| drop(black_box(encode(message))));
    let decoding = spread(|| drop(black_box(decode(&bytes))));
    println!(
        "| {runs} | {name} | {} | {encoding} | {decoding} |",
        bytes.len()
    );
}

/// Serves a worker with so many runs, each measured at every heartbeat.
fn serve_worker(runs: u32) -> SocketAddr {
    serve_apart(move || async move {
        let clock = Arc::new(ManualClock::new());
        let worker = WorkerStandIn::new(
            "worker-1",
            "north",
            ResourceAmount::new(1_000_000, 1_000_000),
            Arc::clone(&clock) as Arc<dyn ClockSource>,
            Arc::new(RunLedger::new()),
            1,
        );
        worker.set_knobs(|knobs| {
            knobs.usage_period = Duration::ZERO;
            knobs.usage_lag = (Duration::ZERO, Duration::ZERO);
        });
        let (address, guard) = worker.start_server().await.unwrap();
        let adoption = EpochAdoption {
            shard: 1,
            epoch: EPOCH,
            lease: LEASE,
        };
        worker.adopt(address, adoption).await.unwrap();
        for index in 0..runs {
            WorkerPort::start(&worker, address, EPOCH, order(index))
                .await
                .unwrap();
        }
        (address, guard)
    })
}

async fn renew(workers: &HttpWorkers, address: SocketAddr) {
    let renewal = LeaseRenewal {
        epoch: EPOCH,
        lease: LEASE,
        acknowledged: Vec::new(),
    };
    black_box(workers.renew(address, renewal).await.unwrap());
}

fn renewals() {
    println!("### A heartbeat to a worker and its report, over HTTP\n");
    println!("| runs measured | answer | bytes there | bytes back | time of the owner, us |");
    println!("|---|---|---|---|---|");
    for runs in [0, 6, 23, 64, 200] {
        let server = serve_worker(runs);
        renewals_row(server, runs, AnswerFormat::Json);
        renewals_row(server, runs, AnswerFormat::Postcard);
    }
    println!();
}

fn renewals_row(server: SocketAddr, runs: u32, format: AnswerFormat) {
    let make = |_| HttpWorkers::new().with_format(format);
    let (there, back) = wire_bytes(server, make, renew);
    let workers = make(server);
    let runtime = runtime();
    let time = spread(|| runtime.block_on(renew(&workers, server)));
    println!("| {runs} | {format:?} | {there} | {back} | {time} |");
}

fn serve_table(rows: usize, bytes: usize) -> SocketAddr {
    serve_apart(move || async move {
        let table = TableStandIn::new();
        let rows = (0..rows).map(|row| {
            RowChange::put(format!("row/{row:06}"), RowExpectation::Any, vec![7; bytes])
        });
        table.commit_surely(WriteId(1), &rows.collect::<Vec<_>>());
        table.start().await.unwrap()
    })
}

fn table_reads() {
    println!("### A poll of the table, over HTTP\n");
    println!("| rows | bytes a row | bytes there | bytes back | time of the reader, us |");
    println!("|---|---|---|---|---|");
    let sizes = [
        (1, 100),
        (1, 1_000),
        (1, 10_000),
        (1, 100_000),
        (10, 100),
        (70, 100),
        (700, 100),
    ];
    for (rows, bytes) in sizes {
        let server = serve_table(rows, bytes);
        let poll = async |table: &HttpTable, _| {
            black_box(table.scan(&"row/".into(), None, rows).await.unwrap());
        };
        let (there, back) = wire_bytes(server, HttpTable::new, poll);
        let table = HttpTable::new(server);
        let runtime = runtime();
        let time = spread(|| runtime.block_on(poll(&table, server)));
        println!("| {rows} | {bytes} | {there} | {back} | {time} |");
    }
    println!();
}

fn table_commits() {
    println!("### A commit of one row, over HTTP\n");
    println!("| bytes | bytes there | bytes back | time of the writer, us |");
    println!("|---|---|---|---|");
    for bytes in [100, 1_000, 10_000, 100_000] {
        let server = serve_table(0, 0);
        let commit = async |table: &HttpTable, _| {
            let change = RowChange::put("row", RowExpectation::Any, vec![7; bytes]);
            black_box(table.commit(WriteId(1), vec![change]).await.unwrap());
        };
        let (there, back) = wire_bytes(server, HttpTable::new, commit);
        let table = HttpTable::new(server);
        let runtime = runtime();
        let time = spread(|| runtime.block_on(commit(&table, server)));
        println!("| {bytes} | {there} | {back} | {time} |");
    }
    println!();
}

fn vm(place: u32) -> VmRecord {
    VmRecord {
        name: format!("worker-{place}").into(),
        incarnation: 1,
        domain: "north".into(),
        state: VmState::Live,
        executor: None,
        worker: Some(WorkerRecord {
            address: SocketAddr::from(([10, 1, 1, 1], 7000)),
            rack: format!("rack-{}", place / 8),
            capacity: ResourceAmount::new(32_000, 125_000),
        }),
    }
}

fn vm_lists() {
    println!("### A poll of the VM list, over HTTP\n");
    println!("| VMs | list | bytes there | bytes back | time of the reader, us |");
    println!("|---|---|---|---|---|");
    for vms in [100, 500, 2_600, 5_200] {
        let server = serve_apart(move || async move {
            let list = VmListStandIn::new((0..vms).map(vm).collect());
            list.start().await.unwrap()
        });
        let read = async |list: &HttpVmList, _| drop(black_box(list.read().await.unwrap()));
        let twice = async |list: &HttpVmList, address| {
            read(list, address).await;
            read(list, address).await;
        };
        let first = wire_bytes(server, HttpVmList::new, read);
        let both = wire_bytes(server, HttpVmList::new, twice);
        let runtime = runtime();
        let changed = spread(|| runtime.block_on(read(&HttpVmList::new(server), server)));
        let list = HttpVmList::new(server);
        let unchanged = spread(|| runtime.block_on(read(&list, server)));
        println!(
            "| {vms} | changed | {} | {} | {changed} |",
            first.0, first.1
        );
        let (there, back) = (both.0 - first.0, both.1 - first.1);
        println!("| {vms} | unchanged | {there} | {back} | {unchanged} |");
    }
    println!();
}
