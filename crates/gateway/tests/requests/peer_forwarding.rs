//! A daemon without a slot of a service forwards its requests to one that has some.

use jasminebend_standins::TableStandIn;

use crate::support::{
    EndpointAction,
    GatewayBuilder,
    ScriptedEndpoint,
    TestGateway,
    send_request,
    wait_until_answered, //
};

/// Starts a daemon that holds all shares and one that holds none, and waits until the second can
/// forward to the first.
async fn start_holder_and_forwarder(endpoint: &ScriptedEndpoint) -> (TestGateway, TestGateway) {
    let table = TableStandIn::new();
    let build = || {
        GatewayBuilder::new()
            .with_endpoint(endpoint, 4)
            .with_table(&table)
    };
    let holder = build().with_peer_address().start().await;
    let forwarder = build().with_shares(0..0).with_peer_address().start().await;
    wait_until_answered(async || forwarder.get("/warm").await).await;
    (holder, forwarder)
}

// A service has a single endpoint, whose slots seven daemons divide: some have none. The balancer
// does not know this, and without forwarding a caller of such a daemon would be refused.
#[tokio::test]
async fn a_daemon_without_slots_forwards_to_one_that_has_some() {
    let endpoint = ScriptedEndpoint::start().await;
    let (_holder, forwarder) = start_holder_and_forwarder(&endpoint).await;
    let reply = forwarder.post_keyed("a", "k1").await;
    assert_eq!((reply.status, reply.body.as_str()), (200, "/bookings"));
    let headers = "idempotency-key: k1\r\n";
    let other = send_request(forwarder.address, "POST /bookings", headers, "violin").await;
    assert_eq!((other.status, other.executed()), (422, Some("no")));
    let request_heads = &endpoint.log().request_heads;
    assert!(
        request_heads
            .iter()
            .all(|head| !head.contains("jasminebend-forwarded"))
    );
}

// A forwarded booking may have run whatever happens to it: it is not forwarded again, and the
// report of the other daemon is returned to the caller.
#[tokio::test]
async fn a_forwarded_booking_runs_at_most_once() {
    for (action, executed) in [
        (EndpointAction::Close(""), Some("unknown")),
        (
            EndpointAction::Raw(
                "HTTP/1.1 503 Full\r\njasminebend-executed: no\r\ncontent-length: 0\r\n\r\n",
            ),
            Some("no"),
        ),
    ] {
        let endpoint = ScriptedEndpoint::start().await;
        let (_holder, forwarder) = start_holder_and_forwarder(&endpoint).await;
        endpoint.set_default_action(action);
        let reply = forwarder.post("a").await;
        assert!(reply.status >= 500);
        assert_eq!(reply.executed(), executed);
        if executed == Some("unknown") {
            assert_eq!(endpoint.log().runs_by_request_id.get("a"), Some(&1));
        }
    }
}

// Two daemons each take the other for one that has slots, and neither has any: a request must not
// loop between them.
#[tokio::test]
async fn a_request_is_forwarded_at_most_once() {
    let endpoint = ScriptedEndpoint::start().await;
    let (holder, forwarder) = start_holder_and_forwarder(&endpoint).await;
    let marked = send_request(
        forwarder.address,
        "GET /a",
        "jasminebend-forwarded: 1\r\n",
        "",
    )
    .await;
    assert_eq!((marked.status, marked.reason()), (503, Some("no_endpoint")));
    holder.release_shares(0..16);
    let reply = loop {
        let reply = forwarder.post("a").await;
        if reply.status != 200 {
            break reply;
        }
    };
    assert_eq!((reply.status, reply.executed()), (503, Some("no")));
}

// The other daemon has terminated, and the directory does not show it yet: nothing was sent.
#[tokio::test]
async fn a_request_to_a_terminated_peer_is_reported_not_run() {
    let endpoint = ScriptedEndpoint::start().await;
    let (holder, forwarder) = start_holder_and_forwarder(&endpoint).await;
    holder.serving.abort();
    let reply = loop {
        let reply = forwarder.post("a").await;
        if reply.status != 200 {
            break reply;
        }
    };
    assert_eq!((reply.status, reply.executed()), (503, Some("no")));
}
