//! What the administration API answers, and what it refuses.

use std::time::Duration;

use http::Method;
use jasminebend::{
    ControlError,
    LimitSettings, //
};
use jasminebend_base::{
    ChangeOutcome,
    Configuration,
    ConfigurationVersion,
    DomainName,
    DomainState,
    FailureDomain, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    time::timeout, //
};

use crate::harness::{
    AdminHarness,
    PlainCall,
    settings, //
};

fn two_domains() -> Configuration {
    let domain = |name| FailureDomain {
        name: DomainName::from(name),
        region: "north".to_owned(),
        state: DomainState::In,
    };
    Configuration {
        version: ConfigurationVersion(3),
        domains: vec![domain("a"), domain("b")],
        ..Configuration::default()
    }
}

fn put(version: &str, body: &str) -> PlainCall {
    PlainCall::new(Method::PUT, "/v1/configuration")
        .with_header("if-match", version)
        .with_body(body)
}

#[tokio::test]
async fn a_configuration_is_read_with_its_version_and_replaced_by_it() {
    let harness = AdminHarness::start(&settings()).await;
    harness.control.set(two_domains());
    let read = PlainCall::new(Method::GET, "/v1/configuration");
    let answer = harness.call(read).await;
    assert_eq!(answer.headers["etag"], "\"3\"");
    let answer = harness.call(put("\"3\"", &answer.body)).await;
    let accepted = ChangeOutcome::Accepted {
        version: Some(ConfigurationVersion(4)),
        job: None,
    };
    assert_eq!(answer.outcome(), accepted);
}

#[tokio::test]
async fn what_cannot_be_done_is_refused_with_its_status_and_reason() {
    let harness = AdminHarness::start(&settings()).await;
    harness.control.set(two_domains());
    let twice = r#"{"domains": [{"name": "a", "region": "n"}, {"name": "a", "region": "n"}]}"#;
    let table = [
        (PlainCall::new(Method::GET, "/v2"), 404, "nothing at `/v2`"),
        (PlainCall::new(Method::POST, "/v1/status"), 405, "takes GET"),
        (
            PlainCall::new(Method::PATCH, "/v1/jobs"),
            405,
            "takes GET, POST",
        ),
        (
            PlainCall::new(Method::POST, "/v1/domains/a/out?force=yes"),
            400,
            "`force=true` or `force=false`",
        ),
        (
            PlainCall::new(Method::PUT, "/v1/configuration"),
            428,
            "`If-Match`",
        ),
        (put("latest", "{}"), 428, "`If-Match`"),
        (put("\"2\"", "{}"), 412, "version 3 by now"),
        (put("\"3\"", "{"), 400, "does not fit"),
        (
            put("\"3\"", r#"{"weights": 1}"#),
            400,
            "unknown field `weights`",
        ),
        (put("\"3\"", twice), 400, "`a` is declared twice"),
        (PlainCall::new(Method::GET, "/v1/jobs/9"), 404, "no job `9`"),
    ];
    for (call, status, reason) in table {
        let answer = harness.call(call).await;
        assert_eq!(answer.status.as_u16(), status, "{answer:?}");
        assert!(answer.body.contains(reason), "{answer:?}");
        assert!(answer.body.contains("not_accepted"), "{answer:?}");
    }
    assert_eq!(harness.control.set_count(), 0);
}

#[tokio::test]
async fn an_outcome_is_told_as_it_is() {
    let harness = AdminHarness::start(&settings()).await;
    harness.control.set(two_domains());
    let reason = || "because".to_owned();
    let table = [
        (
            ControlError::Refused { reason: reason() },
            409,
            "not_accepted",
        ),
        (
            ControlError::Unavailable { reason: reason() },
            503,
            "not_accepted",
        ),
        (ControlError::Unknown { find_out: reason() }, 504, "unknown"),
    ];
    for (fault, status, outcome) in table {
        harness.control.fail(fault);
        let calls = [
            put("\"3\"", "{}"),
            PlainCall::new(Method::POST, "/v1/domains/a/out"),
            PlainCall::new(Method::POST, "/v1/jobs").with_body("{}"),
            PlainCall::new(Method::DELETE, "/v1/jobs/7"),
        ];
        for call in calls {
            let answer = harness.call(call).await;
            assert_eq!(answer.status.as_u16(), status, "{answer:?}");
            assert!(answer.body.contains(outcome), "{answer:?}");
            assert!(answer.body.contains("because"), "{answer:?}");
        }
    }
}

/// An operator takes a domain out while the table is slow. The answer does not come in time, and
/// the operator must not read a refusal: the change may still be accepted, as here it is.
#[tokio::test]
async fn a_change_that_takes_too_long_is_unknown_and_goes_on() {
    let limits = LimitSettings {
        administration_timeout: Duration::from_millis(100),
        ..LimitSettings::default()
    };
    let harness = AdminHarness::start(&settings().with_limits(limits)).await;
    harness.control.set(two_domains());
    harness.control.close_gate();
    let answer = harness
        .call(PlainCall::new(Method::POST, "/v1/domains/a/out"))
        .await;
    assert!(matches!(answer.outcome(), ChangeOutcome::Unknown { .. }));
    harness.control.open_gate();
    harness.control.wait_until_out("a").await;
}

/// An operator's connection ends between the request and the answer, as when a terminal is closed.
/// The change must not stop between its intent and its commit.
#[tokio::test]
async fn a_change_outlives_the_operators_connection() {
    let harness = AdminHarness::start(&settings()).await;
    harness.control.set(two_domains());
    harness.control.close_gate();
    let mut stream = TcpStream::connect(harness.guard.address()).await.unwrap();
    let request = b"POST /v1/domains/a/out HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(request).await.unwrap();
    harness.control.wait_until_asked().await;
    drop(stream);
    harness.control.open_gate();
    harness.control.wait_until_out("a").await;
}

#[tokio::test]
async fn bodies_heads_and_slow_senders_meet_their_limits() {
    let limits = LimitSettings {
        administration_body: 100,
        headers: 8 << 10,
        administration_timeout: Duration::from_millis(100),
        ..LimitSettings::default()
    };
    let harness = AdminHarness::start(&settings().with_limits(limits)).await;
    let large = put("\"0\"", &" ".repeat(101));
    assert_eq!(harness.call(large).await.status.as_u16(), 413);
    let wide = PlainCall::new(Method::GET, "/v1/status").with_header("x", &"x".repeat(9 << 10));
    assert_eq!(harness.call(wide).await.status.as_u16(), 431);
    let mut stream = TcpStream::connect(harness.guard.address()).await.unwrap();
    let request = b"POST /v1/jobs HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nab";
    stream.write_all(request).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    let mut stream = TcpStream::connect(harness.guard.address()).await.unwrap();
    stream.write_all(b"GET /v1/status HT").await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    assert!(!answer.contains(" 200 "), "{answer}");
}

#[tokio::test]
async fn connections_over_the_limit_wait() {
    let limits = LimitSettings {
        administration_connections: 1,
        ..LimitSettings::default()
    };
    let harness = AdminHarness::start(&settings().with_limits(limits)).await;
    let first = TcpStream::connect(harness.guard.address()).await.unwrap();
    let second = harness.call(PlainCall::new(Method::GET, "/healthz"));
    let mut second = std::pin::pin!(second);
    let early = timeout(Duration::from_millis(50), second.as_mut()).await;
    assert!(early.is_err());
    drop(first);
    assert_eq!(second.await.status.as_u16(), 200);
}

#[tokio::test]
async fn the_balancer_is_served_apart_and_sees_no_more_than_it_needs() {
    let mut settings = settings();
    settings.listen = settings.listen.with_health(settings.listen.peers);
    let harness = AdminHarness::start(&settings).await;
    let address = harness.guard.health_address().unwrap();
    let get = |path| PlainCall::new(Method::GET, path).send_to(address);
    assert_eq!(get("/healthz").await.status.as_u16(), 200);
    assert_eq!(get("/readyz").await.status.as_u16(), 200);
    assert_eq!(get("/metrics").await.status.as_u16(), 200);
    assert_eq!(get("/v1/status").await.status.as_u16(), 404);
    harness.control.set_ready(false);
    assert_eq!(get("/readyz").await.status.as_u16(), 503);
    assert_eq!(get("/healthz").await.status.as_u16(), 200);
}
