//! "Not run" is only ever said of what truly did not run.

use std::time::Duration;

use jasminebend_base::IdempotencyRule;
use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};

use crate::support::{
    Act,
    GatewayBuilder,
    ScriptEndpoint,
    eventually, //
};

const SHORT: Duration = Duration::from_millis(60);
const NOT_RUN: &str = "HTTP/1.1 503 Full\r\njasminebend-executed: no\r\ncontent-length: 0\r\n\r\n";

fn draw(source: &mut SmallRng) -> Act {
    match source.random_range(0..9) {
        0 => Act::Close(""),
        1 => Act::Close("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nab"),
        2 => Act::Silent,
        3 => Act::Raw("HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n"),
        4 => Act::Raw("nonsense\r\n\r\n"),
        5 => Act::Raw("HTTP/1.1 200 OK\r\n\r\n"),
        _ => Act::Answer,
    }
}

// Endpoints fail at random while bookings and queries come. A caller that reads "not run" books
// again: if the first one ran after all, there are two.
#[tokio::test]
async fn a_request_said_not_to_have_run_never_reached_an_endpoint() {
    for seed in 0..6 {
        let mut source = SmallRng::seed_from_u64(seed);
        let rule = match seed % 2 {
            0 => IdempotencyRule::Never,
            _ => IdempotencyRule::Always,
        };
        let endpoints = [ScriptEndpoint::start().await, ScriptEndpoint::start().await];
        let gateway = GatewayBuilder::new()
            .with_endpoint(&endpoints[0], 4)
            .with_endpoint(&endpoints[1], 4)
            .with_rule(rule)
            .with_target(SHORT)
            .with_settings(|settings| {
                settings
                    .with_request_timeout(1, SHORT)
                    .with_longest_request(3 * SHORT)
                    .with_backoffs(SHORT, SHORT)
            })
            .start()
            .await;
        for id in 0..40 {
            for endpoint in &endpoints {
                endpoint.always(draw(&mut source));
            }
            let id = id.to_string();
            let reply = gateway.post(&id).await;
            let runs = endpoints
                .iter()
                .map(|endpoint| endpoint.ledger().runs.get(&id).copied().unwrap_or(0));
            let runs: u32 = runs.sum();
            if reply.executed() == Some("no") {
                assert_eq!(runs, 0, "seed {seed}, request {id}: {reply:?}");
            }
            if rule == IdempotencyRule::Never {
                assert!(runs <= 1, "seed {seed}, request {id}");
            }
            if reply.status == 200 && reply.whole {
                assert_eq!(reply.body, "/bookings", "seed {seed}, request {id}");
            }
        }
    }
}

// A query may run twice. Its first attempt dies without an answer, and the endpoints refuse the
// second one: the refusal must not speak for the first.
#[tokio::test]
async fn a_retry_that_was_not_run_does_not_speak_for_the_first_attempt() {
    let endpoint = ScriptEndpoint::start().await;
    endpoint.once(Act::Close("")).always(Act::Raw(NOT_RUN));
    let builder = GatewayBuilder::new().with_endpoint(&endpoint, 8);
    let gateway = builder.start().await;
    let reply = gateway.get("/a").await;
    assert_ne!(reply.executed(), Some("no"), "{reply:?}");
}

// The same where no second attempt can be made at all: the other endpoint's process is gone. What
// the first endpoint did with the query stays unknown.
#[tokio::test]
async fn a_refusal_after_a_first_attempt_does_not_say_not_run() {
    for _ in 0..12 {
        let (dying, gone) = (ScriptEndpoint::start().await, ScriptEndpoint::start().await);
        dying.always(Act::Close(""));
        let builder = GatewayBuilder::new().with_endpoint(&dying, 1);
        let gateway = builder.with_endpoint(&gone, 1).start().await;
        drop(gone);
        let reply = gateway.get("/a").await;
        assert_eq!(dying.seen(), 1);
        assert_eq!(reply.executed(), Some("unknown"), "{reply:?}");
    }
}

// A request that was given up gets its answer at once, with the time to come back, and is not kept
// waiting so that its caller asks less often.
#[tokio::test]
async fn a_refusal_comes_at_once_and_says_when_to_come_back() {
    let endpoint = ScriptEndpoint::start().await;
    endpoint.always(Act::Hold);
    let builder = GatewayBuilder::new().with_endpoint(&endpoint, 1);
    let gateway = builder
        .with_target(Duration::from_secs(3600))
        .with_settings(|settings| {
            settings
                .with_bounds(100, 1)
                .with_longest_request(Duration::from_secs(7200))
        })
        .start()
        .await;
    let mut asked: Vec<_> = (0..5)
        .map(|id| gateway.post_later(&id.to_string()))
        .collect();
    // One has the slot, one the queue: were the others to wait for their deadline, it would take
    // an hour.
    eventually(|| asked.iter().filter(|reply| reply.is_finished()).count() == 3).await;
    endpoint.release();
    let mut answered = 0;
    for reply in asked.drain(..) {
        let reply = reply.await.unwrap();
        if reply.status == 200 {
            answered += 1;
            continue;
        }
        assert_eq!((reply.status, reply.reason()), (429, Some("queue_full")));
        assert_eq!(reply.executed(), Some("no"));
        assert!(reply.header("retry-after").is_some());
    }
    assert_eq!(answered, 2);
}
