//! A planned stop aborts no request in progress.

use std::sync::Arc;

use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
};

use crate::support::{
    EndpointAction,
    GatewayBuilder,
    ScriptedEndpoint,
    open_and_send, //
    wait_until,
};

// The daemon is asked to stop while requests wait and run. Each receives its complete response, new
// connections are refused, and the server ends only after the last response.
#[tokio::test]
async fn a_drain_answers_every_request_in_progress() {
    let endpoint = ScriptedEndpoint::start().await;
    endpoint.set_default_action(EndpointAction::Hold);
    let builder = GatewayBuilder::new().with_endpoint(&endpoint, 4);
    let gateway = builder.start().await;
    let idle = open_and_send(gateway.address, "").await;
    let pending_replies: Vec<_> = (0..20)
        .map(|id| gateway.spawn_post(&id.to_string()))
        .collect();
    wait_until(|| endpoint.log().running_requests == 4).await;
    let draining = Arc::clone(&gateway.gateway);
    let drain = tokio::spawn(async move { draining.drain().await });
    while TcpStream::connect(gateway.address).await.is_ok() {}
    assert!(!drain.is_finished() && !gateway.serving.is_finished());
    endpoint.release();
    let mut answered = 0;
    for reply in pending_replies {
        let reply = reply.await;
        // A connection that the kernel accepted and the daemon did not is for the balancer to
        // retry.
        if let Ok(reply) = reply
            && reply.status != 0
        {
            assert!(reply.status == 200 && reply.is_complete, "{reply:?}");
            answered += 1;
        }
    }
    assert!(answered >= 4);
    drain.await.unwrap();
    gateway.serving.await.unwrap();
    drop(idle);
}

// A caller has a request in progress on a persistent connection while the daemon drains: the
// response announces that the connection closes, so that the caller sends its next request
// elsewhere.
#[tokio::test]
async fn a_persistent_connection_closes_after_its_request() {
    let endpoint = ScriptedEndpoint::start().await;
    endpoint.set_default_action(EndpointAction::Hold);
    let builder = GatewayBuilder::new().with_endpoint(&endpoint, 4);
    let gateway = builder.start().await;
    let mut caller = open_and_send(gateway.address, "").await;
    let text = b"GET /a HTTP/1.1\r\nhost: shop\r\n\r\n";
    caller.write_all(text).await.unwrap();
    wait_until(|| endpoint.request_count() == 1).await;
    let draining = Arc::clone(&gateway.gateway);
    let drain = tokio::spawn(async move { draining.drain().await });
    while TcpStream::connect(gateway.address).await.is_ok() {}
    endpoint.release();
    let mut got = String::new();
    caller.read_to_string(&mut got).await.unwrap();
    assert!(
        got.starts_with("HTTP/1.1 200") && got.ends_with("/a"),
        "{got}"
    );
    assert!(got.to_ascii_lowercase().contains("connection: close"));
    drain.await.unwrap();
}
