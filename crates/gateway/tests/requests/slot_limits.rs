//! No endpoint receives more requests or connections at once than it has slots for, from all
//! daemons together.

use std::time::Duration;

use indexmap::IndexSet;
use jasminebend_base::{
    OwnerEpoch,
    ResourceId, //
};
use jasminebend_ports::{
    OwnershipView,
    ResourceUser, //
};
use jasminebend_standins::{
    FaultKind,
    OutageState, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};
use tokio::time::{
    sleep,
    timeout, //
};

use crate::support::{
    EndpointAction,
    GatewayBuilder,
    ScriptedEndpoint,
    TestGateway,
    open_and_send,
    wait_until,
    wait_until_answered, //
};

const REQUEST_TIMEOUT: Duration = Duration::from_millis(100);
/// The longest request. The endpoint works on each for much less.
const LONGEST_REQUEST: Duration = Duration::from_millis(400);
const HOUR: Duration = Duration::from_secs(3600);

/// Returns a builder whose requests time out after 100 ms.
fn builder_with_short_timeout(endpoint: &ScriptedEndpoint, slots: u16) -> GatewayBuilder {
    GatewayBuilder::new()
        .with_endpoint(endpoint, slots)
        .with_target(REQUEST_TIMEOUT)
        .with_settings(|settings| settings.with_request_timeout(1, REQUEST_TIMEOUT))
}

// Two daemons, each with half of the shares, receive 40 requests at once for an endpoint of 4
// slots. If each counted only its own requests, the endpoint would receive up to 8 at once and slow
// down for all of them.
#[tokio::test]
async fn two_daemons_together_stay_within_the_slots() {
    let endpoint = ScriptedEndpoint::start().await;
    endpoint.set_default_action(EndpointAction::Hold);
    let build = || GatewayBuilder::new().with_endpoint(&endpoint, 4);
    let first = build().with_shares(0..8).start().await;
    let second = build().with_shares(8..16).start().await;
    let pending_replies: Vec<_> = (0..20)
        .flat_map(|id| {
            [
                first.spawn_post(&format!("a{id}")),
                second.spawn_post(&format!("b{id}")),
            ]
        })
        .collect();
    wait_until(|| endpoint.log().running_requests == 4).await;
    endpoint.release();
    for reply in pending_replies {
        assert_eq!(reply.await.unwrap().status, 200);
    }
    let log = endpoint.log();
    assert_eq!(log.max_running_requests, 4);
    assert!(log.max_open_connections <= 4);
}

// A request times out while the endpoint still works on it. If its slot were given to the next
// request at once, the endpoint would work on two with one slot.
#[tokio::test]
async fn the_slot_of_a_request_that_timed_out_is_not_reused() {
    let endpoint = ScriptedEndpoint::start().await;
    endpoint.set_default_action(EndpointAction::Hold);
    let gateway = builder_with_short_timeout(&endpoint, 1).start().await;
    let late = gateway.post("a").await;
    assert_eq!((late.status, late.executed()), (504, Some("unknown")));
    let next = gateway.post("b").await;
    assert_eq!((next.status, next.executed()), (503, Some("no")));
    assert_eq!(endpoint.request_count(), 1);
    endpoint.release();
    wait_until_answered(async || gateway.post("c").await).await;
    assert_eq!(endpoint.log().max_running_requests, 1);
}

// A caller closes its connection while the endpoint works. The response is no longer needed, but
// the slot is still in use.
#[tokio::test]
async fn the_slot_of_a_caller_that_disconnected_is_not_reused() {
    let endpoint = ScriptedEndpoint::start().await;
    endpoint.set_default_action(EndpointAction::Hold);
    let gateway = builder_with_short_timeout(&endpoint, 1).start().await;
    let caller = open_and_send(gateway.address, "GET /a HTTP/1.1\r\nhost: shop\r\n\r\n").await;
    wait_until(|| endpoint.request_count() == 1).await;
    drop(caller);
    assert_eq!(gateway.post("b").await.executed(), Some("no"));
    assert_eq!(endpoint.request_count(), 1);
    endpoint.release();
    wait_until_answered(async || gateway.post("c").await).await;
    assert_eq!(endpoint.log().max_running_requests, 1);
}

// The endpoint closes the connection without a complete response. It may have crashed, or a
// middlebox may have closed the connection while the endpoint works on: the outcome is unknown and
// the slot must not be reused yet.
#[tokio::test]
async fn the_slot_of_an_aborted_exchange_is_not_reused_for_the_longest_request() {
    for action in [
        EndpointAction::Close(""),
        EndpointAction::Close("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab"),
    ] {
        let endpoint = ScriptedEndpoint::start().await;
        endpoint.push_action(action);
        let builder = builder_with_short_timeout(&endpoint, 1);
        let gateway = builder
            .with_settings(|settings| settings.with_longest_request(3 * REQUEST_TIMEOUT))
            .start()
            .await;
        gateway.post("a").await;
        assert_eq!(gateway.post("b").await.executed(), Some("no"));
        sleep(4 * REQUEST_TIMEOUT).await;
        wait_until_answered(async || gateway.post("c").await).await;
    }
}

// A share was taken over from a daemon that terminated. The last requests of that daemon may still
// run, so that the slots must stay unused for the idle time of the share.
#[tokio::test]
async fn a_share_taken_over_stays_idle_for_its_idle_time() {
    let endpoint = ScriptedEndpoint::start().await;
    let builder = GatewayBuilder::new().with_endpoint(&endpoint, 4);
    let gateway = builder.with_shares(0..0).start().await;
    gateway.hold_shares(0..16, HOUR);
    sleep(3 * REQUEST_TIMEOUT).await;
    let refused = gateway.post("a").await;
    assert_eq!((refused.status, refused.executed()), (503, Some("no")));
    assert_eq!(endpoint.request_count(), 0);
    gateway.hold_shares(0..16, Duration::ZERO);
    wait_until_answered(async || gateway.post("b").await).await;
}

// A daemon is paused between picking a slot and sending the request. Meanwhile its shares moved to
// another daemon, which only a check immediately before the send detects.
#[tokio::test]
async fn a_daemon_that_lost_its_shares_sends_no_request() {
    let endpoint = ScriptedEndpoint::start().await;
    let builder = GatewayBuilder::new().with_endpoint(&endpoint, 4);
    let gateway = builder
        .with_settings(|settings| settings.with_refresh_interval(HOUR))
        .start()
        .await;
    assert_eq!(gateway.post("a").await.status, 200);
    gateway.release_shares(0..16);
    assert_eq!(gateway.post("b").await.executed(), Some("no"));
    // Lost and taken back in between: the new epoch may require an idle time first.
    gateway.hold_shares(0..16, HOUR);
    assert_eq!(gateway.post("c").await.executed(), Some("no"));
    assert_eq!(endpoint.request_count(), 1);
}

// A new daemon takes a seat, and for a moment no daemon may act on any share. Requests that arrive
// or are about to be sent in that moment are answered a little later, and not refused by all
// daemons.
#[tokio::test]
async fn requests_wait_while_shares_are_briefly_lost() {
    let endpoint = ScriptedEndpoint::start().await;
    let builder = GatewayBuilder::new().with_endpoint(&endpoint, 4);
    let gateway = builder
        .with_settings(|settings| settings.with_refresh_interval(Duration::from_millis(10)))
        .start()
        .await;
    for round in 0..5 {
        gateway.release_shares(0..16);
        let pending_replies: Vec<_> = (0..6)
            .map(|id| gateway.spawn_post(&format!("{round}-{id}")))
            .collect();
        sleep(Duration::from_millis(40)).await;
        gateway.hold_shares(0..16, Duration::ZERO);
        for reply in pending_replies {
            assert_eq!(reply.await.unwrap().status, 200);
        }
    }
}

// A share is released while a request is in progress on it. If the daemon reported it idle before
// the response, the next holder would send a second request to the same slot.
#[tokio::test]
async fn a_share_is_idle_only_when_its_requests_are_answered() {
    let endpoint = ScriptedEndpoint::start().await;
    endpoint.set_default_action(EndpointAction::Hold);
    let builder = GatewayBuilder::new().with_endpoint(&endpoint, 16);
    let gateway = builder.start().await;
    let pending_replies: Vec<_> = (0..16)
        .map(|id| gateway.spawn_post(&id.to_string()))
        .collect();
    wait_until(|| endpoint.log().running_requests == 16).await;
    gateway.release_shares(0..16);
    let idle = gateway.gateway.wait_idle(ResourceId::Slots(3));
    assert!(timeout(REQUEST_TIMEOUT, idle).await.is_err());
    endpoint.release();
    for reply in pending_replies {
        assert_eq!(reply.await.unwrap().status, 200);
    }
    for share in 0..16 {
        gateway.gateway.wait_idle(ResourceId::Slots(share)).await;
    }
    wait_until(|| endpoint.log().open_connections == 0).await;
}

// The table is unavailable. Requests without idempotency keys do not need it, and are still
// answered within the held slots.
#[tokio::test]
async fn requests_are_answered_without_the_table() {
    let endpoint = ScriptedEndpoint::start().await;
    let builder = GatewayBuilder::new().with_endpoint(&endpoint, 1);
    let gateway = builder.start().await;
    let down = OutageState::Down(FaultKind::Unreachable);
    gateway.table.faults().set_outage(down);
    assert_eq!(gateway.post("a").await.status, 200);
}

// Connections go silent repeatedly. The endpoint does not see them close, and counts them until its
// own timeout: replacing them without a limit would use up its connections.
#[tokio::test]
async fn silent_connections_are_replaced_within_the_endpoints_limit() {
    let endpoint = ScriptedEndpoint::start().await;
    let gateway = builder_with_short_timeout(&endpoint, 1)
        .with_settings(|settings| settings.with_max_connection_silence(Duration::ZERO))
        .start()
        .await;
    for id in 0..30 {
        gateway.post(&id.to_string()).await;
        endpoint.silence_open_connections();
    }
    let accepted_count = endpoint.log().accepted_connections;
    assert!(
        (2..=8).contains(&accepted_count),
        "{accepted_count} connections"
    );
}

// Bookings are infrequent, so that the connection of the slot is idle for too long before each of
// them. If a healthy connection were replaced each time, the limit would soon be reached and every
// such slot would become unusable.
#[tokio::test]
async fn infrequent_bookings_do_not_exhaust_the_connections() {
    let endpoint = ScriptedEndpoint::start().await;
    let builder = GatewayBuilder::new().with_endpoint(&endpoint, 1);
    let gateway = builder
        .with_settings(|settings| settings.with_max_connection_silence(Duration::ZERO))
        .start()
        .await;
    for id in 0..30 {
        assert_eq!(gateway.post(&id.to_string()).await.status, 200);
    }
    assert!(endpoint.log().accepted_connections <= 8);
}

// Shares move among three daemons all the time, by release or by takeover, while the endpoint works
// for longer than some requests wait and closes some connections. In any order of these events, the
// endpoint works on no more requests than it has slots.
#[tokio::test]
async fn moving_shares_never_exceed_an_endpoints_slots() {
    for seed in 0..3 {
        move_shares(seed, &[4]).await;
    }
}

/// Guards against a second request on a slot that stays unseen while other slots of its endpoint
/// are unused.
#[tokio::test]
async fn moving_shares_never_exceed_the_slot_of_an_endpoint_with_one() {
    for seed in 0..3 {
        move_shares(seed, &[1; 4]).await;
    }
}

/// Sends requests to endpoints with these numbers of slots, while their shares move among three
/// daemons.
async fn move_shares(seed: u64, slot_counts: &[u16]) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut endpoints = Vec::new();
    for _ in slot_counts {
        endpoints.push(ScriptedEndpoint::start().await);
    }
    let mut gateways = Vec::new();
    for _ in 0..3 {
        gateways.push(start_without_shares(&endpoints, slot_counts).await);
    }
    for share in 0..16 {
        gateways[usize::from(share) % 3].hold_shares(share..share + 1, Duration::ZERO);
    }
    let mut owners: Vec<usize> = (0..16).map(|share| share % 3).collect();
    let mut pending_replies = Vec::new();
    for id in 0..600 {
        let action = match rng.random_range(0..4) {
            0 => EndpointAction::Close(""),
            _ => EndpointAction::Work(Duration::from_millis(rng.random_range(1..50))),
        };
        for endpoint in &endpoints {
            endpoint.set_default_action(action.clone());
        }
        pending_replies.push(gateways[id % 3].spawn_post(&id.to_string()));
        let share = rng.random_range(0..16_u16);
        let owner = &mut owners[usize::from(share)];
        let stays_idle = gateways[*owner].must_stay_idle(share);
        // Rebalancing leaves such a share alone; only a daemon that ends hands it over.
        if !stays_idle || rng.random_bool(0.03) {
            gateways[*owner].release_shares(share..share + 1);
            let mut idle = LONGEST_REQUEST;
            if rng.random_bool(0.7) {
                let released = gateways[*owner].gateway.wait_idle(ResourceId::Slots(share));
                idle = match timeout(Duration::from_millis(5), released).await {
                    Ok(()) if !stays_idle => Duration::ZERO,
                    Ok(()) | Err(_) => LONGEST_REQUEST,
                };
            }
            *owner = rng.random_range(0..3);
            hold_after_idle(&gateways[*owner], share, OwnerEpoch(id as u64 + 2), idle);
        }
        sleep(Duration::from_millis(2)).await;
    }
    for reply in pending_replies {
        reply.await.unwrap();
    }
    for (endpoint, slots) in endpoints.iter().zip(slot_counts) {
        assert_within_slots(endpoint, *slots, seed);
    }
    assert_each_ran_once(&endpoints, seed);
}

/// Starts a daemon without shares whose requests soon time out.
async fn start_without_shares(endpoints: &[ScriptedEndpoint], slot_counts: &[u16]) -> TestGateway {
    let mut builder = GatewayBuilder::new()
        .with_shares(0..0)
        .with_target(REQUEST_TIMEOUT)
        .with_settings(|settings| {
            settings
                .with_request_timeout(1, Duration::from_millis(30))
                .with_longest_request(LONGEST_REQUEST)
                .with_refresh_interval(Duration::from_millis(5))
        });
    for (endpoint, slots) in endpoints.iter().zip(slot_counts) {
        builder = builder.with_endpoint(endpoint, *slots);
    }
    builder.start().await
}

/// Checks that an endpoint never had more requests or connections than it has slots for.
fn assert_within_slots(endpoint: &ScriptedEndpoint, slots: u16, seed: u64) {
    let log = endpoint.log();
    assert!(
        log.max_running_requests <= usize::from(slots),
        "seed {seed}: {}",
        log.max_running_requests
    );
    assert!(
        log.max_open_connections <= usize::from(slots) * 8,
        "seed {seed}"
    );
}

/// Checks that no request ran twice, on whatever endpoints.
fn assert_each_ran_once(endpoints: &[ScriptedEndpoint], seed: u64) {
    let mut ids = IndexSet::new();
    for endpoint in endpoints {
        for (id, runs) in &endpoint.log().runs_by_request_id {
            assert!(*runs == 1 && ids.insert(id.clone()), "seed {seed}: {id}");
        }
    }
}

/// Makes a daemon hold a share that must first stay idle for some time.
fn hold_after_idle(gateway: &TestGateway, share: u16, epoch: OwnerEpoch, idle: Duration) {
    let resource = ResourceId::Slots(share);
    let ownership = gateway.ownership.clone();
    ownership.set_owned(resource, epoch, idle);
    tokio::spawn(async move {
        sleep(idle).await;
        if ownership.may_act(resource) == Some(epoch) {
            ownership.set_owned(resource, epoch, Duration::ZERO);
        }
    });
}
