//! Memory and slots are limited, whatever callers do.

use std::time::Duration;

use tokio::io::{
    AsyncReadExt,
    AsyncWriteExt, //
};

use crate::support::{
    EndpointAction,
    GatewayBuilder,
    ScriptedEndpoint,
    open_and_send,
    send_raw,
    send_request,
    wait_until,
    wait_until_answered, //
};

const TIMEOUT: Duration = Duration::from_millis(200);

// Callers open ever more connections, each with a request in progress. Those beyond the limit are refused at once; what they
// would have sent may be the retry of a request that was run.
#[tokio::test]
async fn callers_beyond_the_limit_are_rejected() {
    let endpoint = ScriptedEndpoint::start().await;
    let builder = GatewayBuilder::new().with_endpoint(&endpoint, 4);
    let gateway = builder
        .with_settings(|settings| settings.with_caller_and_queue_limits(3, 10))
        .start()
        .await;
    let mut held_streams = Vec::new();
    for _ in 0..3 {
        endpoint.push_action(EndpointAction::Hold);
        held_streams
            .push(open_and_send(gateway.address, "GET /a HTTP/1.1\r\nhost: shop\r\n\r\n").await);
    }
    wait_until(|| endpoint.request_count() == 3).await;
    let refused = send_raw(gateway.address, "").await;
    assert_eq!((refused.status, refused.executed()), (504, Some("unknown")));
    assert_eq!(refused.reason(), Some("too_many_callers"));
    assert!(refused.header("retry-after").is_some());
    endpoint.release();
    for stream in &mut held_streams {
        let mut start = [0; 12];
        stream.read_exact(&mut start).await.unwrap();
        assert_eq!(&start, b"HTTP/1.1 200");
    }
    drop(held_streams);
    wait_until_answered(async || gateway.get("/b").await).await;
}

// Callers hold all places with connections that are idle. The one that has been idle the longest closes for a new one.
#[tokio::test]
async fn idle_callers_do_not_lock_others_out() {
    let endpoint = ScriptedEndpoint::start().await;
    let builder = GatewayBuilder::new().with_endpoint(&endpoint, 4);
    let gateway = builder
        .with_settings(|settings| settings.with_caller_and_queue_limits(3, 10))
        .start()
        .await;
    let mut idle_streams = Vec::new();
    for _ in 0..3 {
        let mut stream =
            open_and_send(gateway.address, "GET /a HTTP/1.1\r\nhost: shop\r\n\r\n").await;
        stream.read_exact(&mut [0; 8]).await.unwrap();
        idle_streams.push(stream);
    }
    assert_eq!(gateway.get("/b").await.status, 200);
    let mut oldest = Vec::new();
    idle_streams[0].read_to_end(&mut oldest).await.ok();
    assert_eq!(gateway.get("/c").await.status, 200);
    drop(idle_streams);
}

// A caller sends its head byte by byte, or never completes its body. Neither occupies a slot.
#[tokio::test]
async fn slow_callers_hold_no_slot_and_are_disconnected() {
    let endpoint = ScriptedEndpoint::start().await;
    let builder = GatewayBuilder::new().with_endpoint(&endpoint, 1);
    let gateway = builder
        .with_settings(|settings| {
            settings
                .with_caller_timeouts(Duration::from_secs(3600), TIMEOUT)
                .with_body_stall_timeout(TIMEOUT)
        })
        .start()
        .await;
    let slow_head = open_and_send(gateway.address, "POST /a HTTP/1.1\r\nho").await;
    let head = "POST /a HTTP/1.1\r\nhost: shop\r\ncontent-length: 9\r\n\r\nab";
    let slow_body = open_and_send(gateway.address, head).await;
    assert_eq!(gateway.post("b").await.status, 200);
    for mut stream in [slow_head, slow_body] {
        let mut got = String::new();
        stream.read_to_string(&mut got).await.ok();
        assert!(got.is_empty() || got.starts_with("HTTP/1.1 408"), "{got}");
    }
    assert_eq!(endpoint.request_count(), 1);
}

// Requests in progress hold all of the memory for bodies. Further requests are refused, those without a body are not.
#[tokio::test]
async fn the_bodies_buffered_in_memory_are_limited() {
    let endpoint = ScriptedEndpoint::start().await;
    let builder = GatewayBuilder::new().with_endpoint(&endpoint, 2);
    let gateway = builder
        .with_settings(|settings| settings.with_max_buffered_bytes(1000))
        .start()
        .await;
    let body = "x".repeat(900);
    let request = format!("POST /a HTTP/1.1\r\nhost: shop\r\ncontent-length: 900\r\n\r\n{body}");
    endpoint.push_action(EndpointAction::Hold);
    let mut held_stream = open_and_send(gateway.address, &request).await;
    wait_until(|| endpoint.request_count() == 1).await;
    let refused = send_request(gateway.address, "POST /b", "", &body).await;
    assert_eq!(
        (refused.status, refused.reason()),
        (503, Some("memory_full"))
    );
    assert_eq!(refused.executed(), Some("no"));
    assert_eq!(gateway.get("/c").await.status, 200);
    endpoint.release();
    held_stream.read_exact(&mut [0; 8]).await.unwrap();
    wait_until_answered(async || send_request(gateway.address, "POST /b", "", &body).await).await;
}

// Requests in progress hold all of the memory for bodies. The retry of a booking that was run finds none, and was told that it
// was not run.
#[tokio::test]
async fn a_retry_without_memory_is_not_reported_as_not_run() {
    let endpoint = ScriptedEndpoint::start().await;
    let builder = GatewayBuilder::new().with_endpoint(&endpoint, 2);
    let gateway = builder
        .with_settings(|settings| settings.with_max_buffered_bytes(1000))
        .start()
        .await;
    let body = "x".repeat(900);
    let key = "idempotency-key: k1\r\n";
    let first = send_request(gateway.address, "POST /bookings", key, &body).await;
    assert_eq!(first.status, 200);
    endpoint.push_action(EndpointAction::Hold);
    let request = format!("POST /a HTTP/1.1\r\nhost: shop\r\ncontent-length: 900\r\n\r\n{body}");
    let held_stream = open_and_send(gateway.address, &request).await;
    wait_until(|| endpoint.request_count() == 2).await;
    let retried = send_request(gateway.address, "POST /bookings", key, &body).await;
    assert_eq!((retried.status, retried.executed()), (504, Some("unknown")));
    assert_eq!(retried.reason(), Some("memory_full"));
    endpoint.release();
    drop(held_stream);
}

// Many callers begin a body and do not complete it, so that they hold all of the memory for bodies. The oldest of them is
// disconnected for a caller that completes its request.
#[tokio::test]
async fn incomplete_bodies_make_room_for_complete_ones() {
    let endpoint = ScriptedEndpoint::start().await;
    let builder = GatewayBuilder::new().with_endpoint(&endpoint, 1);
    let gateway = builder
        .with_settings(|settings| settings.with_max_buffered_bytes(4000))
        .start()
        .await;
    let begun = "x".repeat(1800);
    let request = format!("POST /a HTTP/1.1\r\nhost: shop\r\ncontent-length: 1900\r\n\r\n{begun}");
    let mut incomplete = Vec::new();
    for _ in 0..3 {
        incomplete.push(open_and_send(gateway.address, &request).await);
    }
    let mut closed = Vec::new();
    incomplete[0].read_to_end(&mut closed).await.ok();
    let body = "x".repeat(1900);
    let reply = send_request(gateway.address, "POST /b", "", &body).await;
    assert_eq!(reply.status, 200);
    assert_eq!(endpoint.request_count(), 1);
    drop(incomplete);
}

// Callers begin bodies without a length and do not complete them. The bodies took every slot, so that no one else was answered.
#[tokio::test]
async fn incomplete_bodies_without_a_length_hold_no_slot() {
    let endpoint = ScriptedEndpoint::start().await;
    let builder = GatewayBuilder::new().with_endpoint(&endpoint, 2);
    let gateway = builder.start().await;
    let request =
        "POST /a HTTP/1.1\r\nhost: shop\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n";
    let mut incomplete = Vec::new();
    for _ in 0..4 {
        incomplete.push(open_and_send(gateway.address, request).await);
    }
    for number in 0..8 {
        let reply = gateway.get(&format!("/{number}")).await;
        assert_eq!(reply.status, 200);
    }
    let mut completed = incomplete.swap_remove(0);
    completed.write_all(b"0\r\n\r\n").await.unwrap();
    let mut answer = String::new();
    completed.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

// Callers begin large bodies and do not complete them. The bodies took every slot, and kept it until the longest request was
// over, so that no one else was answered.
#[tokio::test]
async fn large_incomplete_bodies_leave_half_of_the_slots() {
    let endpoint = ScriptedEndpoint::start().await;
    let builder = GatewayBuilder::new().with_endpoint(&endpoint, 4);
    let gateway = builder.start().await;
    let (body, rest) = (" ".repeat(90_000), " ".repeat(10_000));
    let known = format!("POST /a HTTP/1.1\r\nhost: shop\r\ncontent-length: 100000\r\n\r\n{body}");
    let chunked = format!(
        "POST /a HTTP/1.1\r\nhost: shop\r\ntransfer-encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n",
        body.len()
    );
    let mut incomplete = Vec::new();
    for request in [&known, &chunked, &known, &chunked, &known, &chunked] {
        incomplete.push(open_and_send(gateway.address, request).await);
        assert_eq!(gateway.get("/b").await.status, 200);
    }
    let mut completed = incomplete.swap_remove(0);
    completed.write_all(rest.as_bytes()).await.unwrap();
    let mut status = [0; 12];
    completed.read_exact(&mut status).await.unwrap();
    assert_eq!(&status, b"HTTP/1.1 200");
    for stream in incomplete {
        drop(stream);
        assert_eq!(gateway.get("/c").await.status, 200);
    }
    assert_eq!(gateway.get("/d").await.status, 200);
}

// Incomplete bodies hold all slots that they may take. A further one is refused as not run when its target has passed.
#[tokio::test]
async fn large_incomplete_bodies_beyond_the_limit_are_refused() {
    let endpoint = ScriptedEndpoint::start().await;
    let builder = GatewayBuilder::new().with_endpoint(&endpoint, 4);
    let gateway = builder
        .with_target(TIMEOUT)
        .with_settings(|settings| settings.with_incomplete_slots_percent(25))
        .start()
        .await;
    let begun = " ".repeat(90_000);
    let request =
        format!("POST /a HTTP/1.1\r\nhost: shop\r\ncontent-length: 100000\r\n\r\n{begun}");
    let held_stream = open_and_send(gateway.address, &request).await;
    wait_until(|| endpoint.log().open_connections == 1).await;
    let refused = send_raw(gateway.address, &request).await;
    assert_eq!(
        (refused.status, refused.reason()),
        (503, Some("too_many_incomplete"))
    );
    assert_eq!(refused.executed(), Some("no"));
    assert_eq!(gateway.get("/b").await.status, 200);
    drop(held_stream);
}

// Large bodies that are complete take as many slots as other requests do, and their connections are not closed for others. Those
// without a length counted as incomplete until they were answered.
#[tokio::test]
async fn large_complete_bodies_take_every_slot() {
    let endpoint = ScriptedEndpoint::start().await;
    endpoint.set_default_action(EndpointAction::Hold);
    let builder = GatewayBuilder::new().with_endpoint(&endpoint, 4);
    let gateway = builder
        .with_settings(|settings| settings.with_caller_and_queue_limits(4, 10))
        .start()
        .await;
    let body = " ".repeat(100_000);
    let known = format!("POST /a HTTP/1.1\r\nhost: shop\r\ncontent-length: 100000\r\n\r\n{body}");
    let chunked = format!(
        "POST /a HTTP/1.1\r\nhost: shop\r\ntransfer-encoding: chunked\r\n\r\n186a0\r\n{body}\r\n0\r\n\r\n"
    );
    let mut held_streams = Vec::new();
    for request in [&known, &chunked, &known, &chunked] {
        held_streams.push(open_and_send(gateway.address, request).await);
    }
    wait_until(|| endpoint.request_count() == 4).await;
    let refused = send_raw(gateway.address, "").await;
    assert_eq!(refused.reason(), Some("too_many_callers"));
    endpoint.release();
    for stream in &mut held_streams {
        let mut status = [0; 12];
        stream.read_exact(&mut status).await.unwrap();
        assert_eq!(&status, b"HTTP/1.1 200");
    }
}

// Callers hold all places with large bodies that they do not complete. They counted as requests in progress, so that further
// callers were refused.
#[tokio::test]
async fn large_incomplete_bodies_do_not_lock_others_out() {
    let endpoint = ScriptedEndpoint::start().await;
    let builder = GatewayBuilder::new().with_endpoint(&endpoint, 8);
    let gateway = builder
        .with_settings(|settings| settings.with_caller_and_queue_limits(3, 10))
        .start()
        .await;
    let begun = " ".repeat(90_000);
    let request =
        format!("POST /a HTTP/1.1\r\nhost: shop\r\ncontent-length: 100000\r\n\r\n{begun}");
    let mut incomplete = Vec::new();
    for _ in 0..3 {
        incomplete.push(open_and_send(gateway.address, &request).await);
    }
    wait_until(|| endpoint.log().open_connections == 3).await;
    let reply = gateway.get("/b").await;
    assert_eq!((reply.status, reply.reason()), (200, None));
}

// A caller reads nothing of a large response. It is disconnected, and the response is not buffered
// in memory meanwhile: the endpoint is slowed down by backpressure.
#[tokio::test]
async fn a_caller_that_reads_nothing_is_disconnected() {
    let endpoint = ScriptedEndpoint::start().await;
    let large = "x".repeat(64 << 20);
    let text = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{large}",
        large.len()
    );
    endpoint.push_action(EndpointAction::Raw(text.leak()));
    let builder = GatewayBuilder::new().with_endpoint(&endpoint, 1);
    let gateway = builder
        .with_settings(|settings| settings.with_body_stall_timeout(TIMEOUT))
        .start()
        .await;
    let mut caller = open_and_send(gateway.address, "GET /a HTTP/1.1\r\nhost: shop\r\n\r\n").await;
    tokio::time::sleep(4 * TIMEOUT).await;
    let mut got = Vec::new();
    caller.read_to_end(&mut got).await.ok();
    assert!(got.len() < large.len() / 2, "{} bytes", got.len());
}

// Bodies and heads that are larger than allowed are refused, with or without a declared length.
#[tokio::test]
async fn oversized_heads_and_bodies_are_rejected() {
    let endpoint = ScriptedEndpoint::start().await;
    let builder = GatewayBuilder::new().with_endpoint(&endpoint, 8);
    let gateway = builder
        .with_settings(|settings| settings.with_size_limits(8 * 1024, 1000, 100))
        .start()
        .await;
    let reply = send_request(gateway.address, "POST /a", "", &"x".repeat(1001)).await;
    assert_eq!((reply.status, reply.executed()), (413, Some("no")));
    let chunked = format!(
        "POST /a HTTP/1.1\r\nhost: shop\r\ntransfer-encoding: chunked\r\n\r\n7d0\r\n{}\r\n0\r\n\r\n",
        "x".repeat(2000)
    );
    let reply = send_raw(gateway.address, &chunked).await;
    assert_eq!((reply.status, reply.executed()), (413, Some("unknown")));
    let header = format!("x: {}\r\n", "y".repeat(20 * 1024));
    let reply = send_request(gateway.address, "GET /a", &header, "").await;
    assert_eq!((reply.status, reply.executed()), (431, Some("no")));
    assert_eq!(reply.reason(), Some("head_too_large"));
    let whole = send_request(gateway.address, "POST /a", "", &"x".repeat(1000)).await;
    assert_eq!(whole.status, 200);
}

// A caller that sends `Expect: 100-continue` is asked to continue only if its body is accepted.
#[tokio::test]
async fn continue_is_sent_only_if_the_body_is_accepted() {
    let endpoint = ScriptedEndpoint::start().await;
    let gateway = GatewayBuilder::new()
        .with_endpoint(&endpoint, 8)
        .start()
        .await;
    let head =
        "host: shop\r\nexpect: 100-continue\r\ncontent-length: 2\r\nconnection: close\r\n\r\n";
    let mut caller = open_and_send(gateway.address, &format!("POST /a HTTP/1.1\r\n{head}")).await;
    let mut interim_response = [0; 12];
    caller.read_exact(&mut interim_response).await.unwrap();
    assert_eq!(&interim_response, b"HTTP/1.1 100");
    caller.write_all(b"ok").await.unwrap();
    let mut got = String::new();
    caller.read_to_string(&mut got).await.unwrap();
    assert!(got.contains("HTTP/1.1 200"), "{got}");
    let refused = send_raw(gateway.address, &format!("POST /../a HTTP/1.1\r\n{head}")).await;
    assert_eq!(refused.status, 400);
    assert!(!endpoint.log().request_heads[0].contains("expect"));
}
