//! No endpoint ever sees more than its slots or connections, from all daemons together.

use std::time::Duration;

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
/// Far longer than the endpoint works on anything.
const LONGEST_REQUEST: Duration = Duration::from_millis(400);
const HOUR: Duration = Duration::from_secs(3600);

/// A builder whose requests are given up after 100 ms.
fn builder_with_short_timeout(endpoint: &ScriptedEndpoint, slots: u16) -> GatewayBuilder {
    GatewayBuilder::new()
        .with_endpoint(endpoint, slots)
        .with_target(REQUEST_TIMEOUT)
        .with_settings(|settings| settings.with_request_timeout(1, REQUEST_TIMEOUT))
}

// Two daemons, each with half of the shares, get 40 requests at once for an endpoint of 4 slots.
// Were each to count only its own requests, the endpoint would see up to 8 and slow down for all.
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

// A request times out at its caller while the endpoint still works on it. Were its slot given to
// the next one at once, the endpoint would work on two with one slot.
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

// A caller closes its connection while the endpoint works. Nobody waits for the answer any more,
// but the endpoint is as busy as before.
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

// The endpoint closes the connection without an answer. It may have crashed, or something between
// may have cut the connection while the endpoint works on: its slot is of unknown fate.
#[tokio::test]
async fn the_slot_of_an_aborted_exchange_is_not_reused_for_the_longest_request() {
    for act in [
        EndpointAction::Close(""),
        EndpointAction::Close("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab"),
    ] {
        let endpoint = ScriptedEndpoint::start().await;
        endpoint.push_action(act);
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

// A share was taken over from a daemon that died. Its last requests may still run, so that its
// slots must stay empty for as long as the ownership says.
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

// A daemon is paused between picking a slot and sending. Meanwhile its shares went to another one:
// what it knew when it picked no longer holds, and only a look immediately before the send tells.
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
    // Lost and taken back in between: the new epoch may have to be idle first.
    gateway.hold_shares(0..16, HOUR);
    assert_eq!(gateway.post("c").await.executed(), Some("no"));
    assert_eq!(endpoint.request_count(), 1);
}

// A new daemon takes a seat, and for a moment no daemon may act on anything. A request that comes
// just then, or was about to be sent, is answered a moment later and not refused by all of them.
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

// A share is given back while a request is in progress on it. If the daemon said "idle" before the
// answer, the next holder would send a second request to the same slot.
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

// The table is down. Requests do not need it, and must go on within the slots that are held.
#[tokio::test]
async fn requests_are_answered_without_the_table() {
    let endpoint = ScriptedEndpoint::start().await;
    let builder = GatewayBuilder::new().with_endpoint(&endpoint, 1);
    let gateway = builder.start().await;
    let down = OutageState::Down(FaultKind::Unreachable);
    gateway.table.faults().set_outage(down);
    assert_eq!(gateway.post("a").await.status, 200);
}

// Connections go silent again and again. The endpoint never sees their ends, and counts them until
// its own time-out: replacing them without bound would take all the connections that it has.
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

// Bookings are rare, so that each finds its slot's connection quiet. Replacing a healthy one each
// time would soon use up the bound, and once left every such slot unusable.
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

// Shares move among three daemons all the time, given back or taken over from one that is gone,
// while the endpoint works for longer than some requests wait and closes some connections. Whatever
// the order of it all, the endpoint works on no more than its slots.
#[tokio::test]
async fn moving_shares_never_exceed_an_endpoints_slots() {
    for seed in 0..3 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let endpoint = ScriptedEndpoint::start().await;
        let mut gateways = Vec::new();
        for _ in 0..3 {
            let builder = builder_with_short_timeout(&endpoint, 4).with_shares(0..0);
            let builder = builder.with_settings(|settings| {
                settings
                    .with_request_timeout(1, Duration::from_millis(30))
                    .with_longest_request(LONGEST_REQUEST)
                    .with_refresh_interval(Duration::from_millis(5))
            });
            gateways.push(builder.start().await);
        }
        for share in 0..16 {
            gateways[usize::from(share) % 3].hold_shares(share..share + 1, Duration::ZERO);
        }
        let mut owners: Vec<usize> = (0..16).map(|share| share % 3).collect();
        let mut pending_replies = Vec::new();
        for id in 0..150 {
            endpoint.set_default_action(match rng.random_range(0..4) {
                0 => EndpointAction::Close(""),
                _ => EndpointAction::Work(Duration::from_millis(rng.random_range(1..50))),
            });
            pending_replies.push(gateways[id % 3].spawn_post(&id.to_string()));
            let share = rng.random_range(0..16_u16);
            let owner = &mut owners[usize::from(share)];
            gateways[*owner].release_shares(share..share + 1);
            let mut idle = LONGEST_REQUEST;
            if rng.random_bool(0.7) {
                let released = gateways[*owner].gateway.wait_idle(ResourceId::Slots(share));
                idle = match timeout(Duration::from_millis(5), released).await {
                    Ok(()) => Duration::ZERO,
                    Err(_) => LONGEST_REQUEST,
                };
            }
            *owner = rng.random_range(0..3);
            hold_after_idle(&gateways[*owner], share, OwnerEpoch(id as u64 + 2), idle);
            sleep(Duration::from_millis(2)).await;
        }
        for reply in pending_replies {
            reply.await.unwrap();
        }
        let log = endpoint.log();
        assert!(
            log.max_running_requests <= 4,
            "seed {seed}: {}",
            log.max_running_requests
        );
        assert!(log.max_open_connections <= 32, "seed {seed}");
        assert!(
            log.runs_by_request_id
                .values()
                .all(|runs_by_request_id| *runs_by_request_id == 1),
            "seed {seed}"
        );
    }
}

/// Holds a share that must first stay idle for some time.
fn hold_after_idle(gateway: &TestGateway, share: u16, epoch: OwnerEpoch, idle: Duration) {
    let resource = ResourceId::Slots(share);
    let ownership = gateway.ownership.clone();
    ownership.hold(resource, epoch, idle);
    tokio::spawn(async move {
        sleep(idle).await;
        if ownership.may_act(resource) == Some(epoch) {
            ownership.hold(resource, epoch, Duration::ZERO);
        }
    });
}
