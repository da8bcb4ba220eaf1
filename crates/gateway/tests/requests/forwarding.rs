//! How a request and its response are changed when they are forwarded.

use crate::support::{
    EndpointAction,
    GatewayBuilder,
    ScriptedEndpoint,
    send_raw, //
    send_request,
};

#[tokio::test]
async fn a_request_is_answered_by_the_endpoint_of_its_service() {
    let endpoint = ScriptedEndpoint::start().await;
    let gateway = GatewayBuilder::new()
        .with_endpoint(&endpoint, 2)
        .start()
        .await;
    let reply = gateway.get("/slots?day=1").await;
    assert_eq!((reply.status, reply.body.as_str()), (200, "/slots?day=1"));
    assert!(reply.is_complete);
}

#[tokio::test]
async fn hop_by_hop_headers_are_not_forwarded() {
    let endpoint = ScriptedEndpoint::start().await;
    endpoint.push_action(EndpointAction::Raw(
        "HTTP/1.1 200 OK\r\nconnection: keep-alive, x-hop\r\nx-hop: 1\r\nkeep-alive: timeout=5\r\nx-end: 1\r\ncontent-length: 0\r\n\r\n",
    ));
    let gateway = GatewayBuilder::new()
        .with_endpoint(&endpoint, 2)
        .start()
        .await;
    let headers = "connection: x-private, content-length\r\nx-private: 1\r\nte: trailers\r\nproxy-connection: a\r\nx-forwarded-for: 1.2.3.4\r\nx-kept: 1\r\n";
    let reply = send_request(gateway.address, "POST /a", headers, "body").await;
    let head = endpoint.log().request_heads[0].to_ascii_lowercase();
    for gone in ["x-private", "te: ", "proxy-connection", "connection: "] {
        assert!(!head.contains(gone), "{gone} in {head}");
    }
    for kept in [
        "x-kept: 1",
        "content-length: 4",
        "host: shop",
        "via: 1.1 jasminebend",
        "x-forwarded-for: 1.2.3.4, 127.0.0.1",
    ] {
        assert!(head.contains(kept), "{kept} not in {head}");
    }
    assert_eq!(
        (reply.header("x-hop"), reply.header("keep-alive")),
        (None, None)
    );
    assert_eq!(reply.header("x-end"), Some("1"));
}

#[tokio::test]
async fn a_head_request_gets_the_length_and_no_body() {
    let endpoint = ScriptedEndpoint::start().await;
    let gateway = GatewayBuilder::new()
        .with_endpoint(&endpoint, 2)
        .start()
        .await;
    let reply = send_request(gateway.address, "HEAD /long-path", "", "").await;
    assert_eq!(
        (reply.header("content-length"), reply.body.as_str()),
        (Some("10"), "")
    );
    assert_eq!(gateway.get("/b").await.body, "/b");
}

#[tokio::test]
async fn bodies_are_forwarded_complete_in_both_framings() {
    let endpoint = ScriptedEndpoint::start().await;
    endpoint.set_default_action(EndpointAction::Raw(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
    ));
    let gateway = GatewayBuilder::new()
        .with_endpoint(&endpoint, 2)
        .start()
        .await;
    let large = "x".repeat(200_000);
    let reply = send_request(gateway.address, "POST /a", "", &large).await;
    assert_eq!((reply.body.as_str(), reply.is_complete), ("abcde", true));
    assert!(endpoint.log().request_heads[0].ends_with(&large));
    let text =
        "POST /a HTTP/1.1\r\nhost: shop\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    let reply = send_raw(gateway.address, text).await;
    assert_eq!((reply.status, reply.is_complete), (200, true));
}

#[tokio::test]
async fn requests_without_a_route_or_host_are_rejected() {
    let endpoint = ScriptedEndpoint::start().await;
    let gateway = GatewayBuilder::new()
        .with_endpoint(&endpoint, 2)
        .start()
        .await;
    gateway.configuration.send_modify(|configuration| {
        std::sync::Arc::make_mut(configuration).classes.clear();
    });
    loop {
        let reply = gateway.get("/a").await;
        if reply.status == 404 {
            assert_eq!(reply.executed(), Some("no"));
            break;
        }
    }
    let text = "GET /a HTTP/1.1\r\nconnection: close\r\n\r\n";
    assert_eq!(send_raw(gateway.address, text).await.status, 400);
    let text = "CONNECT shop:80 HTTP/1.1\r\nhost: shop:80\r\n\r\n";
    assert_eq!(send_raw(gateway.address, text).await.status, 501);
}
