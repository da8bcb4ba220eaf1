//! A request that is not idempotent runs at most once, whatever fails.

use std::time::Duration;

use crate::support::{
    Act,
    GatewayBuilder,
    Reply,
    ScriptEndpoint,
    eventually,
    send, //
};

const SHORT: Duration = Duration::from_millis(200);

/// Sends one booking while both endpoints do `act`, and returns the reply and how often it ran.
async fn book_with(act: Act) -> (Reply, u32) {
    let (first, second) = (ScriptEndpoint::start().await, ScriptEndpoint::start().await);
    first.always(act.clone());
    second.always(act);
    let gateway = GatewayBuilder::new()
        .with_endpoint(&first, 2)
        .with_endpoint(&second, 2)
        .with_settings(|settings| settings.with_request_timeout(1, SHORT))
        .with_target(SHORT)
        .start()
        .await;
    let reply = gateway.post("booking").await;
    let runs = |endpoint: &ScriptEndpoint| endpoint.ledger().runs.get("booking").copied();
    let ran = runs(&first).unwrap_or(0) + runs(&second).unwrap_or(0);
    (reply, ran)
}

// A booking reaches an endpoint, which fails in one of these ways. A second endpoint is free, and
// trying again there would look helpful, but would put two guitars on one bench.
#[tokio::test]
async fn a_booking_is_sent_once_whatever_the_endpoint_does() {
    let cases = [
        ("closes after the head", Act::Close(""), 502),
        ("answers no HTTP", Act::Raw("SSH-2.0-OpenSSH\r\n\r\n"), 502),
        ("goes silent", Act::Silent, 504),
        ("works for too long", Act::Hold, 504),
        ("closes within its head", Act::Close("HTTP/1.1 200 O"), 502),
    ];
    for (case, act, status) in cases {
        let (reply, runs) = book_with(act).await;
        assert_eq!(
            (reply.status, reply.executed()),
            (status, Some("unknown")),
            "{case}"
        );
        assert_eq!(runs, 1, "{case}");
    }
}

// The endpoint answers, and then closes in the middle of the body. The head has gone to the caller
// already: its connection is aborted, so that the part is not taken for the whole.
#[tokio::test]
async fn a_booking_cut_within_its_answer_is_not_sent_again() {
    for part in [
        "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
    ] {
        let (reply, runs) = book_with(Act::Close(part)).await;
        assert!(!reply.whole, "{reply:?}");
        assert_eq!(runs, 1);
    }
}

// An endpoint's own failure is its answer: the booking may well be in its books.
#[tokio::test]
async fn an_endpoints_error_is_passed_on_and_not_retried() {
    for status in ["500 Oops", "502 Bad", "503 Busy", "504 Late"] {
        let text = format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n");
        let (reply, runs) = book_with(Act::Raw(text.leak())).await;
        assert!(status.starts_with(&reply.status.to_string()));
        assert_eq!((reply.executed(), runs), (None, 1));
    }
}

// One endpoint's process is gone. The connection is refused, so that not one byte was written, and
// the booking may go to the other endpoint.
#[tokio::test]
async fn a_refused_connection_leads_to_another_endpoint() {
    let (gone, other) = (ScriptEndpoint::start().await, ScriptEndpoint::start().await);
    let gateway = GatewayBuilder::new()
        .with_endpoint(&gone, 2)
        .with_endpoint(&other, 2)
        .start()
        .await;
    drop(gone);
    for id in 0..8 {
        assert_eq!(gateway.post(&id.to_string()).await.status, 200);
    }
    assert!(other.ledger().runs.values().all(|runs| *runs == 1));
}

// Every endpoint's process is gone: the booking certainly did not run, and the caller is told.
#[tokio::test]
async fn without_any_connection_the_refusal_says_not_run() {
    let gone = ScriptEndpoint::start().await;
    let gateway = GatewayBuilder::new().with_endpoint(&gone, 2).start().await;
    drop(gone);
    let reply = gateway.post("a").await;
    assert_eq!((reply.status, reply.executed()), (503, Some("no")));
    assert!(reply.header("retry-after").is_some());
}

// The endpoint closes its idle connection in the moment in which a booking goes out on it. Whether
// it read the booking first cannot be known, so that it is not sent again.
#[tokio::test]
async fn a_booking_on_a_connection_that_closes_runs_at_most_once() {
    let endpoint = ScriptEndpoint::start().await;
    let gateway = GatewayBuilder::new()
        .with_endpoint(&endpoint, 8)
        .start()
        .await;
    for id in 0..40 {
        endpoint.once(Act::Answer).once(Act::Close(""));
        gateway.post(&format!("a{id}")).await;
        gateway.post(&format!("b{id}")).await;
    }
    assert!(endpoint.ledger().runs.values().all(|runs| *runs == 1));
}

// The endpoint itself says that it did not run the booking. Only then may it go out once more.
#[tokio::test]
async fn an_endpoint_that_did_not_run_a_booking_may_be_followed_by_another() {
    let endpoint = ScriptEndpoint::start().await;
    endpoint.once(Act::Raw(
        "HTTP/1.1 503 Full\r\njasminebend-executed: no\r\ncontent-length: 0\r\n\r\n",
    ));
    let other = ScriptEndpoint::start().await;
    let gateway = GatewayBuilder::new()
        .with_endpoint(&endpoint, 2)
        .with_endpoint(&other, 2)
        .start()
        .await;
    for id in 0..8 {
        assert_eq!(gateway.post(&id.to_string()).await.status, 200);
    }
}

// The caller leaves while its booking is on the way. Its connection's end must not start anything
// anew, and the endpoint's answer goes to nobody else.
#[tokio::test]
async fn a_caller_that_leaves_has_its_booking_run_once() {
    let endpoint = ScriptEndpoint::start().await;
    endpoint.once(Act::Hold);
    let gateway = GatewayBuilder::new()
        .with_endpoint(&endpoint, 1)
        .start()
        .await;
    let head = "POST /mine HTTP/1.1\r\nhost: shop\r\nx-request-id: a\r\ncontent-length: 0\r\n\r\n";
    let caller = send(gateway.address, head).await;
    eventually(|| endpoint.seen() == 1).await;
    drop(caller);
    let next = gateway.post_later("b");
    endpoint.release();
    assert_eq!(next.await.unwrap().body, "/bookings");
    assert_eq!(endpoint.ledger().runs.get("a"), Some(&1));
}
