//! Requests whose end two parsers could find in different places are rejected.

use tokio::io::{
    AsyncReadExt,
    AsyncWriteExt, //
};

use crate::support::{
    GatewayBuilder,
    ScriptedEndpoint,
    open_and_send, //
    send_raw,
};

const HIDDEN_REQUEST: &str = "GET /hidden HTTP/1.1\r\nhost: shop\r\n\r\n";

// Each of these heads has two interpretations. If the balancer uses one and the gateway the other,
// the rest of the body counts as a request that nothing has checked, and its response reaches
// another caller.
#[tokio::test]
async fn ambiguous_heads_are_rejected_and_close_the_connection() {
    let ambiguous_heads = [
        "content-length: 4\r\ntransfer-encoding: chunked\r\n",
        "transfer-encoding: chunked\r\ncontent-length: 4\r\n",
        "content-length: 4\r\ncontent-length: 5\r\n",
        "content-length: 4\r\ncontent-length: 4\r\n",
        "content-length: 4, 4\r\n",
        "content-length: +4\r\n",
        "content-length: -1\r\n",
        "content-length: 4x\r\n",
        "transfer-encoding: gzip, chunked\r\n",
        "transfer-encoding: chunked, chunked\r\n",
        "transfer-encoding: chunked\r\ntransfer-encoding: identity\r\n",
        "transfer-encoding: xchunked\r\n",
        "transfer-encoding : chunked\r\n",
        "transfer-encoding:\x0bchunked\r\n",
        "x: a\r\n folded\r\ncontent-length: 0\r\n",
        "x\r\n y: a\r\n",
        "host: other\r\n",
        "bad name: a\r\n",
        "x: a\0b\r\n",
        "connection: upgrade\r\nupgrade: h2c\r\n",
    ];
    for head in ambiguous_heads {
        let endpoint = ScriptedEndpoint::start().await;
        let gateway = GatewayBuilder::new()
            .with_endpoint(&endpoint, 4)
            .start()
            .await;
        let text = format!("POST /a HTTP/1.1\r\nhost: shop\r\n{head}\r\n0\r\n\r\n{HIDDEN_REQUEST}");
        let reply = send_raw(gateway.address, &text).await;
        assert!(matches!(reply.status, 400 | 501), "{head:?}: {reply:?}");
        assert_eq!(reply.executed(), Some("no"), "{head:?}: {reply:?}");
        assert_eq!(endpoint.request_count(), 0, "{head:?}");
    }
}

// The second request on a connection has an ambiguous length and directly follows the bytes of the
// first: the head scanner must find it at any read boundary.
#[tokio::test]
async fn a_later_head_with_an_ambiguous_length_is_rejected() {
    let endpoint = ScriptedEndpoint::start().await;
    let gateway = GatewayBuilder::new()
        .with_endpoint(&endpoint, 4)
        .start()
        .await;
    let first = "POST /a HTTP/1.1\r\nhost: shop\r\ncontent-length: 3\r\n\r\nabc";
    let second = "POST /b HTTP/1.1\r\nhost: shop\r\ntransfer-encoding: chunked\r\ncontent-length: 3\r\n\r\n0\r\n\r\n";
    send_raw(gateway.address, &format!("{first}{second}{HIDDEN_REQUEST}")).await;
    assert!(
        endpoint
            .log()
            .request_heads
            .iter()
            .all(|head| head.contains(" /a "))
    );
}

// The head with an ambiguous length arrives in two parts, split at any byte: the head scanner must
// see it complete.
#[tokio::test]
async fn an_ambiguous_length_is_detected_at_every_read_boundary() {
    let endpoint = ScriptedEndpoint::start().await;
    let gateway = GatewayBuilder::new()
        .with_endpoint(&endpoint, 4)
        .start()
        .await;
    let text = "POST /a HTTP/1.1\r\nhost: shop\r\ntransfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n0\r\n\r\n";
    for cut in 1..text.len() {
        let (first, second) = text.split_at(cut);
        let mut stream = open_and_send(gateway.address, first).await;
        stream.set_nodelay(true).unwrap();
        tokio::task::yield_now().await;
        stream.write_all(second.as_bytes()).await.unwrap();
        let mut got = String::new();
        stream.read_to_string(&mut got).await.ok();
        assert!(got.starts_with("HTTP/1.1 400"), "cut at {cut}: {got}");
    }
    assert_eq!(endpoint.request_count(), 0);
}

// The sizes of a chunked body are invalid. A lenient parser would find the end of the body
// elsewhere.
#[tokio::test]
async fn invalid_chunk_sizes_are_rejected() {
    for size in ["zz", "-1", "0x3", "ffffffffffffffffff", "3 3", ""] {
        let endpoint = ScriptedEndpoint::start().await;
        let gateway = GatewayBuilder::new()
            .with_endpoint(&endpoint, 4)
            .start()
            .await;
        let text = format!(
            "POST /a HTTP/1.1\r\nhost: shop\r\ntransfer-encoding: chunked\r\n\r\n{size}\r\nabc\r\n0\r\n\r\n{HIDDEN_REQUEST}"
        );
        let reply = send_raw(gateway.address, &text).await;
        assert!(
            reply.status >= 400 || !reply.is_complete,
            "{size:?}: {reply:?}"
        );
        let is_hidden_request = |head: &String| head.contains(" /hidden ");
        assert!(
            !endpoint.log().request_heads.iter().any(is_hidden_request),
            "{size:?}"
        );
    }
}

// A path leads out of the route of its class into another one, whose requests may be sent twice.
#[tokio::test]
async fn dot_segments_are_rejected() {
    for path in [
        "/a/../b",
        "/a/%2e%2E/b",
        "/./b",
        "/a/..",
        "/a/..%2Fb",
        "/a%5C..%5Cb",
    ] {
        let endpoint = ScriptedEndpoint::start().await;
        let gateway = GatewayBuilder::new()
            .with_endpoint(&endpoint, 4)
            .start()
            .await;
        assert_eq!(gateway.get(path).await.status, 400, "{path}");
        assert_eq!(gateway.get("/a..b/.well-known/x").await.status, 200);
    }
}

// A caller sent a booking with a malformed head and received a plain 400, which did not state that
// the booking was not run, so that its operators searched for a booking that never existed. The
// same head after a valid request must not be answered before that request.
#[tokio::test]
async fn a_malformed_head_is_reported_not_run_and_never_before_an_earlier_response() {
    let endpoint = ScriptedEndpoint::start().await;
    let gateway = GatewayBuilder::new()
        .with_endpoint(&endpoint, 4)
        .start()
        .await;
    let broken = "POST /b HTTP/1.1\r\nbad name: a\r\n\r\n";
    let reply = send_raw(gateway.address, broken).await;
    assert_eq!((reply.status, reply.executed()), (400, Some("no")));
    assert_eq!(
        (reply.reason(), endpoint.request_count()),
        (Some("malformed"), 0)
    );
    let first = "POST /a HTTP/1.1\r\nhost: shop\r\ncontent-length: 3\r\n\r\nabc";
    let reply = send_raw(gateway.address, &format!("{first}{broken}")).await;
    assert_eq!((reply.status, endpoint.request_count()), (200, 1));
}
