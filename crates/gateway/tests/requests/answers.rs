//! The right caller gets the right whole answer, or an error that cannot be taken for one.

use std::time::Duration;

use crate::support::{
    Act,
    GatewayBuilder,
    ScriptEndpoint,
    ask,
    eventually,
    exchange, //
};

const SHORT: Duration = Duration::from_millis(100);

// An endpoint's answer is cut, too long, or no answer. A caller that takes a part for the whole
// believes in a booking that is not there.
#[tokio::test]
async fn a_broken_answer_is_never_taken_for_a_whole_one() {
    let broken = [
        Act::Close("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc"),
        Act::Close("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nab"),
        Act::Close("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n"),
        Act::Raw("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n"),
        // Ends where its connection ends, which a crash looks like as well.
        Act::Close("HTTP/1.1 200 OK\r\n\r\nabc"),
        Act::Raw("HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 5\r\n\r\nabcde"),
        Act::Raw("HTTP/1.1 200 OK\r\nbad header\r\n\r\n"),
        Act::Raw("HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n"),
        Act::Raw("HTTP/9.9 200 OK\r\n\r\n"),
    ];
    for act in broken {
        for version in ["1.1", "1.0"] {
            let endpoint = ScriptEndpoint::start().await;
            endpoint.always(act.clone());
            let builder = GatewayBuilder::new().with_endpoint(&endpoint, 4);
            let gateway = builder.start().await;
            let text = format!(
                "POST /a HTTP/{version}\r\nhost: shop\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
            );
            let reply = exchange(gateway.address, &text).await;
            let error = reply.whole && reply.status == 502;
            let aborted = !reply.whole;
            assert!(error || aborted, "{act:?} to HTTP/{version}: {reply:?}");
        }
    }
}

// An endpoint stops in the middle of its answer and keeps the connection. The caller must not wait
// for ever, nor take what it has for the whole.
#[tokio::test]
async fn an_answer_that_stands_still_is_cut() {
    let endpoint = ScriptEndpoint::start().await;
    endpoint.once(Act::Raw("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc"));
    let builder = GatewayBuilder::new().with_endpoint(&endpoint, 4);
    let gateway = builder
        .with_settings(|settings| settings.with_body_stall_timeout(SHORT))
        .start()
        .await;
    let reply = gateway.post("a").await;
    assert!(!reply.whole, "{reply:?}");
}

// A chunked answer is cut, and its caller speaks HTTP/1.0, to whom the end of the connection is the
// end of the answer: passed on as it comes, the part would look whole.
#[tokio::test]
async fn a_chunked_answer_reaches_an_ancient_caller_whole_or_not_at_all() {
    let endpoint = ScriptEndpoint::start().await;
    endpoint
        .once(Act::Raw(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        ))
        .once(Act::Close(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
        ));
    let gateway = GatewayBuilder::new()
        .with_endpoint(&endpoint, 4)
        .start()
        .await;
    let text = "POST /a HTTP/1.0\r\ncontent-length: 0\r\n\r\n";
    let reply = exchange(gateway.address, text).await;
    assert_eq!(
        (reply.body.as_str(), reply.header("content-length")),
        ("abc", Some("3"))
    );
    assert_eq!(exchange(gateway.address, text).await.status, 502);
}

// An endpoint sends bytes after its answer's end that look like another answer. On a connection
// that is used again they would be taken for the next caller's.
#[tokio::test]
async fn bytes_after_an_answer_never_reach_the_next_caller() {
    let endpoint = ScriptEndpoint::start().await;
    let gateway = GatewayBuilder::new()
        .with_endpoint(&endpoint, 1)
        .start()
        .await;
    for _ in 0..50 {
        endpoint.once(Act::Raw(
            "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nevil",
        ));
        assert_eq!(gateway.post("a").await.body, "ok");
        assert_eq!(gateway.get("/mine").await.body, "/mine");
    }
}

// An answer comes after its caller was told "504". The connection that it comes on must not be
// another request's by then.
#[tokio::test]
async fn a_late_answer_reaches_nobody() {
    let endpoint = ScriptEndpoint::start().await;
    endpoint.once(Act::Hold).once(Act::Hold);
    let gateway = GatewayBuilder::new()
        .with_endpoint(&endpoint, 4)
        .with_target(SHORT)
        .with_settings(|settings| settings.with_request_timeout(1, SHORT))
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

// Answers overtake each other across connections. Each is paired with its request by the connection
// alone, so that many callers at once each get their own.
#[tokio::test]
async fn answers_out_of_order_reach_their_own_callers() {
    let endpoint = ScriptEndpoint::start().await;
    for _ in 0..4 {
        endpoint.once(Act::Hold);
    }
    let gateway = GatewayBuilder::new()
        .with_endpoint(&endpoint, 8)
        .start()
        .await;
    let address = gateway.address;
    let asked: Vec<_> = (0..60)
        .map(|number| {
            let line = format!("POST /{number}");
            tokio::spawn(async move { ask(address, &line, "", "").await })
        })
        .collect();
    eventually(|| endpoint.seen() >= 40).await;
    endpoint.release();
    for (number, reply) in asked.into_iter().enumerate() {
        assert_eq!(reply.await.unwrap().body, format!("/{number}"));
    }
}
