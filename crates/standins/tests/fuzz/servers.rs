//! Arbitrary bodies and bytes sent to the servers.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use arbtest::arbitrary::Unstructured;
use jasminebend_base::{
    ClassKind,
    OwnerEpoch,
    ResourceAmount, //
};
use jasminebend_ports::{
    EpochAdoption,
    LeaseRenewal,
    RowChange,
    RowExpectation,
    TableRequest,
    TaskAttempt,
    TaskOrder,
    WorkerRequest,
    WriteId, //
};
use jasminebend_standins::{
    ManualClock,
    RunLedger,
    TableStandIn,
    TaskPayload,
    WorkerStandIn, //
};
use serde::Serialize;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    runtime::Runtime, //
};

use crate::mutation::{
    mutate,
    with_fixed_seeds, //
};

const EPOCH: OwnerEpoch = OwnerEpoch(5);

fn json<Message>(message: &Message) -> Vec<u8>
where
    Message: Serialize,
{
    serde_json::to_vec(message).unwrap()
}

fn post(path: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
    );
    [head.as_bytes(), body].concat()
}

/// Sends bytes and returns the status of the answer, if there is one.
async fn send(address: SocketAddr, bytes: &[u8]) -> Option<u16> {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.unwrap();
    let status = answer.strip_prefix(b"HTTP/1.1 ")?.get(..3)?;
    std::str::from_utf8(status).ok()?.parse().ok()
}

/// Sends bytes that may be no whole request, and waits until the server has closed.
async fn send_and_close(address: SocketAddr, bytes: &[u8]) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The server may refuse and close before it has read everything.
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown().await;
    let _ = stream.read_to_end(&mut Vec::new()).await;
}

fn table_requests() -> Vec<Vec<u8>> {
    let changes = vec![
        RowChange::put("row/1", RowExpectation::Any, b"changed".to_vec()),
        RowChange::delete("row/2", RowExpectation::Version(1.into())),
    ];
    let write = WriteId(9);
    [
        TableRequest::Read {
            key: "row/1".into(),
        },
        TableRequest::Scan {
            prefix: "row/".into(),
            after: Some("row/1".into()),
            limit: 10,
        },
        TableRequest::Commit { write, changes },
    ]
    .iter()
    .map(json)
    .collect()
}

fn seeded_table() -> TableStandIn {
    let table = TableStandIn::new();
    let rows = ["row/1", "row/2"];
    let rows = rows.map(|key| RowChange::put(key, RowExpectation::Any, b"old".to_vec()));
    table.commit_surely(WriteId(1), &rows);
    table
}

#[test]
fn the_table_refuses_what_is_no_request() {
    let runtime = Runtime::new().unwrap();
    let valid = table_requests();
    with_fixed_seeds(|source| {
        let table = seeded_table();
        let before = table.rows("");
        let body = mutate(source, &valid)?;
        let status = runtime.block_on(async {
            let (address, _guard) = table.start().await.unwrap();
            send(address, &post(TableRequest::PATH, &body)).await
        });
        let parsed = serde_json::from_slice::<TableRequest>(&body);
        let expected = if parsed.is_ok() { 200 } else { 400 };
        assert_eq!(status, Some(expected), "{}", body.escape_ascii());
        if !matches!(parsed, Ok(TableRequest::Commit { .. })) {
            assert_eq!(table.rows(""), before, "{}", body.escape_ascii());
        }
        Ok(())
    });
}

fn run(index: u32) -> TaskAttempt {
    TaskAttempt {
        job: 7,
        index,
        attempt: 1,
    }
}

fn order(index: u32) -> TaskOrder {
    TaskOrder {
        attempt: run(index),
        class: "sync".into(),
        kind: ClassKind::Batch,
        reserved: ResourceAmount::new(1_000, 1_000),
        payload: TaskPayload::default().to_text(),
        checkpoint: Some("vm-1/1".into()),
        incarnation: None,
        valid_for: Duration::from_secs(1),
    }
}

fn worker_requests() -> Vec<Vec<u8>> {
    let lease = Duration::from_secs(10);
    [
        WorkerRequest::Adopt(EpochAdoption {
            shard: 1,
            epoch: EPOCH,
            lease,
        }),
        WorkerRequest::Renew(LeaseRenewal {
            shard: 1,
            epoch: EPOCH,
            lease,
            acknowledged: vec![run(3)],
            usage_limit: 1000,
        }),
        WorkerRequest::Start {
            epoch: EPOCH,
            order: order(2),
        },
        WorkerRequest::Throttle {
            epoch: EPOCH,
            attempt: run(1),
            speed_millis: 500,
        },
        WorkerRequest::Checkpoint {
            epoch: EPOCH,
            attempt: run(1),
        },
        WorkerRequest::Stop {
            epoch: EPOCH,
            attempt: run(1),
        },
    ]
    .iter()
    .map(json)
    .collect()
}

fn seeded_worker(ledger: &Arc<RunLedger>) -> WorkerStandIn {
    WorkerStandIn::new(
        "vm-1",
        "north",
        ResourceAmount::new(8_000, 16_000),
        Arc::new(ManualClock::new()),
        Arc::clone(ledger),
        1,
    )
}

#[test]
fn a_worker_refuses_what_is_no_request() {
    let runtime = Runtime::new().unwrap();
    let valid = worker_requests();
    with_fixed_seeds(|source| {
        let ledger = Arc::new(RunLedger::new());
        let worker = seeded_worker(&ledger);
        let body = mutate(source, &valid)?;
        let (before, after, status) = runtime.block_on(async {
            let (address, _guard) = worker.start_server().await.unwrap();
            let start = WorkerRequest::Start {
                epoch: EPOCH,
                order: order(1),
            };
            for body in [valid[0].clone(), json(&start)] {
                let status = send(address, &post(WorkerRequest::PATH, &body)).await;
                assert_eq!(status, Some(200));
            }
            let before = (worker.running(), ledger.runs());
            let status = send(address, &post(WorkerRequest::PATH, &body)).await;
            (before, (worker.running(), ledger.runs()), status)
        });
        if serde_json::from_slice::<WorkerRequest>(&body).is_ok() {
            assert!(matches!(status, Some(200 | 409)), "{status:?}");
        } else {
            assert_eq!(status, Some(400), "{}", body.escape_ascii());
            assert_eq!(before, after, "{}", body.escape_ascii());
        }
        Ok(())
    });
}

/// A caller's broken bytes end the server for all: its next caller gets no answer.
#[test]
fn a_server_outlives_bytes_that_are_no_http() {
    let runtime = Runtime::new().unwrap();
    let table = seeded_table();
    let (address, _guard) = runtime.block_on(table.start()).unwrap();
    let before = table.rows("");
    let requests = table_requests();
    let read = post(TableRequest::PATH, &requests[0]);
    with_fixed_seeds(|source: &mut Unstructured<'_>| {
        let bytes = mutate(source, std::slice::from_ref(&read))?;
        runtime.block_on(async {
            send_and_close(address, &bytes).await;
            assert_eq!(send(address, &read).await, Some(200));
        });
        Ok(())
    });
    assert_eq!(table.rows(""), before);
}
