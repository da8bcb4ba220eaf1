//! A refusal reports "not run" only if the request certainly did not run.

use std::time::Duration;

use jasminebend_base::IdempotencyRule;
use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};

use crate::support::{
    EndpointAction,
    GatewayBuilder,
    ScriptedEndpoint,
    wait_until, //
};

const TARGET: Duration = Duration::from_millis(60);
const NOT_RUN_RESPONSE: &str =
    "HTTP/1.1 503 Full\r\njasminebend-executed: no\r\ncontent-length: 0\r\n\r\n";

fn random_action(rng: &mut SmallRng) -> EndpointAction {
    match rng.random_range(0..9) {
        0 => EndpointAction::Close(""),
        1 => EndpointAction::Close("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nab"),
        2 => EndpointAction::Silent,
        3 => EndpointAction::Raw("HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n"),
        4 => EndpointAction::Raw("nonsense\r\n\r\n"),
        5 => EndpointAction::Raw("HTTP/1.1 200 OK\r\n\r\n"),
        _ => EndpointAction::Answer,
    }
}

// Endpoints fail at random while bookings and queries arrive. A caller that is told "not run" books
// again: if the first booking ran after all, there are two.
#[tokio::test]
async fn a_request_reported_not_run_never_reached_an_endpoint() {
    for seed in 0..6 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let rule = match seed % 2 {
            0 => IdempotencyRule::Never,
            _ => IdempotencyRule::Always,
        };
        let endpoints = [
            ScriptedEndpoint::start().await,
            ScriptedEndpoint::start().await,
        ];
        let gateway = GatewayBuilder::new()
            .with_endpoint(&endpoints[0], 4)
            .with_endpoint(&endpoints[1], 4)
            .with_idempotency_rule(rule)
            .with_target(TARGET)
            .with_settings(|settings| {
                settings
                    .with_request_timeout(1, TARGET)
                    .with_longest_request(3 * TARGET)
                    .with_backoffs(TARGET, TARGET)
            })
            .start()
            .await;
        for id in 0..40 {
            for endpoint in &endpoints {
                endpoint.set_default_action(random_action(&mut rng));
            }
            let id = id.to_string();
            let reply = gateway.post(&id).await;
            let run_count = endpoints.iter().map(|endpoint| {
                endpoint
                    .log()
                    .runs_by_request_id
                    .get(&id)
                    .copied()
                    .unwrap_or(0)
            });
            let run_count: u32 = run_count.sum();
            if reply.executed() == Some("no") {
                assert_eq!(run_count, 0, "seed {seed}, request {id}: {reply:?}");
            }
            if rule == IdempotencyRule::Never {
                assert!(run_count <= 1, "seed {seed}, request {id}");
            }
            if reply.status == 200 && reply.is_complete {
                assert_eq!(reply.body, "/bookings", "seed {seed}, request {id}");
            }
        }
    }
}

// A query may run twice. Its first attempt ends without a response, and the endpoint refuses the
// second one: this refusal says nothing about the first attempt.
#[tokio::test]
async fn a_retry_reported_not_run_does_not_clear_the_first_attempt() {
    let endpoint = ScriptedEndpoint::start().await;
    endpoint
        .push_action(EndpointAction::Close(""))
        .set_default_action(EndpointAction::Raw(NOT_RUN_RESPONSE));
    let builder = GatewayBuilder::new().with_endpoint(&endpoint, 8);
    let gateway = builder.start().await;
    let reply = gateway.get("/a").await;
    assert_ne!(reply.executed(), Some("no"), "{reply:?}");
}

// As above where no second attempt is possible: the process of the other endpoint has terminated.
// Whether the first endpoint ran the query stays unknown.
#[tokio::test]
async fn a_refusal_after_a_first_attempt_is_not_reported_as_not_run() {
    for _ in 0..12 {
        let (failing, terminated) = (
            ScriptedEndpoint::start().await,
            ScriptedEndpoint::start().await,
        );
        failing.set_default_action(EndpointAction::Close(""));
        let builder = GatewayBuilder::new().with_endpoint(&failing, 1);
        let gateway = builder.with_endpoint(&terminated, 1).start().await;
        drop(terminated);
        let reply = gateway.get("/a").await;
        assert_eq!(failing.request_count(), 1);
        assert_eq!(reply.executed(), Some("unknown"), "{reply:?}");
    }
}

// A request that is refused receives its response at once, with the time after which to retry. It
// is not delayed to slow its caller down.
#[tokio::test]
async fn a_refusal_is_immediate_and_has_a_retry_after_header() {
    let endpoint = ScriptedEndpoint::start().await;
    endpoint.set_default_action(EndpointAction::Hold);
    let builder = GatewayBuilder::new().with_endpoint(&endpoint, 1);
    let gateway = builder
        .with_target(Duration::from_secs(3600))
        .with_settings(|settings| {
            settings
                .with_caller_and_queue_limits(100, 1)
                .with_longest_request(Duration::from_secs(7200))
        })
        .start()
        .await;
    let mut pending_replies: Vec<_> = (0..5)
        .map(|id| gateway.spawn_post(&id.to_string()))
        .collect();
    // One request has the slot and one is in the queue. If the others waited for their deadline,
    // that would take an hour.
    wait_until(|| {
        pending_replies
            .iter()
            .filter(|reply| reply.is_finished())
            .count()
            == 3
    })
    .await;
    endpoint.release();
    let mut answered = 0;
    for reply in pending_replies.drain(..) {
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
