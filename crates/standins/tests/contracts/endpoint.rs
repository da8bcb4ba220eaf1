//! Tests of the stand-in endpoint's behaviour and counts, over raw connections.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use http::StatusCode;
use jasminebend_base::VmName;
use jasminebend_standins::{
    AnswerFault,
    EndpointAnswer,
    EndpointCounts,
    EndpointFault,
    EndpointLedger,
    EndpointSettings,
    EndpointStandIn,
    ServerGuard,
    ServiceTime, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    time, //
};

use crate::harness::{
    ENDLESS_DELAY,
    wait_until, //
};

struct EndpointHarness {
    stand_in: EndpointStandIn,
    address: SocketAddr,
    _guard: ServerGuard,
}

impl EndpointHarness {
    async fn new(slots: u16, service_time: Duration) -> Self {
        let settings = EndpointSettings {
            service_time: ServiceTime::Fixed(service_time),
            ..EndpointSettings::default()
        };
        let ledger = Arc::new(EndpointLedger::new());
        let stand_in = EndpointStandIn::new("vm-1", ledger, 1)
            .with_limits(slots, 2)
            .with_settings(settings);
        let (address, guard) = stand_in.start().await.unwrap();
        Self {
            stand_in,
            address,
            _guard: guard,
        }
    }

    fn counts(&self) -> EndpointCounts {
        self.stand_in.ledger().counts(&VmName::from("vm-1"))
    }

    async fn send(&self, id: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        let request = format!(
            "POST / HTTP/1.1\r\nhost: a\r\nx-request-id: {id}\r\nx-answer-bytes: 10\r\n\
             content-length: 4\r\nconnection: close\r\n\r\nbody"
        );
        stream.write_all(request.as_bytes()).await.unwrap();
        stream
    }

    async fn exchange(&self, id: &str) -> String {
        read_to_end(self.send(id).await).await
    }
}

async fn read_to_end(mut stream: TcpStream) -> String {
    let mut answer = Vec::new();
    // A reset of the connection ends the response like a close.
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8(answer).unwrap()
}

fn response_body(answer: &str) -> &str {
    answer.split_once("\r\n\r\n").map_or("", |(_, body)| body)
}

#[tokio::test]
async fn counts_requests_beyond_its_slots_and_connections() {
    let endpoint = EndpointHarness::new(2, ENDLESS_DELAY).await;
    let mut streams = Vec::new();
    for id in ["a", "b", "c"] {
        streams.push(endpoint.send(id).await);
    }
    wait_until("three arrivals", || endpoint.counts().arrivals == 3).await;
    let counts = endpoint.counts();
    assert_eq!((counts.over_slots, counts.over_connections), (1, 1));
    wait_until("two runs", || endpoint.counts().runs == 2).await;
    assert_eq!(endpoint.counts().max_running, 2);
}

/// A request that its caller gave up must still occupy its slot while the endpoint processes it. A caller that
/// considers the slot free sends more requests than the endpoint has slots.
#[tokio::test]
async fn an_abandoned_request_keeps_its_slot() {
    let endpoint = EndpointHarness::new(1, ENDLESS_DELAY).await;
    let given_up = endpoint.send("a").await;
    wait_until("the first run", || endpoint.counts().runs == 1).await;
    drop(given_up);
    wait_until("the close", || endpoint.counts().open_connections == 0).await;
    let _second = endpoint.send("b").await;
    wait_until("the second arrival", || endpoint.counts().arrivals == 2).await;
    assert_eq!(endpoint.counts().over_slots, 1);
}

#[tokio::test]
async fn counts_the_runs_of_each_request() {
    let endpoint = EndpointHarness::new(1, Duration::ZERO).await;
    for id in ["a", "b", "a"] {
        let answer = endpoint.exchange(id).await;
        let checked = EndpointAnswer::check(id, b"body", response_body(&answer).as_bytes());
        assert_eq!(checked, Ok(()), "{answer}");
    }
    let ledger = endpoint.stand_in.ledger();
    assert_eq!(ledger.repeated_request_ids(), ["a"]);
    assert_eq!((ledger.runs_of("b"), ledger.runs()), (1, 3));
}

#[test]
fn the_endpoint_answer_check_detects_wrong_and_corrupted_answers() {
    let whole = EndpointAnswer::build("a", b"body", 10);
    let longer = [whole.as_ref(), b"."].concat();
    let changed = whole.iter().map(|byte| match byte {
        b'.' => b',',
        other => *other,
    });
    let cases = [
        ("a", "body", whole.to_vec(), Ok(())),
        ("b", "body", whole.to_vec(), Err(AnswerFault::OtherRequest)),
        ("a", "bodi", whole.to_vec(), Err(AnswerFault::WrongChecksum)),
        (
            "a",
            "body",
            changed.collect(),
            Err(AnswerFault::WrongChecksum),
        ),
        ("a", "body", longer, Err(AnswerFault::WrongLength)),
        (
            "a",
            "body",
            whole[..whole.len() - 1].to_vec(),
            Err(AnswerFault::WrongLength),
        ),
        ("a", "body", b"a".to_vec(), Err(AnswerFault::UnknownFormat)),
    ];
    for (id, request, answer, expected) in cases {
        let checked = EndpointAnswer::check(id, request.as_bytes(), &answer);
        assert_eq!(checked, expected, "{id} {request}");
    }
}

#[tokio::test]
async fn injects_each_fault_and_counts_processed_requests() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-length: ";
    let trailing = EndpointFault::TrailingBytes(Bytes::from_static(b"more"));
    let raw = EndpointFault::Raw(Bytes::from_static(b"HTTP/1.1 nonsense\r\n\r\n"));
    let error = StatusCode::INTERNAL_SERVER_ERROR;
    let cases = [
        (EndpointFault::CloseBeforeRun, "", "", 0),
        (EndpointFault::CloseBeforeAnswer, "", "", 1),
        (EndpointFault::CloseAfterHead, HEAD, "\r\n\r\n", 1),
        (EndpointFault::CloseMidBody, HEAD, "", 1),
        (EndpointFault::FailFast(error), "HTTP/1.1 500", "", 0),
        (EndpointFault::FailAfterRun(error), "HTTP/1.1 500", "", 1),
        (EndpointFault::Refuse, "HTTP/1.1 503", "leaving", 0),
        (raw, "HTTP/1.1 nonsense", "", 1),
        (trailing, HEAD, ".more", 1),
    ];
    let endpoint = EndpointHarness::new(1, Duration::ZERO).await;
    for (fault, start, end, runs) in cases {
        let id = format!("{fault:?}");
        endpoint.stand_in.queue_fault(fault);
        let answer = endpoint.exchange(&id).await;
        assert!(answer.starts_with(start), "{id} gave {answer}");
        assert!(answer.ends_with(end), "{id} gave {answer}");
        let checked = EndpointAnswer::check(&id, b"body", response_body(&answer).as_bytes());
        let looks_whole = id.starts_with("FailAfterRun");
        assert_eq!(checked.is_ok(), looks_whole, "{id} gave {answer}");
        assert_eq!(endpoint.stand_in.ledger().runs_of(&id), runs, "{id}");
    }
}

#[tokio::test]
async fn a_leaving_endpoint_refuses_requests_as_not_run() {
    let endpoint = EndpointHarness::new(1, Duration::ZERO).await;
    endpoint
        .stand_in
        .update_settings(|settings| settings.leaving = true);
    let answer = endpoint.exchange("a").await;
    assert!(answer.contains("jasminebend-executed: no\r\n"), "{answer}");
    assert!(answer.contains("connection: close\r\n"), "{answer}");
    assert_eq!(endpoint.counts().runs, 0);
}

/// A NAT or firewall that loses its connection state makes requests on open connections time out although the endpoint
/// is healthy. New connections work.
#[tokio::test]
async fn silenced_connections_stay_open_and_new_ones_work() {
    let endpoint = EndpointHarness::new(1, Duration::ZERO).await;
    let mut silenced = TcpStream::connect(endpoint.address).await.unwrap();
    wait_until("the connection", || endpoint.counts().open_connections == 1).await;
    endpoint.stand_in.silence_connections();
    silenced.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
    assert!(endpoint.exchange("a").await.starts_with("HTTP/1.1 200"));
    let mut byte = [0];
    let silence = time::timeout(Duration::from_millis(20), silenced.read(&mut byte)).await;
    assert!(silence.is_err(), "{silence:?}");
    assert_eq!(endpoint.counts().runs, 1);
}
