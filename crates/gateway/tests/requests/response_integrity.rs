//! Each caller receives the complete response to its own request, or an error that cannot be
//! mistaken for one.

use std::time::Duration;

use crate::support::{
    EndpointAction,
    GatewayBuilder,
    ScriptedEndpoint,
    send_raw, //
    send_request,
    wait_until,
};

const TIMEOUT: Duration = Duration::from_millis(100);

// The response of an endpoint is truncated, too long or invalid. A caller that takes a part for the
// whole relies on a booking that does not exist.
#[tokio::test]
async fn a_broken_response_is_never_delivered_as_complete() {
    let broken = [
        EndpointAction::Close("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc"),
        EndpointAction::Close("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nab"),
        EndpointAction::Close("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n"),
        EndpointAction::Raw(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n",
        ),
        // Ends where its connection ends, which looks the same after a crash.
        EndpointAction::Close("HTTP/1.1 200 OK\r\n\r\nabc"),
        EndpointAction::Raw(
            "HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 5\r\n\r\nabcde",
        ),
        EndpointAction::Raw("HTTP/1.1 200 OK\r\nbad header\r\n\r\n"),
        EndpointAction::Raw(
            "HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n",
        ),
        EndpointAction::Raw("HTTP/9.9 200 OK\r\n\r\n"),
    ];
    for action in broken {
        for version in ["1.1", "1.0"] {
            let endpoint = ScriptedEndpoint::start().await;
            endpoint.set_default_action(action.clone());
            let builder = GatewayBuilder::new().with_endpoint(&endpoint, 4);
            let gateway = builder.start().await;
            let text = format!(
                "POST /a HTTP/{version}\r\nhost: shop\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
            );
            let reply = send_raw(gateway.address, &text).await;
            let error = reply.is_complete && reply.status == 502;
            let aborted = !reply.is_complete;
            assert!(error || aborted, "{action:?} to HTTP/{version}: {reply:?}");
        }
    }
}

// An endpoint stops within its response and keeps the connection open. The caller must not wait
// forever, nor take the part for the complete response.
#[tokio::test]
async fn a_stalled_response_is_aborted() {
    let endpoint = ScriptedEndpoint::start().await;
    endpoint.push_action(EndpointAction::Raw(
        "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc",
    ));
    let builder = GatewayBuilder::new().with_endpoint(&endpoint, 4);
    let gateway = builder
        .with_settings(|settings| settings.with_body_stall_timeout(TIMEOUT))
        .start()
        .await;
    let reply = gateway.post("a").await;
    assert!(!reply.is_complete, "{reply:?}");
}

// A chunked response is truncated, and its caller uses HTTP/1.0, where the end of the connection is
// the end of the response: forwarded as it arrives, the part would look complete.
#[tokio::test]
async fn a_chunked_response_to_an_old_http_caller_is_complete_or_an_error() {
    let endpoint = ScriptedEndpoint::start().await;
    endpoint
        .push_action(EndpointAction::Raw(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        ))
        .push_action(EndpointAction::Close(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
        ));
    let gateway = GatewayBuilder::new()
        .with_endpoint(&endpoint, 4)
        .start()
        .await;
    let text = "POST /a HTTP/1.0\r\ncontent-length: 0\r\n\r\n";
    let reply = send_raw(gateway.address, text).await;
    assert_eq!(
        (reply.body.as_str(), reply.header("content-length")),
        ("abc", Some("3"))
    );
    assert_eq!(send_raw(gateway.address, text).await.status, 502);
}

// An endpoint sends bytes after the end of its response that look like another response. On a
// reused connection they would be taken for the response to the next caller.
#[tokio::test]
async fn bytes_after_a_response_never_reach_the_next_caller() {
    let endpoint = ScriptedEndpoint::start().await;
    let gateway = GatewayBuilder::new()
        .with_endpoint(&endpoint, 1)
        .start()
        .await;
    for _ in 0..50 {
        endpoint.push_action(EndpointAction::Raw(
            "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nevil",
        ));
        assert_eq!(gateway.post("a").await.body, "ok");
        assert_eq!(gateway.get("/mine").await.body, "/mine");
    }
}

// A response arrives after its caller received a 504. By then its connection must not be in use by
// another request.
#[tokio::test]
async fn a_late_response_reaches_no_other_caller() {
    let endpoint = ScriptedEndpoint::start().await;
    endpoint
        .push_action(EndpointAction::Hold)
        .push_action(EndpointAction::Hold);
    let gateway = GatewayBuilder::new()
        .with_endpoint(&endpoint, 4)
        .with_target(TIMEOUT)
        .with_settings(|settings| settings.with_request_timeout(1, TIMEOUT))
        .start()
        .await;
    for id in ["a", "b"] {
        assert_eq!(gateway.post(id).await.status, 504);
    }
    endpoint.release();
    for number in 0..20 {
        let path = format!("/{number}");
        assert_eq!(gateway.get(&path).await.body, path);
    }
}

// Responses arrive in another order than their requests were sent. Each is matched with its request
// by the connection alone, so that concurrent callers receive their own.
#[tokio::test]
async fn responses_out_of_order_reach_their_own_callers() {
    let endpoint = ScriptedEndpoint::start().await;
    for _ in 0..4 {
        endpoint.push_action(EndpointAction::Hold);
    }
    let gateway = GatewayBuilder::new()
        .with_endpoint(&endpoint, 8)
        .start()
        .await;
    let address = gateway.address;
    let pending_replies: Vec<_> = (0..60)
        .map(|number| {
            let line = format!("POST /{number}");
            tokio::spawn(async move { send_request(address, &line, "", "").await })
        })
        .collect();
    wait_until(|| endpoint.request_count() >= 40).await;
    endpoint.release();
    for (number, reply) in pending_replies.into_iter().enumerate() {
        assert_eq!(reply.await.unwrap().body, format!("/{number}"));
    }
}
