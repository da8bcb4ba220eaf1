//! A booking with an idempotency key runs at most once for all daemons together.
//!
//! All gateways here have the same seed: when reservation numbers were drawn from the seed, two
//! daemons mistook the reservations of each other for their own, and both ran the booking.

use std::{
    sync::Arc,
    time::{
        Duration,
        SystemTime, //
    },
};

use jasminebend_standins::{
    CallKind,
    FaultKind,
    ManualClock,
    OutageState,
    TableStandIn, //
};
use tokio::time::sleep;

use crate::support::{
    EndpointAction,
    GatewayBuilder,
    ScriptedEndpoint,
    TestGateway,
    open_and_send,
    send_request,
    wait_until,
    wait_until_answered, //
};

const HOUR: Duration = Duration::from_secs(3600);
/// More reads of the table than one sweep makes.
const READS_PER_SWEEP: u64 = 10;

/// Starts a gateway that holds the first or the second half of the shares.
async fn start_daemon(
    endpoint: &ScriptedEndpoint,
    table: &TableStandIn,
    first: bool,
) -> TestGateway {
    let shares = if first { 0..8 } else { 8..16 };
    GatewayBuilder::new()
        .with_endpoint(endpoint, 8)
        .with_table(table)
        .with_shares(shares)
        .start()
        .await
}

async fn start_two_daemons() -> (ScriptedEndpoint, TableStandIn, TestGateway, TestGateway) {
    let (endpoint, table) = (ScriptedEndpoint::start().await, TableStandIn::new());
    let first = start_daemon(&endpoint, &table, true).await;
    let second = start_daemon(&endpoint, &table, false).await;
    (endpoint, table, first, second)
}

// A caller submits an order twice, and the balancer sends the two requests to different daemons at
// once.
#[tokio::test]
async fn the_same_key_through_two_daemons_at_once_runs_once() {
    let (endpoint, _, first, second) = start_two_daemons().await;
    endpoint.set_default_action(EndpointAction::Hold);
    let own = tokio::spawn(async move { first.post_keyed("a", "k1").await });
    wait_until(|| endpoint.request_count() == 1).await;
    let other = second.post_keyed("b", "k1").await;
    assert_eq!((other.status, other.executed()), (409, Some("unknown")));
    assert!(other.header("retry-after").is_some());
    endpoint.release();
    assert_eq!(own.await.unwrap().status, 200);
    assert_eq!(endpoint.request_count(), 1);
}

// The response was lost on its way to the caller, which repeats the request: any daemon returns the
// first response.
#[tokio::test]
async fn a_repeated_request_gets_the_first_response() {
    let (endpoint, table, first, second) = start_two_daemons().await;
    assert_eq!(first.post_keyed("a", "k1").await.status, 200);
    while table.rows("request-keys/by-key/")[0].value.len() < 60 {
        sleep(Duration::from_millis(5)).await;
    }
    let again = second.post_keyed("a", "k1").await;
    assert_eq!((again.status, again.body.as_str()), (200, "/bookings"));
    assert_eq!(again.header("idempotency-replayed"), Some("true"));
    assert_eq!(endpoint.request_count(), 1);
}

// A daemon terminates between sending a booking and recording its outcome. Whether the booking ran
// is unknown: a repetition is refused as unknown, and never runs it again.
#[tokio::test]
async fn a_key_whose_daemon_terminated_is_not_run_again() {
    let (endpoint, table, first, second) = start_two_daemons().await;
    endpoint.set_default_action(EndpointAction::Hold);
    let address = first.address;
    let headers = "x-request-id: a\r\nidempotency-key: k1\r\n";
    let lost =
        tokio::spawn(
            async move { send_request(address, "POST /bookings", headers, "guitar").await },
        );
    wait_until(|| endpoint.request_count() == 1).await;
    // From here on nothing that the first daemon writes reaches the table.
    let rows = table.rows("request-keys/by-key/");
    assert_eq!(rows.len(), 1);
    lost.abort();
    first.serving.abort();
    let again = second.post_keyed("a", "k1").await;
    assert_eq!((again.status, again.executed()), (409, Some("unknown")));
    assert_eq!(endpoint.request_count(), 1);
}

// The caller disconnects before the response. The outcome is recorded nevertheless, so that a
// repetition receives the response and not "unknown".
#[tokio::test]
async fn the_outcome_is_recorded_when_the_caller_disconnected() {
    let (endpoint, _, first, second) = start_two_daemons().await;
    endpoint.set_default_action(EndpointAction::Hold);
    let text = "POST /bookings HTTP/1.1\r\nhost: shop\r\nidempotency-key: k1\r\ncontent-length: 6\r\n\r\nguitar";
    let caller = open_and_send(first.address, text).await;
    wait_until(|| endpoint.request_count() == 1).await;
    drop(caller);
    endpoint.release();
    wait_until_answered(async || second.post_keyed("a", "k1").await).await;
    assert_eq!(endpoint.request_count(), 1);
}

// The table commits the reservation and its response is lost, or commits it only after the writer
// gave up, or commits it twice. If this counted as "not reserved", the booking would be refused
// although its key is taken; if it counted as "reserved" without a check, two daemons could both
// run it.
#[tokio::test]
async fn a_lost_response_to_a_reservation_is_resolved() {
    let late = Duration::from_millis(30);
    for fault in [
        FaultKind::LoseAnswer,
        FaultKind::CutAnswer,
        FaultKind::LateEffect(late),
        FaultKind::Duplicate(late),
        FaultKind::LoseRequest,
    ] {
        let (endpoint, table, first, second) = start_two_daemons().await;
        table.faults().queue_fault(CallKind::Commit, fault);
        let (own, other) = tokio::join!(first.post_keyed("a", "k1"), second.post_keyed("a", "k1"));
        let answered = [&own, &other]
            .iter()
            .filter(|reply| reply.status == 200)
            .count();
        assert!(answered >= 1, "{fault:?}: {own:?} {other:?}");
        sleep(2 * late).await;
        second.post_keyed("a", "k1").await;
        assert_eq!(endpoint.request_count(), 1, "{fault:?}");
    }
}

// The table is unavailable: without a reservation a booking with a key is not run, and the caller
// is asked to retry. When the table is available again the same key works.
#[tokio::test]
async fn without_the_table_a_booking_with_a_key_is_refused() {
    for fault in [
        FaultKind::Unreachable,
        FaultKind::Refuse,
        FaultKind::LoseAnswer,
    ] {
        let (endpoint, table, _, _) = start_two_daemons().await;
        let builder = GatewayBuilder::new().with_endpoint(&endpoint, 8);
        let gateway = builder
            .with_table(&table)
            .with_settings(|settings| settings.with_request_timeout(1, Duration::from_millis(200)))
            .with_target(Duration::from_millis(200))
            .start()
            .await;
        table.faults().set_outage(OutageState::Down(fault));
        let refused = gateway.post_keyed("a", "k1").await;
        assert_eq!(
            (refused.status, refused.executed()),
            (503, Some("no")),
            "{fault:?}"
        );
        assert!(refused.header("retry-after").is_some());
        assert_eq!(endpoint.request_count(), 0);
        // The outage outlasts the request: a reservation that was committed without a response is
        // released.
        sleep(Duration::from_millis(200)).await;
        table.faults().clear_faults();
        wait_until_answered(async || gateway.post_keyed("a", "k1").await).await;
        assert_eq!(endpoint.request_count(), 1);
    }
}

// A key is used for another order, or by another customer who guessed it: the other order must not
// run, and the first response must not be returned.
#[tokio::test]
async fn a_key_of_another_request_is_refused() {
    let (endpoint, _, first, _) = start_two_daemons().await;
    assert_eq!(first.post_keyed("a", "k1").await.status, 200);
    for (headers, body) in [
        ("idempotency-key: k1\r\n", "violin"),
        ("idempotency-key: k1\r\nauthorization: other\r\n", "guitar"),
    ] {
        let reply = send_request(first.address, "POST /bookings", headers, body).await;
        assert_eq!((reply.status, reply.executed()), (422, Some("no")));
    }
    assert_eq!(endpoint.request_count(), 1);
}

// The endpoint refused the booking and reported that it was not run: the key may be used again.
#[tokio::test]
async fn a_key_whose_request_was_not_run_can_be_used_again() {
    let (endpoint, _, first, second) = start_two_daemons().await;
    let full = "HTTP/1.1 503 Full\r\njasminebend-executed: no\r\ncontent-length: 0\r\n\r\n";
    for _ in 0..3 {
        endpoint.push_action(EndpointAction::Raw(full));
    }
    assert_eq!(first.post_keyed("a", "k1").await.status, 503);
    wait_until_answered(async || second.post_keyed("a", "k1").await).await;
}

// Malformed keys are rejected before anything is reserved.
#[tokio::test]
async fn a_malformed_key_is_refused() {
    let (endpoint, table, first, _) = start_two_daemons().await;
    let long = format!("idempotency-key: {}\r\n", "k".repeat(256));
    for headers in ["idempotency-key: a b\r\n", "idempotency-key: \r\n", &long] {
        let reply = send_request(first.address, "POST /bookings", headers, "").await;
        assert_eq!((reply.status, reply.reason()), (400, Some("bad_key")));
    }
    assert_eq!((endpoint.request_count(), table.rows("").len()), (0, 0));
}

// Keys are removed after their retention, so that the table does not grow without limit; keys whose
// retention has not passed stay.
#[tokio::test]
async fn keys_are_removed_after_their_retention_and_no_earlier() {
    let endpoint = ScriptedEndpoint::start().await;
    let table = TableStandIn::new();
    for (shares, retention, key) in [(8..16, HOUR, "old"), (8..16, 100 * HOUR, "new")] {
        let builder = GatewayBuilder::new().with_endpoint(&endpoint, 8);
        let gateway = builder
            .with_table(&table)
            .with_shares(shares)
            .with_settings(|settings| settings.with_key_retention(retention))
            .start()
            .await;
        assert_eq!(gateway.post_keyed("a", key).await.status, 200);
        gateway.gateway.drain().await;
    }
    let clock = Arc::new(ManualClock::new());
    let sweeping_gateway = start_sweeper(&endpoint, &table, &clock).await;
    for hour in 1..=3 {
        wait_for_sweep(&table).await;
        assert_eq!(table.rows("request-keys/by-key/").len(), 2);
        count_one_hour(&table, &clock, hour).await;
    }
    while table.rows("request-keys/by-key/").len() > 1 {
        sleep(Duration::from_millis(5)).await;
    }
    let listed = table.rows("request-keys/by-expiry/");
    drop(sweeping_gateway);
    let second = start_daemon(&endpoint, &table, false).await;
    assert_eq!(
        second
            .post_keyed("a", "new")
            .await
            .header("idempotency-replayed"),
        Some("true")
    );
    assert!(listed.len() <= 2, "{listed:?}");
}

/// Starts a gateway that sweeps keys every 5 ms by this clock.
async fn start_sweeper(
    endpoint: &ScriptedEndpoint,
    table: &TableStandIn,
    clock: &Arc<ManualClock>,
) -> TestGateway {
    let builder = GatewayBuilder::new().with_endpoint(endpoint, 8);
    let clock = Arc::clone(clock);
    builder
        .with_table(table)
        .with_clock(clock)
        .with_settings(|settings| settings.with_key_sweep_interval(Duration::from_millis(5)))
        .start()
        .await
}

/// Returns the hour count in the table.
fn recorded_hour(table: &TableStandIn) -> u64 {
    let rows = table.rows("request-keys/hours");
    let value = rows.first().map(|row| row.value.clone());
    value.map_or(0, |value| u64::from_be_bytes(value[..].try_into().unwrap()))
}

// Waits for several reads of the table, so that at least one sweep has completed.
async fn wait_for_sweep(table: &TableStandIn) {
    let before = table.faults().counts().reads;
    wait_until(|| table.faults().counts().reads >= before + READS_PER_SWEEP).await;
}

/// Advances the clock by an hour and waits until the hour is counted.
async fn count_one_hour(table: &TableStandIn, clock: &ManualClock, hour: u64) {
    wait_for_sweep(table).await;
    clock.advance(HOUR);
    wait_until(|| recorded_hour(table) == hour).await;
}

// An order was run, its response was lost, and the caller repeats it. Meanwhile a daemon whose wall
// clock was years ahead removed the key as expired, so that the order ran a second time. The wall
// clock of one daemon must not count for the retention.
#[tokio::test]
async fn a_clock_that_is_years_ahead_removes_no_key() {
    let (endpoint, table) = (ScriptedEndpoint::start().await, TableStandIn::new());
    let clock = Arc::new(ManualClock::new());
    clock.advance(Duration::from_secs(200 * 365 * 24 * 3600));
    let second = start_daemon(&endpoint, &table, false).await;
    assert_eq!(second.post_keyed("a", "k1").await.status, 200);
    let sweeping_gateway = start_sweeper(&endpoint, &table, &clock).await;
    wait_for_sweep(&table).await;
    assert_eq!(table.rows("request-keys/by-key/").len(), 1);
    // A jump of the clock while the daemon runs counts for at most one hour.
    clock.advance(Duration::from_secs(100 * 365 * 24 * 3600));
    wait_until(|| recorded_hour(&table) == 1).await;
    wait_for_sweep(&table).await;
    drop(sweeping_gateway);
    let again = second.post_keyed("a", "k1").await;
    assert_eq!(again.header("idempotency-replayed"), Some("true"));
    assert_eq!((endpoint.request_count(), recorded_hour(&table)), (1, 1));
}

// As above, but the daemon that received the order had its wall clock at 1970, so that its key was
// expired at once for a daemon with a correct clock.
#[tokio::test]
async fn a_key_reserved_by_a_clock_that_is_years_behind_is_kept() {
    let (endpoint, table) = (ScriptedEndpoint::start().await, TableStandIn::new());
    let behind = GatewayBuilder::new()
        .with_endpoint(&endpoint, 8)
        .with_table(&table)
        .with_shares(8..16)
        .with_clock(Arc::new(ManualClock::new()))
        .start()
        .await;
    assert_eq!(behind.post_keyed("a", "k1").await.status, 200);
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let right = Arc::new(ManualClock::new());
    right.advance(now.unwrap());
    let sweeping_gateway = start_sweeper(&endpoint, &table, &right).await;
    wait_for_sweep(&table).await;
    drop(sweeping_gateway);
    let again = behind.post_keyed("a", "k1").await;
    assert_eq!(again.header("idempotency-replayed"), Some("true"));
    assert_eq!(endpoint.request_count(), 1);
}

// During the takeover of a share two daemons believe that they must count the hours. Each counted
// the same hour, so that a key was removed after half of its retention and its order ran again.
#[tokio::test]
async fn two_daemons_that_count_concurrently_count_an_hour_once() {
    let (endpoint, table) = (ScriptedEndpoint::start().await, TableStandIn::new());
    let clock = Arc::new(ManualClock::new());
    let _both = (
        start_sweeper(&endpoint, &table, &clock).await,
        start_sweeper(&endpoint, &table, &clock).await,
    );
    for hour in 1..=20 {
        count_one_hour(&table, &clock, hour).await;
        wait_for_sweep(&table).await;
        assert_eq!(recorded_hour(&table), hour);
    }
}
