//! Mutated request bodies and raw bytes sent to the stand-ins' servers.

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
    mutate_input,
    with_fixed_seeds, //
};

const EPOCH: OwnerEpoch = OwnerEpoch(5);

fn to_json<Message>(message: &Message) -> Vec<u8>
where
    Message: Serialize,
{
    serde_json::to_vec(message).unwrap()
}

fn post_request(path: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
    );
    [head.as_bytes(), body].concat()
}

/// Sends bytes and returns the status of the response, or `None` without a valid one.
async fn send_request(address: SocketAddr, bytes: &[u8]) -> Option<u16> {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.unwrap();
    let status = answer.strip_prefix(b"HTTP/1.1 ")?.get(..3)?;
    std::str::from_utf8(status).ok()?.parse().ok()
}

/// Sends bytes that may be an incomplete request, and waits until the server closes the connection.
async fn send_raw_bytes(address: SocketAddr, bytes: &[u8]) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The server may refuse the request and close the connection before it has read everything.
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
    .map(to_json)
    .collect()
}

fn table_with_rows() -> TableStandIn {
    let table = TableStandIn::new();
    let rows = ["row/1", "row/2"];
    let rows = rows.map(|key| RowChange::put(key, RowExpectation::Any, b"old".to_vec()));
    table.commit_without_faults(WriteId(1), &rows);
    table
}

#[test]
fn the_table_refuses_malformed_requests() {
    let runtime = Runtime::new().unwrap();
    let valid = table_requests();
    with_fixed_seeds(|source| {
        let table = table_with_rows();
        let before = table.rows("");
        let body = mutate_input(source, &valid)?;
        let status = runtime.block_on(async {
            let (address, _guard) = table.start().await.unwrap();
            send_request(address, &post_request(TableRequest::PATH, &body)).await
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

fn task_attempt(index: u32) -> TaskAttempt {
    TaskAttempt {
        job: 7,
        index,
        attempt: 1,
    }
}

fn start_order(index: u32) -> TaskOrder {
    TaskOrder {
        attempt: task_attempt(index),
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
            acknowledged: vec![task_attempt(3)],
            usage_limit: 1000,
        }),
        WorkerRequest::Start {
            epoch: EPOCH,
            order: start_order(2),
        },
        WorkerRequest::Throttle {
            epoch: EPOCH,
            attempt: task_attempt(1),
            speed_millis: 500,
        },
        WorkerRequest::Checkpoint {
            epoch: EPOCH,
            attempt: task_attempt(1),
        },
        WorkerRequest::Stop {
            epoch: EPOCH,
            attempt: task_attempt(1),
        },
    ]
    .iter()
    .map(to_json)
    .collect()
}

fn worker_with_ledger(ledger: &Arc<RunLedger>) -> WorkerStandIn {
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
fn a_worker_refuses_malformed_requests() {
    let runtime = Runtime::new().unwrap();
    let valid = worker_requests();
    with_fixed_seeds(|source| {
        let ledger = Arc::new(RunLedger::new());
        let worker = worker_with_ledger(&ledger);
        let body = mutate_input(source, &valid)?;
        let (before, after, status) = runtime.block_on(async {
            let (address, _guard) = worker.start_server().await.unwrap();
            let start = WorkerRequest::Start {
                epoch: EPOCH,
                order: start_order(1),
            };
            for body in [valid[0].clone(), to_json(&start)] {
                let status = send_request(address, &post_request(WorkerRequest::PATH, &body)).await;
                assert_eq!(status, Some(200));
            }
            let before = (worker.running(), ledger.runs());
            let status = send_request(address, &post_request(WorkerRequest::PATH, &body)).await;
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

/// Bytes that are not HTTP must not stop the server for other callers.
#[test]
fn a_server_survives_bytes_that_are_not_http() {
    let runtime = Runtime::new().unwrap();
    let table = table_with_rows();
    let (address, _guard) = runtime.block_on(table.start()).unwrap();
    let before = table.rows("");
    let requests = table_requests();
    let read = post_request(TableRequest::PATH, &requests[0]);
    with_fixed_seeds(|source: &mut Unstructured<'_>| {
        let bytes = mutate_input(source, std::slice::from_ref(&read))?;
        runtime.block_on(async {
            send_raw_bytes(address, &bytes).await;
            assert_eq!(send_request(address, &read).await, Some(200));
        });
        Ok(())
    });
    assert_eq!(table.rows(""), before);
}
