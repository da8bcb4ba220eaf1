//! Rate limit of failed token attempts.

use std::{
    net::IpAddr,
    sync::Arc,
    time::Duration, //
};

use http::Method;
use jasminebend::{
    TokenAttemptLimiter,
    TokenAttemptOutcome, //
};
use jasminebend_standins::ManualClock;

use crate::{
    access::protected_settings,
    harness::{
        AdminHarness,
        HttpRequest, //
        OPERATE_TOKEN,
    },
    temporary_directory::TemporaryDirectory, //
};

const START_TIME: Duration = Duration::from_secs(100);

fn address(text: &str) -> IpAddr {
    text.parse().expect("an address")
}

/// Makes a failed attempt from an address.
fn attempt_failure(
    limiter: &mut TokenAttemptLimiter,
    from: &str,
    now: Duration,
) -> TokenAttemptOutcome<()> {
    limiter.attempt(address(from), now, || None)
}

/// A client guesses tokens as fast as it can. Ten failed attempts are answered as unauthorized; after that no token is
/// checked, not even a valid one, until a tenth of a second has passed, which allows one more attempt.
#[tokio::test]
async fn failed_tokens_are_rate_limited_and_valid_ones_are_not() {
    let directory = TemporaryDirectory::new();
    let clock = Arc::new(ManualClock::new());
    let harness =
        AdminHarness::start_with_clock(&protected_settings(&directory), clock.clone()).await;
    let ask = async |token: &str| {
        let call = HttpRequest::new(Method::GET, "/v1/status").with_token(token);
        harness.call(call).await
    };
    for _ in 0..20 {
        assert_eq!(ask(OPERATE_TOKEN).await.status.as_u16(), 200);
    }
    for _ in 0..10 {
        assert_eq!(ask("wrong").await.status.as_u16(), 401);
    }
    for token in ["wrong", OPERATE_TOKEN] {
        let answer = ask(token).await;
        assert_eq!(answer.status.as_u16(), 429, "{answer:?}");
        assert_eq!(answer.headers["retry-after"], "1");
        assert!(answer.body.contains("not_accepted"), "{answer:?}");
    }
    let bare = HttpRequest::new(Method::GET, "/v1/status");
    assert_eq!(harness.call(bare).await.status.as_u16(), 401);
    let health = HttpRequest::new(Method::GET, "/healthz").with_token("wrong");
    assert_eq!(harness.call(health).await.status.as_u16(), 200);
    let metrics = {
        clock.advance(Duration::from_millis(101));
        let call = HttpRequest::new(Method::GET, "/metrics").with_token(OPERATE_TOKEN);
        harness.call(call).await
    };
    for answer in ["unknown", "too_fast"] {
        let series = format!("failed_tokens_total{{answer=\"{answer}\"");
        assert!(metrics.body.contains(&series), "{}", metrics.body);
    }
}

#[test]
fn addresses_are_limited_separately_and_an_ipv6_site_together() {
    let mut limiter = TokenAttemptLimiter::new();
    for _ in 0..5 {
        attempt_failure(&mut limiter, "10.0.0.1", START_TIME);
        attempt_failure(&mut limiter, "::ffff:10.0.0.1", START_TIME);
        attempt_failure(&mut limiter, "2001:db8::1", START_TIME);
        attempt_failure(&mut limiter, "2001:db8::2", START_TIME);
    }
    let table = [
        ("10.0.0.1", false),
        ("10.0.0.2", true),
        ("2001:db8::3", false),
        ("2001:db8:0:1::1", true),
    ];
    for (from, open) in table {
        let outcome = limiter.attempt(address(from), START_TIME, || Some(()));
        assert_eq!(outcome == TokenAttemptOutcome::Found(()), open, "{from}");
    }
}

#[test]
fn an_address_has_ten_failed_attempts_per_second() {
    let mut limiter = TokenAttemptLimiter::new();
    let mut checked_attempts = 0;
    for step in 0..10_000 {
        let now = START_TIME + Duration::from_millis(step);
        checked_attempts += u32::from(
            attempt_failure(&mut limiter, "10.0.0.1", now) == TokenAttemptOutcome::Unknown,
        );
    }
    assert!(
        (105..=110).contains(&checked_attempts),
        "{checked_attempts}"
    );
}

#[test]
fn refusals_are_logged_at_most_every_ten_seconds() {
    let mut limiter = TokenAttemptLimiter::new();
    let mut lines = 0;
    for step in 0..25_000 {
        let now = START_TIME + Duration::from_millis(step);
        let outcome = attempt_failure(&mut limiter, "10.0.0.1", now);
        lines += u32::from(outcome == TokenAttemptOutcome::TooFast { log: true });
    }
    assert_eq!(lines, 3);
}

/// A client that uses ever new addresses must not exhaust the memory, and must not evict the bucket of another client
/// that is rate-limited.
#[test]
fn the_number_of_tracked_addresses_is_bounded() {
    let mut limiter = TokenAttemptLimiter::new();
    for _ in 0..10 {
        attempt_failure(&mut limiter, "192.0.2.1", START_TIME);
    }
    for number in 0..3000_u32 {
        let from = IpAddr::from((0x0a00_0000 + number).to_be_bytes());
        let outcome: TokenAttemptOutcome<()> = limiter.attempt(from, START_TIME, || None);
        assert_eq!(outcome, TokenAttemptOutcome::Unknown);
    }
    assert_eq!(limiter.tracked_addresses(), 1024);
    let outcome = attempt_failure(&mut limiter, "192.0.2.1", START_TIME);
    assert!(matches!(outcome, TokenAttemptOutcome::TooFast { .. }));
    let later = START_TIME + Duration::from_secs(1);
    attempt_failure(&mut limiter, "198.51.100.1", later);
    assert_eq!(limiter.tracked_addresses(), 1, "full buckets are forgotten");
}
