//! Measures the cost of a worker's report for its owner.

use std::{
    hint::black_box,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use jasminebend_base::{
    ClassKind,
    OwnerEpoch,
    ResourceAmount, //
};
use jasminebend_ports::{
    AnswerFormat,
    ClockSource,
    EpochAdoption,
    HttpWorkerTransport,
    LeaseRenewal,
    RunCompletion,
    TaskAttempt,
    TaskOrder,
    TaskUsage,
    WorkerPort,
    WorkerReport,
    WorkerTask, //
};
use jasminebend_standins::{
    ManualClock,
    RunLedger,
    TaskPayload,
    WorkerStandIn, //
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};

use crate::{
    cpu_time::cpu_time_per_call,
    wire::{
        count_wire_bytes,
        runtime,
        serve_on_own_thread, //
    }, //
};

const EPOCH: OwnerEpoch = OwnerEpoch(5);
const LEASE: Duration = Duration::from_secs(15);

fn task_attempt(index: u32) -> TaskAttempt {
    TaskAttempt {
        job: 0x5eed_0000_0000_0007,
        index,
        attempt: 1,
    }
}

fn start_order(index: u32) -> TaskOrder {
    TaskOrder {
        attempt: task_attempt(index),
        class: "reconciliation".into(),
        kind: ClassKind::Batch,
        reserved: ResourceAmount::new(500, 1_000),
        payload: TaskPayload::new(Duration::from_secs(86_400)).to_text(),
        checkpoint: None,
        incarnation: None,
        valid_for: LEASE,
    }
}

/// Returns a report with a measurement of each of `runs` runs, and one completion for every ten.
fn report(runs: u32) -> WorkerReport {
    let usage = (0..runs).map(|index| TaskUsage {
        attempt: task_attempt(index),
        used: ResourceAmount::new(431, 977),
        latency_p99: None,
        progress_millis: Some(431),
        age: Duration::from_millis(12_345),
    });
    let ended = (0..runs / 10).map(|index| WorkerTask {
        attempt: task_attempt(index),
        class: "reconciliation".into(),
        reserved: ResourceAmount::new(500, 1_000),
        speed_millis: 1_000,
        ended: Some(RunCompletion::Finished {
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

pub(crate) fn measure_report_codecs() {
    println!("### A worker's report by codec\n");
    println!("| runs measured | codec | bytes | encode, us | decode, us |");
    println!("|---|---|---|---|---|");
    for runs in [0, 6, 23, 64, 200] {
        let report = report(runs);
        let json = |report: &WorkerReport| serde_json::to_vec(report).unwrap();
        let postcard = |report: &WorkerReport| postcard::to_stdvec(report).unwrap();
        print_codec_row(runs, "JSON", &report, json, |bytes| {
            serde_json::from_slice(bytes).unwrap()
        });
        print_codec_row(runs, "postcard", &report, postcard, |bytes| {
            postcard::from_bytes(bytes).unwrap()
        });
    }
    println!();
}

fn print_codec_row<Message, Encode, Decode>(
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
    let encoding = cpu_time_per_call(|| drop(black_box(encode(message))));
    let decoding = cpu_time_per_call(|| drop(black_box(decode(&bytes))));
    println!(
        "| {runs} | {name} | {} | {encoding} | {decoding} |",
        bytes.len()
    );
}

/// Serves a worker with `runs` runs, each measured at every lease renewal.
fn serve_worker(runs: u32) -> SocketAddr {
    serve_on_own_thread(move || async move {
        let clock = Arc::new(ManualClock::new());
        let worker = WorkerStandIn::new(
            "worker-1",
            "north",
            ResourceAmount::new(1_000_000, 1_000_000),
            Arc::clone(&clock) as Arc<dyn ClockSource>,
            Arc::new(RunLedger::new()),
            1,
        );
        worker.update_settings(|settings| {
            settings.usage_period = Duration::ZERO;
            settings.usage_lag = (Duration::ZERO, Duration::ZERO);
        });
        let (address, guard) = worker.start_server().await.unwrap();
        let adoption = EpochAdoption {
            shard: 1,
            epoch: EPOCH,
            lease: LEASE,
        };
        worker.adopt(address, adoption).await.unwrap();
        for index in 0..runs {
            WorkerPort::start(&worker, address, EPOCH, start_order(index))
                .await
                .unwrap();
        }
        (address, guard)
    })
}

async fn renew(workers: &HttpWorkerTransport, address: SocketAddr) {
    let renewal = LeaseRenewal {
        shard: 1,
        epoch: EPOCH,
        lease: LEASE,
        acknowledged: Vec::new(),
        usage_limit: 1000,
    };
    black_box(workers.renew(address, renewal).await.unwrap());
}

pub(crate) fn measure_renewals() {
    println!("### A lease renewal of a worker and its report, over HTTP\n");
    println!("| runs measured | format | bytes sent | bytes received | owner's CPU time, us |");
    println!("|---|---|---|---|---|");
    for runs in [0, 6, 23, 64, 200] {
        let server = serve_worker(runs);
        print_renewals_row(server, runs, AnswerFormat::Json);
        print_renewals_row(server, runs, AnswerFormat::Postcard);
    }
    println!();
}

fn print_renewals_row(server: SocketAddr, runs: u32, format: AnswerFormat) {
    let make = |_| HttpWorkerTransport::new().with_format(format);
    let (sent, received) = count_wire_bytes(server, make, renew);
    let workers = make(server);
    let runtime = runtime();
    let time = cpu_time_per_call(|| runtime.block_on(renew(&workers, server)));
    println!("| {runs} | {format:?} | {sent} | {received} | {time} |");
}
