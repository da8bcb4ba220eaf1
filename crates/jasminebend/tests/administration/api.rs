//! Responses and limits of the administration API.

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
    HttpRequest,
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

fn put_configuration(version: &str, body: &str) -> HttpRequest {
    HttpRequest::new(Method::PUT, "/v1/configuration")
        .with_header("if-match", version)
        .with_body(body)
}

#[tokio::test]
async fn a_configuration_is_read_with_its_etag_and_replaced() {
    let harness = AdminHarness::start(&settings()).await;
    harness.control.set_configuration(two_domains());
    let read = HttpRequest::new(Method::GET, "/v1/configuration");
    let answer = harness.call(read).await;
    assert_eq!(answer.headers["etag"], "\"3\"");
    let answer = harness.call(put_configuration("\"3\"", &answer.body)).await;
    let accepted = ChangeOutcome::Accepted {
        version: Some(ConfigurationVersion(4)),
        job: None,
    };
    assert_eq!(answer.outcome(), accepted);
}

#[tokio::test]
async fn invalid_requests_are_refused_with_a_status_and_reason() {
    let harness = AdminHarness::start(&settings()).await;
    harness.control.set_configuration(two_domains());
    let twice = r#"{"domains": [{"name": "a", "region": "n"}, {"name": "a", "region": "n"}]}"#;
    let table = [
        (
            HttpRequest::new(Method::GET, "/v2"),
            404,
            "nothing at `/v2`",
        ),
        (
            HttpRequest::new(Method::POST, "/v1/status"),
            405,
            "takes GET",
        ),
        (
            HttpRequest::new(Method::PATCH, "/v1/jobs"),
            405,
            "takes GET, POST",
        ),
        (
            HttpRequest::new(Method::POST, "/v1/domains/a/out?force=yes"),
            400,
            "`force=true` or `force=false`",
        ),
        (
            HttpRequest::new(Method::PUT, "/v1/configuration"),
            428,
            "`If-Match`",
        ),
        (put_configuration("latest", "{}"), 428, "`If-Match`"),
        (put_configuration("\"2\"", "{}"), 412, "version 3 by now"),
        (put_configuration("\"3\"", "{"), 400, "does not fit"),
        (
            put_configuration("\"3\"", r#"{"weights": 1}"#),
            400,
            "unknown field `weights`",
        ),
        (
            put_configuration("\"3\"", twice),
            400,
            "`a` is declared twice",
        ),
        (
            HttpRequest::new(Method::GET, "/v1/jobs/9"),
            404,
            "no job `9`",
        ),
    ];
    for (call, status, reason) in table {
        let answer = harness.call(call).await;
        assert_eq!(answer.status.as_u16(), status, "{answer:?}");
        assert!(answer.body.contains(reason), "{answer:?}");
        assert!(answer.body.contains("not_accepted"), "{answer:?}");
    }
    assert_eq!(harness.control.change_count(), 0);
}

#[tokio::test]
async fn control_errors_map_to_statuses_and_outcomes() {
    let harness = AdminHarness::start(&settings()).await;
    harness.control.set_configuration(two_domains());
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
    for (error, status, outcome) in table {
        harness.control.fail_with(error);
        let calls = [
            put_configuration("\"3\"", "{}"),
            HttpRequest::new(Method::POST, "/v1/domains/a/out"),
            HttpRequest::new(Method::POST, "/v1/jobs").with_body("{}"),
            HttpRequest::new(Method::DELETE, "/v1/jobs/7"),
        ];
        for call in calls {
            let answer = harness.call(call).await;
            assert_eq!(answer.status.as_u16(), status, "{answer:?}");
            assert!(answer.body.contains(outcome), "{answer:?}");
            assert!(answer.body.contains("because"), "{answer:?}");
        }
    }
}

/// Taking a failure domain out exceeds the administration timeout because the table service is slow. The response must
/// be unknown and not a refusal, because the change may still be accepted; here it is accepted.
#[tokio::test]
async fn a_change_that_times_out_is_unknown_and_continues() {
    let limits = LimitSettings {
        administration_timeout: Duration::from_millis(100),
        ..LimitSettings::default()
    };
    let harness = AdminHarness::start(&settings().with_limits(limits)).await;
    harness.control.set_configuration(two_domains());
    harness.control.close_gate();
    let answer = harness
        .call(HttpRequest::new(Method::POST, "/v1/domains/a/out"))
        .await;
    assert!(matches!(answer.outcome(), ChangeOutcome::Unknown { .. }));
    harness.control.open_gate();
    harness.control.wait_until_taken_out("a").await;
}

/// An operator's connection ends between the request and the response, for example because a terminal is closed. The
/// change must not be aborted between its intent and its commit.
#[tokio::test]
async fn a_change_continues_after_the_operator_disconnects() {
    let harness = AdminHarness::start(&settings()).await;
    harness.control.set_configuration(two_domains());
    harness.control.close_gate();
    let mut stream = TcpStream::connect(harness.handle.address()).await.unwrap();
    let request = b"POST /v1/domains/a/out HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(request).await.unwrap();
    harness.control.wait_for_change_request().await;
    drop(stream);
    harness.control.open_gate();
    harness.control.wait_until_taken_out("a").await;
}

#[tokio::test]
async fn body_head_and_time_limits_are_enforced() {
    let limits = LimitSettings {
        administration_body: 100,
        headers: 8 << 10,
        administration_timeout: Duration::from_millis(100),
        ..LimitSettings::default()
    };
    let harness = AdminHarness::start(&settings().with_limits(limits)).await;
    let large = put_configuration("\"0\"", &" ".repeat(101));
    assert_eq!(harness.call(large).await.status.as_u16(), 413);
    let wide = HttpRequest::new(Method::GET, "/v1/status").with_header("x", &"x".repeat(9 << 10));
    assert_eq!(harness.call(wide).await.status.as_u16(), 431);
    let mut stream = TcpStream::connect(harness.handle.address()).await.unwrap();
    let request = b"POST /v1/jobs HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nab";
    stream.write_all(request).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    let mut stream = TcpStream::connect(harness.handle.address()).await.unwrap();
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
    harness.control.set_configuration(two_domains());
    harness.control.close_gate();
    let mut first = TcpStream::connect(harness.handle.address()).await.unwrap();
    let request = b"POST /v1/domains/a/out HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n";
    first.write_all(request).await.unwrap();
    harness.control.wait_for_change_request().await;
    let second = harness.call(HttpRequest::new(Method::GET, "/healthz"));
    let mut second = std::pin::pin!(second);
    let early = timeout(Duration::from_millis(50), second.as_mut()).await;
    assert!(early.is_err());
    harness.control.open_gate();
    assert_eq!(second.await.status.as_u16(), 200);
    let mut answer = String::new();
    first.read_to_string(&mut answer).await.ok();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// Guards against a repeated submission of an accepted job that is reported as not accepted, because there is no memory for it.
#[tokio::test]
async fn a_request_without_memory_has_an_unknown_outcome() {
    let limits = LimitSettings {
        administration_memory: 1500,
        ..LimitSettings::default()
    };
    let harness = AdminHarness::start(&settings().with_limits(limits)).await;
    harness.control.set_configuration(two_domains());
    harness.control.close_gate();
    let read = HttpRequest::new(Method::GET, "/v1/configuration");
    let body = format!("{:1000}", harness.call(read).await.body);
    let first = harness.call(put_configuration("\"3\"", &body));
    let repeated = async {
        harness.control.wait_for_change_request().await;
        let answer = harness.call(put_configuration("\"3\"", &body)).await;
        harness.control.open_gate();
        answer
    };
    let (first, repeated) = tokio::join!(first, repeated);
    assert_eq!(repeated.status.as_u16(), 504);
    let ChangeOutcome::Unknown { find_out } = repeated.outcome() else {
        panic!("{repeated:?}");
    };
    assert!(find_out.contains("no memory"), "{find_out}");
    assert_eq!(first.status.as_u16(), 200);
}

/// Guards against operators who get no answer as long as others hold all connections and send nothing.
#[tokio::test]
async fn idle_connections_close_for_new_ones() {
    let limits = LimitSettings {
        administration_connections: 1,
        ..LimitSettings::default()
    };
    let harness = AdminHarness::start(&settings().with_limits(limits)).await;
    let mut idle = TcpStream::connect(harness.handle.address()).await.unwrap();
    let answer = harness.call(HttpRequest::new(Method::GET, "/healthz"));
    assert_eq!(answer.await.status.as_u16(), 200);
    let mut closed = Vec::new();
    idle.read_to_end(&mut closed).await.ok();
    assert!(closed.is_empty());
}

#[tokio::test]
async fn the_health_listener_serves_only_health_readiness_and_metrics() {
    let mut settings = settings();
    settings.listen = settings.listen.with_health(settings.listen.peers);
    let harness = AdminHarness::start(&settings).await;
    let address = harness.handle.health_address().unwrap();
    let get = |path| HttpRequest::new(Method::GET, path).send_to(address);
    assert_eq!(get("/healthz").await.status.as_u16(), 200);
    assert_eq!(get("/readyz").await.status.as_u16(), 200);
    assert_eq!(get("/metrics").await.status.as_u16(), 200);
    assert_eq!(get("/v1/status").await.status.as_u16(), 404);
    harness.control.set_ready(false);
    assert_eq!(get("/readyz").await.status.as_u16(), 503);
    assert_eq!(get("/healthz").await.status.as_u16(), 200);
}
