//! A request that is not idempotent runs at most once, whatever fails.

use std::time::Duration;

use crate::support::{
    EndpointAction,
    GatewayBuilder,
    Reply,
    ScriptedEndpoint,
    open_and_send, //
    wait_until,
};

const TARGET: Duration = Duration::from_millis(200);

/// Sends one booking while both endpoints perform `action`. Returns the reply and how often the
/// booking ran.
async fn post_booking(action: EndpointAction) -> (Reply, u32) {
    let (first, second) = (
        ScriptedEndpoint::start().await,
        ScriptedEndpoint::start().await,
    );
    first.set_default_action(action.clone());
    second.set_default_action(action);
    let gateway = GatewayBuilder::new()
        .with_endpoint(&first, 2)
        .with_endpoint(&second, 2)
        .with_settings(|settings| settings.with_request_timeout(1, TARGET))
        .with_target(TARGET)
        .start()
        .await;
    let reply = gateway.post("booking").await;
    let run_count =
        |endpoint: &ScriptedEndpoint| endpoint.log().runs_by_request_id.get("booking").copied();
    let run_count = run_count(&first).unwrap_or(0) + run_count(&second).unwrap_or(0);
    (reply, run_count)
}

// A booking reaches an endpoint, which fails in one of these ways. A retry at the second, free
// endpoint could run the booking twice.
#[tokio::test]
async fn a_booking_is_sent_once_whatever_the_endpoint_does() {
    let cases = [
        ("closes after the head", EndpointAction::Close(""), 502),
        (
            "answers no HTTP",
            EndpointAction::Raw("SSH-2.0-OpenSSH\r\n\r\n"),
            502,
        ),
        ("goes silent", EndpointAction::Silent, 504),
        ("works for too long", EndpointAction::Hold, 504),
        (
            "closes within its head",
            EndpointAction::Close("HTTP/1.1 200 O"),
            502,
        ),
    ];
    for (case, action, status) in cases {
        let (reply, run_count) = post_booking(action).await;
        assert_eq!(
            (reply.status, reply.executed()),
            (status, Some("unknown")),
            "{case}"
        );
        assert_eq!(run_count, 1, "{case}");
    }
}

// The endpoint closes the connection within the body of its response. The head was already sent to
// the caller: its connection is aborted, so that the part is not taken for the complete response.
#[tokio::test]
async fn a_booking_with_a_truncated_response_is_not_sent_again() {
    for part in [
        "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
    ] {
        let (reply, run_count) = post_booking(EndpointAction::Close(part)).await;
        assert!(!reply.is_complete, "{reply:?}");
        assert_eq!(run_count, 1);
    }
}

// The error of an endpoint is its response: the booking may have been recorded.
#[tokio::test]
async fn an_endpoints_error_is_forwarded_and_not_retried() {
    for status in ["500 Oops", "502 Bad", "503 Busy", "504 Late"] {
        let text = format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n");
        let (reply, run_count) = post_booking(EndpointAction::Raw(text.leak())).await;
        assert!(status.starts_with(&reply.status.to_string()));
        assert_eq!((reply.executed(), run_count), (None, 1));
    }
}

// The process of one endpoint has terminated. Its connection is refused, so that nothing was sent,
// and the booking may be sent to the other endpoint.
#[tokio::test]
async fn a_refused_connection_leads_to_another_endpoint() {
    let (terminated, other) = (
        ScriptedEndpoint::start().await,
        ScriptedEndpoint::start().await,
    );
    let gateway = GatewayBuilder::new()
        .with_endpoint(&terminated, 2)
        .with_endpoint(&other, 2)
        .start()
        .await;
    drop(terminated);
    for id in 0..8 {
        assert_eq!(gateway.post(&id.to_string()).await.status, 200);
    }
    assert!(
        other
            .log()
            .runs_by_request_id
            .values()
            .all(|run_count| *run_count == 1)
    );
}

// The processes of all endpoints have terminated: the booking certainly did not run, and the
// response says so.
#[tokio::test]
async fn without_any_connection_the_request_is_reported_not_run() {
    let terminated = ScriptedEndpoint::start().await;
    let gateway = GatewayBuilder::new()
        .with_endpoint(&terminated, 2)
        .start()
        .await;
    drop(terminated);
    let reply = gateway.post("a").await;
    assert_eq!((reply.status, reply.executed()), (503, Some("no")));
    assert!(reply.header("retry-after").is_some());
}

// The endpoint closes its idle connection while a booking is being sent on it. It may have read the
// booking, so that the booking is not sent again.
#[tokio::test]
async fn a_booking_on_a_closing_connection_runs_at_most_once() {
    let endpoint = ScriptedEndpoint::start().await;
    let gateway = GatewayBuilder::new()
        .with_endpoint(&endpoint, 8)
        .start()
        .await;
    for id in 0..40 {
        endpoint
            .push_action(EndpointAction::Answer)
            .push_action(EndpointAction::Close(""));
        gateway.post(&format!("a{id}")).await;
        gateway.post(&format!("b{id}")).await;
    }
    assert!(
        endpoint
            .log()
            .runs_by_request_id
            .values()
            .all(|run_count| *run_count == 1)
    );
}

// The endpoint itself reports that it did not run the booking. Only then may the booking be sent
// again.
#[tokio::test]
async fn a_booking_that_an_endpoint_did_not_run_may_be_retried() {
    let endpoint = ScriptedEndpoint::start().await;
    endpoint.push_action(EndpointAction::Raw(
        "HTTP/1.1 503 Full\r\njasminebend-executed: no\r\ncontent-length: 0\r\n\r\n",
    ));
    let other = ScriptedEndpoint::start().await;
    let gateway = GatewayBuilder::new()
        .with_endpoint(&endpoint, 2)
        .with_endpoint(&other, 2)
        .start()
        .await;
    for id in 0..8 {
        assert_eq!(gateway.post(&id.to_string()).await.status, 200);
    }
}

// The caller disconnects while its booking is in progress. This must not start the booking again,
// and the response must not reach another caller.
#[tokio::test]
async fn the_booking_of_a_caller_that_disconnects_runs_once() {
    let endpoint = ScriptedEndpoint::start().await;
    endpoint.push_action(EndpointAction::Hold);
    let gateway = GatewayBuilder::new()
        .with_endpoint(&endpoint, 1)
        .start()
        .await;
    let head = "POST /mine HTTP/1.1\r\nhost: shop\r\nx-request-id: a\r\ncontent-length: 0\r\n\r\n";
    let caller = open_and_send(gateway.address, head).await;
    wait_until(|| endpoint.request_count() == 1).await;
    drop(caller);
    let next = gateway.spawn_post("b");
    endpoint.release();
    assert_eq!(next.await.unwrap().body, "/bookings");
    assert_eq!(endpoint.log().runs_by_request_id.get("a"), Some(&1));
}
