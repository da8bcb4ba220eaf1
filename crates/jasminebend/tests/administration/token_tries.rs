//! How fast one address may try tokens.

use std::{
    net::IpAddr,
    sync::Arc,
    time::Duration, //
};

use http::Method;
use jasminebend::{
    TokenTries,
    TryOutcome, //
};
use jasminebend_standins::ManualClock;

use crate::{
    access::guarded,
    harness::{
        AdminHarness,
        OPERATE,
        PlainCall, //
    },
    temporary_directory::TemporaryDirectory, //
};

const START: Duration = Duration::from_secs(100);

fn address(text: &str) -> IpAddr {
    text.parse().expect("an address")
}

fn fail(tries: &mut TokenTries, from: &str, now: Duration) -> TryOutcome<()> {
    tries.attempt(address(from), now, || None)
}

/// Somebody guesses tokens as fast as the network allows. Ten tries are answered as wrong, and then
/// no token is looked at, not even the right one, until a tenth of a second gives one try more.
#[tokio::test]
async fn guessing_is_slowed_and_a_right_token_costs_nothing() {
    let directory = TemporaryDirectory::new();
    let clock = Arc::new(ManualClock::new());
    let harness = AdminHarness::start_at(&guarded(&directory), clock.clone()).await;
    let ask = async |token: &str| {
        let call = PlainCall::new(Method::GET, "/v1/status").with_token(token);
        harness.call(call).await
    };
    for _ in 0..20 {
        assert_eq!(ask(OPERATE).await.status.as_u16(), 200);
    }
    for _ in 0..10 {
        assert_eq!(ask("wrong").await.status.as_u16(), 401);
    }
    for token in ["wrong", OPERATE] {
        let answer = ask(token).await;
        assert_eq!(answer.status.as_u16(), 429, "{answer:?}");
        assert_eq!(answer.headers["retry-after"], "1");
        assert!(answer.body.contains("not_accepted"), "{answer:?}");
    }
    let bare = PlainCall::new(Method::GET, "/v1/status");
    assert_eq!(harness.call(bare).await.status.as_u16(), 401);
    let health = PlainCall::new(Method::GET, "/healthz").with_token("wrong");
    assert_eq!(harness.call(health).await.status.as_u16(), 200);
    let metrics = {
        clock.advance(Duration::from_millis(101));
        let call = PlainCall::new(Method::GET, "/metrics").with_token(OPERATE);
        harness.call(call).await
    };
    for answer in ["unknown", "too_fast"] {
        let series = format!("failed_tokens_total{{answer=\"{answer}\"");
        assert!(metrics.body.contains(&series), "{}", metrics.body);
    }
}

#[test]
fn addresses_are_apart_and_a_site_is_one() {
    let mut tries = TokenTries::new();
    for _ in 0..5 {
        fail(&mut tries, "10.0.0.1", START);
        fail(&mut tries, "::ffff:10.0.0.1", START);
        fail(&mut tries, "2001:db8::1", START);
        fail(&mut tries, "2001:db8::2", START);
    }
    let table = [
        ("10.0.0.1", false),
        ("10.0.0.2", true),
        ("2001:db8::3", false),
        ("2001:db8:0:1::1", true),
    ];
    for (from, open) in table {
        let outcome = tries.attempt(address(from), START, || Some(()));
        assert_eq!(outcome == TryOutcome::Found(()), open, "{from}");
    }
}

#[test]
fn a_guesser_gets_ten_tries_a_second() {
    let mut tries = TokenTries::new();
    let mut looked_at = 0;
    for step in 0..10_000 {
        let now = START + Duration::from_millis(step);
        looked_at += u32::from(fail(&mut tries, "10.0.0.1", now) == TryOutcome::Unknown);
    }
    assert!((105..=110).contains(&looked_at), "{looked_at}");
}

#[test]
fn refusals_are_logged_every_ten_seconds_at_most() {
    let mut tries = TokenTries::new();
    let mut lines = 0;
    for step in 0..25_000 {
        let now = START + Duration::from_millis(step);
        let outcome = fail(&mut tries, "10.0.0.1", now);
        lines += u32::from(outcome == TryOutcome::TooFast { log: true });
    }
    assert_eq!(lines, 3);
}

/// A guesser with ever new addresses must not fill the memory, nor make the daemon forget another
/// guesser whose bucket is empty.
#[test]
fn the_table_of_addresses_is_bounded() {
    let mut tries = TokenTries::new();
    for _ in 0..10 {
        fail(&mut tries, "192.0.2.1", START);
    }
    for number in 0..3000_u32 {
        let from = IpAddr::from((0x0a00_0000 + number).to_be_bytes());
        let outcome: TryOutcome<()> = tries.attempt(from, START, || None);
        assert_eq!(outcome, TryOutcome::Unknown);
    }
    assert_eq!(tries.tracked(), 1024);
    let outcome = fail(&mut tries, "192.0.2.1", START);
    assert!(matches!(outcome, TryOutcome::TooFast { .. }));
    let later = START + Duration::from_secs(1);
    fail(&mut tries, "198.51.100.1", later);
    assert_eq!(tries.tracked(), 1, "full buckets are forgotten");
}
