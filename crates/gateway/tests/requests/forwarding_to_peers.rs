//! A daemon without a slot of a service hands its requests to one that has some.

use jasminebend_standins::TableStandIn;

use crate::support::{
    Act,
    GatewayBuilder,
    ScriptEndpoint,
    TestGateway,
    ask,
    until_answered, //
};

/// A daemon that holds all shares, and one that holds none and knows of it.
async fn rich_and_poor(endpoint: &ScriptEndpoint) -> (TestGateway, TestGateway) {
    let table = TableStandIn::new();
    let build = || {
        GatewayBuilder::new()
            .with_endpoint(endpoint, 4)
            .with_table(&table)
    };
    let rich = build().with_peer_address().start().await;
    let poor = build().with_shares(0..0).with_peer_address().start().await;
    until_answered(async || poor.get("/warm").await).await;
    (rich, poor)
}

// A service has a single endpoint, and seven daemons divide its slots: some have none. The balancer
// knows nothing of that, and a caller that lands there would be refused for no reason of its own.
#[tokio::test]
async fn a_daemon_without_slots_has_another_one_answer() {
    let endpoint = ScriptEndpoint::start().await;
    let (_rich, poor) = rich_and_poor(&endpoint).await;
    let reply = poor.post_keyed("a", "k1").await;
    assert_eq!((reply.status, reply.body.as_str()), (200, "/bookings"));
    let headers = "idempotency-key: k1\r\n";
    let other = ask(poor.address, "POST /bookings", headers, "violin").await;
    assert_eq!((other.status, other.executed()), (422, Some("no")));
    let heads = &endpoint.ledger().heads;
    assert!(
        heads
            .iter()
            .all(|head| !head.contains("jasminebend-forwarded"))
    );
}

// A booking that was handed on may have run whatever became of it: it is not handed on again, and
// what the other daemon says of it is passed on.
#[tokio::test]
async fn a_booking_handed_on_runs_at_most_once() {
    for (act, executed) in [
        (Act::Close(""), Some("unknown")),
        (
            Act::Raw("HTTP/1.1 503 Full\r\njasminebend-executed: no\r\ncontent-length: 0\r\n\r\n"),
            Some("no"),
        ),
    ] {
        let endpoint = ScriptEndpoint::start().await;
        let (_rich, poor) = rich_and_poor(&endpoint).await;
        endpoint.always(act);
        let reply = poor.post("a").await;
        assert!(reply.status >= 500);
        assert_eq!(reply.executed(), executed);
        if executed == Some("unknown") {
            assert_eq!(endpoint.ledger().runs.get("a"), Some(&1));
        }
    }
}

// Two daemons believe of each other that they have slots, and neither has: a request must not go
// to and fro between them.
#[tokio::test]
async fn a_request_is_handed_on_once_at_most() {
    let endpoint = ScriptEndpoint::start().await;
    let (rich, poor) = rich_and_poor(&endpoint).await;
    let marked = ask(poor.address, "GET /a", "jasminebend-forwarded: 1\r\n", "").await;
    assert_eq!((marked.status, marked.reason()), (503, Some("no_endpoint")));
    rich.lose(0..16);
    let reply = loop {
        let reply = poor.post("a").await;
        if reply.status != 200 {
            break reply;
        }
    };
    assert_eq!((reply.status, reply.executed()), (503, Some("no")));
}

// The other daemon is gone, and the directory does not know yet: not one byte was written.
#[tokio::test]
async fn a_peer_that_is_gone_is_said_not_to_have_run_the_request() {
    let endpoint = ScriptEndpoint::start().await;
    let (rich, poor) = rich_and_poor(&endpoint).await;
    rich.serving.abort();
    let reply = loop {
        let reply = poor.post("a").await;
        if reply.status != 200 {
            break reply;
        }
    };
    assert_eq!((reply.status, reply.executed()), (503, Some("no")));
}
