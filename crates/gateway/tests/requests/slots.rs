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
    Act,
    GatewayBuilder,
    ScriptEndpoint,
    TestGateway,
    eventually,
    send,
    until_answered, //
};

const SHORT: Duration = Duration::from_millis(100);
/// Far longer than the endpoint works on anything.
const LONGEST: Duration = Duration::from_millis(400);
const HOUR: Duration = Duration::from_secs(3600);

/// A builder whose requests are given up after 100 ms.
fn impatient(endpoint: &ScriptEndpoint, slots: u16) -> GatewayBuilder {
    GatewayBuilder::new()
        .with_endpoint(endpoint, slots)
        .with_target(SHORT)
        .with_settings(|settings| settings.with_request_timeout(1, SHORT))
}

// Two daemons, each with half of the shares, get 40 requests at once for an endpoint of 4 slots.
// Were each to count only its own requests, the endpoint would see up to 8 and slow down for all.
#[tokio::test]
async fn two_daemons_together_stay_within_the_slots() {
    let endpoint = ScriptEndpoint::start().await;
    endpoint.always(Act::Hold);
    let build = || GatewayBuilder::new().with_endpoint(&endpoint, 4);
    let first = build().with_shares(0..8).start().await;
    let second = build().with_shares(8..16).start().await;
    let asked: Vec<_> = (0..20)
        .flat_map(|id| {
            [
                first.post_later(&format!("a{id}")),
                second.post_later(&format!("b{id}")),
            ]
        })
        .collect();
    eventually(|| endpoint.ledger().running == 4).await;
    endpoint.release();
    for reply in asked {
        assert_eq!(reply.await.unwrap().status, 200);
    }
    let ledger = endpoint.ledger();
    assert_eq!(ledger.most_running, 4);
    assert!(ledger.most_connections <= 4);
}

// A request times out at its caller while the endpoint still works on it. Were its slot given to
// the next one at once, the endpoint would work on two with one slot.
#[tokio::test]
async fn the_slot_of_a_request_that_timed_out_stays_empty() {
    let endpoint = ScriptEndpoint::start().await;
    endpoint.always(Act::Hold);
    let gateway = impatient(&endpoint, 1).start().await;
    let late = gateway.post("a").await;
    assert_eq!((late.status, late.executed()), (504, Some("unknown")));
    let next = gateway.post("b").await;
    assert_eq!((next.status, next.executed()), (503, Some("no")));
    assert_eq!(endpoint.seen(), 1);
    endpoint.release();
    until_answered(async || gateway.post("c").await).await;
    assert_eq!(endpoint.ledger().most_running, 1);
}

// A caller closes its connection while the endpoint works. Nobody waits for the answer any more,
// but the endpoint is as busy as before.
#[tokio::test]
async fn the_slot_of_a_caller_that_left_stays_empty() {
    let endpoint = ScriptEndpoint::start().await;
    endpoint.always(Act::Hold);
    let gateway = impatient(&endpoint, 1).start().await;
    let caller = send(gateway.address, "GET /a HTTP/1.1\r\nhost: shop\r\n\r\n").await;
    eventually(|| endpoint.seen() == 1).await;
    drop(caller);
    assert_eq!(gateway.post("b").await.executed(), Some("no"));
    assert_eq!(endpoint.seen(), 1);
    endpoint.release();
    until_answered(async || gateway.post("c").await).await;
    assert_eq!(endpoint.ledger().most_running, 1);
}

// The endpoint closes the connection without an answer. It may have crashed, or something between
// may have cut the connection while the endpoint works on: its slot is of unknown fate.
#[tokio::test]
async fn the_slot_of_a_cut_exchange_stays_empty_for_the_longest_request() {
    for act in [
        Act::Close(""),
        Act::Close("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab"),
    ] {
        let endpoint = ScriptEndpoint::start().await;
        endpoint.once(act);
        let builder = impatient(&endpoint, 1);
        let gateway = builder
            .with_settings(|settings| settings.with_longest_request(3 * SHORT))
            .start()
            .await;
        gateway.post("a").await;
        assert_eq!(gateway.post("b").await.executed(), Some("no"));
        sleep(4 * SHORT).await;
        until_answered(async || gateway.post("c").await).await;
    }
}

// A share was taken over from a daemon that died. Its last requests may still run, so that its
// slots must stay empty for as long as the ownership says.
#[tokio::test]
async fn a_share_taken_over_stays_idle_for_its_time() {
    let endpoint = ScriptEndpoint::start().await;
    let builder = GatewayBuilder::new().with_endpoint(&endpoint, 4);
    let gateway = builder.with_shares(0..0).start().await;
    gateway.hold(0..16, HOUR);
    sleep(3 * SHORT).await;
    let refused = gateway.post("a").await;
    assert_eq!((refused.status, refused.executed()), (503, Some("no")));
    assert_eq!(endpoint.seen(), 0);
    gateway.hold(0..16, Duration::ZERO);
    until_answered(async || gateway.post("b").await).await;
}

// A daemon is paused between picking a slot and sending. Meanwhile its shares went to another one:
// what it knew when it picked no longer holds, and only a look immediately before the send tells.
#[tokio::test]
async fn a_daemon_that_lost_its_shares_sends_nothing() {
    let endpoint = ScriptEndpoint::start().await;
    let builder = GatewayBuilder::new().with_endpoint(&endpoint, 4);
    let gateway = builder
        .with_settings(|settings| settings.with_refresh_interval(HOUR))
        .start()
        .await;
    assert_eq!(gateway.post("a").await.status, 200);
    gateway.lose(0..16);
    assert_eq!(gateway.post("b").await.executed(), Some("no"));
    // Lost and taken back in between: the new epoch may have to be idle first.
    gateway.hold(0..16, HOUR);
    assert_eq!(gateway.post("c").await.executed(), Some("no"));
    assert_eq!(endpoint.seen(), 1);
}

// A new daemon takes a seat, and for a moment no daemon may act on anything. A request that comes
// just then, or was about to be sent, is answered a moment later and not refused by all of them.
#[tokio::test]
async fn a_moment_without_shares_is_waited_out() {
    let endpoint = ScriptEndpoint::start().await;
    let builder = GatewayBuilder::new().with_endpoint(&endpoint, 4);
    let gateway = builder
        .with_settings(|settings| settings.with_refresh_interval(Duration::from_millis(10)))
        .start()
        .await;
    for round in 0..5 {
        gateway.lose(0..16);
        let asked: Vec<_> = (0..6)
            .map(|id| gateway.post_later(&format!("{round}-{id}")))
            .collect();
        sleep(Duration::from_millis(40)).await;
        gateway.hold(0..16, Duration::ZERO);
        for reply in asked {
            assert_eq!(reply.await.unwrap().status, 200);
        }
    }
}

// A share is given back while a request is in progress on it. If the daemon said "idle" before the
// answer, the next holder would send a second request to the same slot.
#[tokio::test]
async fn a_share_is_idle_only_when_its_requests_are_answered() {
    let endpoint = ScriptEndpoint::start().await;
    endpoint.always(Act::Hold);
    let builder = GatewayBuilder::new().with_endpoint(&endpoint, 16);
    let gateway = builder.start().await;
    let asked: Vec<_> = (0..16)
        .map(|id| gateway.post_later(&id.to_string()))
        .collect();
    eventually(|| endpoint.ledger().running == 16).await;
    gateway.lose(0..16);
    let idle = gateway.gateway.wait_idle(ResourceId::Slots(3));
    assert!(timeout(SHORT, idle).await.is_err());
    endpoint.release();
    for reply in asked {
        assert_eq!(reply.await.unwrap().status, 200);
    }
    for share in 0..16 {
        gateway.gateway.wait_idle(ResourceId::Slots(share)).await;
    }
    eventually(|| endpoint.ledger().connections == 0).await;
}

// The table is down. Requests do not need it, and must go on within the slots that are held.
#[tokio::test]
async fn requests_go_on_without_the_table() {
    let endpoint = ScriptEndpoint::start().await;
    let builder = GatewayBuilder::new().with_endpoint(&endpoint, 1);
    let gateway = builder.start().await;
    let down = OutageState::Down(FaultKind::Unreachable);
    gateway.table.faults().set_outage(down);
    assert_eq!(gateway.post("a").await.status, 200);
}

// Connections go silent again and again. The endpoint never sees their ends, and counts them until
// its own time-out: replacing them without bound would take all the connections that it has.
#[tokio::test]
async fn silent_connections_are_replaced_within_the_endpoints_bound() {
    let endpoint = ScriptEndpoint::start().await;
    let gateway = impatient(&endpoint, 1)
        .with_settings(|settings| settings.with_max_connection_silence(Duration::ZERO))
        .start()
        .await;
    for id in 0..30 {
        gateway.post(&id.to_string()).await;
        endpoint.go_silent();
    }
    let accepted = endpoint.ledger().accepted;
    assert!((2..=8).contains(&accepted), "{accepted} connections");
}

// Bookings are rare, so that each finds its slot's connection quiet. Replacing a healthy one each
// time would soon use up the bound, and once left every such slot unusable.
#[tokio::test]
async fn rare_bookings_do_not_use_up_the_connections() {
    let endpoint = ScriptEndpoint::start().await;
    let builder = GatewayBuilder::new().with_endpoint(&endpoint, 1);
    let gateway = builder
        .with_settings(|settings| settings.with_max_connection_silence(Duration::ZERO))
        .start()
        .await;
    for id in 0..30 {
        assert_eq!(gateway.post(&id.to_string()).await.status, 200);
    }
    assert!(endpoint.ledger().accepted <= 8);
}

// Shares move among three daemons all the time, given back or taken over from one that is gone,
// while the endpoint works for longer than some requests wait and closes some connections. Whatever
// the order of it all, the endpoint works on no more than its slots.
#[tokio::test]
async fn moving_shares_never_overfill_an_endpoint() {
    for seed in 0..3 {
        let mut source = SmallRng::seed_from_u64(seed);
        let endpoint = ScriptEndpoint::start().await;
        let mut gateways = Vec::new();
        for _ in 0..3 {
            let builder = impatient(&endpoint, 4).with_shares(0..0);
            let builder = builder.with_settings(|settings| {
                settings
                    .with_request_timeout(1, Duration::from_millis(30))
                    .with_longest_request(LONGEST)
                    .with_refresh_interval(Duration::from_millis(5))
            });
            gateways.push(builder.start().await);
        }
        for share in 0..16 {
            gateways[usize::from(share) % 3].hold(share..share + 1, Duration::ZERO);
        }
        let mut owners: Vec<usize> = (0..16).map(|share| share % 3).collect();
        let mut asked = Vec::new();
        for id in 0..150 {
            endpoint.always(match source.random_range(0..4) {
                0 => Act::Close(""),
                _ => Act::Work(Duration::from_millis(source.random_range(1..50))),
            });
            asked.push(gateways[id % 3].post_later(&id.to_string()));
            let share = source.random_range(0..16_u16);
            let owner = &mut owners[usize::from(share)];
            gateways[*owner].lose(share..share + 1);
            let mut idle = LONGEST;
            if source.random_bool(0.7) {
                let given = gateways[*owner].gateway.wait_idle(ResourceId::Slots(share));
                idle = match timeout(Duration::from_millis(5), given).await {
                    Ok(()) => Duration::ZERO,
                    Err(_) => LONGEST,
                };
            }
            *owner = source.random_range(0..3);
            take_over(&gateways[*owner], share, OwnerEpoch(id as u64 + 2), idle);
            sleep(Duration::from_millis(2)).await;
        }
        for reply in asked {
            reply.await.unwrap();
        }
        let ledger = endpoint.ledger();
        assert!(
            ledger.most_running <= 4,
            "seed {seed}: {}",
            ledger.most_running
        );
        assert!(ledger.most_connections <= 32, "seed {seed}");
        assert!(ledger.runs.values().all(|runs| *runs == 1), "seed {seed}");
    }
}

/// Holds a share that must first stay idle for some time.
fn take_over(gateway: &TestGateway, share: u16, epoch: OwnerEpoch, idle: Duration) {
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
