//! Corrupted and foreign responses to the HTTP adapters.

use std::{
    sync::Arc,
    time::Duration, //
};

use jasminebend_base::{
    OwnerEpoch,
    ResourceAmount, //
};
use jasminebend_ports::{
    AnswerFormat,
    CommitOutcome,
    HttpTableService,
    HttpVmList,
    HttpWorkerTransport,
    LeaseRenewal,
    TableError,
    TableService,
    TaskAttempt,
    TaskUsage,
    VmList,
    WorkerAnswer,
    WorkerError,
    WorkerPort,
    WorkerReport,
    WriteId, //
};
use jasminebend_standins::{
    EndpointFault,
    EndpointLedger,
    EndpointSettings,
    EndpointStandIn,
    ServiceTime, //
};
use tokio::runtime::Runtime;

use crate::mutation::{
    mutate_input,
    with_fixed_seeds, //
};

/// The adapters' timeout, after which they give up on an incomplete response.
const CALL_TIMEOUT: Duration = Duration::from_millis(200);

fn commit_responses() -> Vec<Vec<u8>> {
    let committed = serde_json::to_string(&CommitOutcome::Committed(7.into())).unwrap();
    let length = committed.len();
    [
        format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{committed}"),
        format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\ncontent-length: 3\r\n\r\n{committed}"),
        format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{length:x}\r\n{committed}\r\n0\r\n\r\n"),
        "HTTP/1.1 500 Oops\r\nconnection: close\r\ncontent-length: 0\r\n\r\n".to_owned(),
    ]
    .map(String::into_bytes)
    .to_vec()
}

fn instant_endpoint() -> EndpointStandIn {
    let settings = EndpointSettings {
        service_time: ServiceTime::Fixed(Duration::ZERO),
        ..EndpointSettings::default()
    };
    EndpointStandIn::new("vm-1", Arc::new(EndpointLedger::new()), 1).with_settings(settings)
}

/// A corrupted response must not be taken for the report that a commit had no effect or met a conflict: the writer
/// would repeat or drop a commit that may have taken effect.
#[test]
fn a_corrupted_response_never_means_that_a_commit_did_not_run() {
    let runtime = Runtime::new().unwrap();
    let server = instant_endpoint();
    let (address, _guard) = runtime.block_on(server.start()).unwrap();
    let valid = commit_responses();
    with_fixed_seeds(|source| {
        let answer = mutate_input(source, &valid)?;
        let refuses = answer.starts_with(b"HTTP/1.1 4");
        server.queue_fault(EndpointFault::Raw(answer.clone().into()));
        let table = HttpTableService::new(address).with_timeout(CALL_TIMEOUT);
        let outcome = runtime.block_on(table.commit(WriteId(1), Vec::new()));
        let contradicts = match outcome {
            Ok(CommitOutcome::Committed(_)) => false,
            Ok(CommitOutcome::Conflict { .. }) => true,
            Err(error) => error.certainly_had_no_effect() && !refuses,
        };
        assert!(!contradicts, "{outcome:?} for {}", answer.escape_ascii());
        Ok(())
    });
}

#[test]
fn a_response_in_another_format_is_rejected() {
    let runtime = Runtime::new().unwrap();
    let server = instant_endpoint();
    let (address, _guard) = runtime.block_on(server.start()).unwrap();
    let renewal = LeaseRenewal {
        shard: 1,
        epoch: OwnerEpoch(1),
        lease: CALL_TIMEOUT,
        acknowledged: Vec::new(),
        usage_limit: 1000,
    };
    runtime.block_on(async {
        let table = HttpTableService::new(address);
        let read = table.read(&"a".into()).await;
        assert_eq!(read, Err(TableError::Malformed));
        assert!(HttpVmList::new(address).read().await.is_err());
        let report = HttpWorkerTransport::new().renew(address, renewal).await;
        assert_eq!(report, Err(WorkerError::Unknown));
    });
}

/// A corrupted report must not be taken for an unreachable worker: the owner would start the worker's tasks elsewhere
/// although the worker received the renewal.
#[test]
fn a_corrupted_report_never_means_that_a_worker_was_unreachable() {
    let runtime = Runtime::new().unwrap();
    let server = instant_endpoint();
    let (address, _guard) = runtime.block_on(server.start()).unwrap();
    let valid = [
        report_response(AnswerFormat::Json),
        report_response(AnswerFormat::Postcard),
    ];
    with_fixed_seeds(|source| {
        let answer = mutate_input(source, &valid)?;
        let refuses = answer.starts_with(b"HTTP/1.1 4");
        server.queue_fault(EndpointFault::Raw(answer.clone().into()));
        let renewal = LeaseRenewal {
            shard: 1,
            epoch: OwnerEpoch(1),
            lease: CALL_TIMEOUT,
            acknowledged: Vec::new(),
            usage_limit: 1000,
        };
        let workers = HttpWorkerTransport::new().with_timeout(CALL_TIMEOUT);
        let report = runtime.block_on(workers.renew(address, renewal));
        let unreached = report == Err(WorkerError::Unreachable);
        assert!(!unreached || refuses, "{}", answer.escape_ascii());
        Ok(())
    });
}

#[test]
fn a_report_with_trailing_bytes_is_rejected() {
    let runtime = Runtime::new().unwrap();
    let server = instant_endpoint();
    let (address, _guard) = runtime.block_on(server.start()).unwrap();
    for format in [AnswerFormat::Json, AnswerFormat::Postcard] {
        for (suffix, is_report) in [("", true), ("0", false)] {
            let answer = report_response_with_suffix(format, suffix);
            server.queue_fault(EndpointFault::Raw(answer.into()));
            let renewal = LeaseRenewal {
                shard: 1,
                epoch: OwnerEpoch(1),
                lease: CALL_TIMEOUT,
                acknowledged: Vec::new(),
                usage_limit: 1000,
            };
            let report = runtime.block_on(HttpWorkerTransport::new().renew(address, renewal));
            assert_eq!(report.is_ok(), is_report, "{format:?} {suffix}");
        }
    }
}

fn report_response(format: AnswerFormat) -> Vec<u8> {
    report_response_with_suffix(format, "")
}

fn report_response_with_suffix(format: AnswerFormat, suffix: &str) -> Vec<u8> {
    let usage = TaskUsage {
        attempt: TaskAttempt {
            job: 7,
            index: 1,
            attempt: 1,
        },
        used: ResourceAmount::new(431, 977),
        latency_p99: None,
        progress_millis: Some(431),
        age: Duration::from_secs(12),
    };
    let answer = WorkerAnswer::Report(WorkerReport {
        incarnation: 5,
        running: 3,
        ended: Vec::new(),
        usage: vec![usage],
    });
    let (kind, mut body) = match format {
        AnswerFormat::Json => ("application/json", serde_json::to_vec(&answer).unwrap()),
        AnswerFormat::Postcard => (
            AnswerFormat::POSTCARD_TYPE,
            postcard::to_stdvec(&answer).unwrap(),
        ),
    };
    body.extend(suffix.as_bytes());
    let length = body.len();
    let head =
        format!("HTTP/1.1 200 OK\r\ncontent-type: {kind}\r\ncontent-length: {length}\r\n\r\n");
    [head.into_bytes(), body].concat()
}
