//! What leaves gets nothing new within 3 s, and ends what it has on its own.

use std::{
    sync::Arc,
    time::Duration, //
};

use jasminebend_base::{
    DomainState,
    VmState, //
};
use tokio::time::sleep;

use crate::support::{
    Act,
    GatewayBuilder,
    ScriptEndpoint,
    TestGateway, //
};

const SOON: Duration = Duration::from_secs(1);

async fn two_domains() -> (ScriptEndpoint, ScriptEndpoint, TestGateway) {
    let (east, west) = (ScriptEndpoint::start().await, ScriptEndpoint::start().await);
    let gateway = GatewayBuilder::new()
        .with_endpoint(&east, 8)
        .with_endpoint_in(west.address, 8, "west")
        .start()
        .await;
    (east, west, gateway)
}

async fn assert_nothing_new(endpoint: &ScriptEndpoint, gateway: &TestGateway) {
    sleep(SOON).await;
    let before = endpoint.seen();
    for id in 0..40 {
        assert_eq!(gateway.post(&format!("n{id}")).await.status, 200);
    }
    assert_eq!(endpoint.seen(), before);
}

/// Has the first endpoint work on one request, and then `leave`.
async fn leave_with_work<Leave>(leave: Leave)
where
    Leave: FnOnce(&TestGateway, &ScriptEndpoint),
{
    let (east, west, gateway) = two_domains().await;
    east.always(Act::Hold);
    let mut held = Vec::new();
    while east.seen() == 0 {
        held.push(gateway.post_later(&format!("h{}", held.len())));
        sleep(Duration::from_millis(20)).await;
    }
    leave(&gateway, &east);
    assert_nothing_new(&east, &gateway).await;
    east.release();
    for reply in held {
        assert_eq!(reply.await.unwrap().status, 200);
    }
    drop(west);
}

// The platform is about to stop a VM. What it works on is answered, and nothing new is sent.
#[tokio::test]
async fn an_endpoint_listed_as_leaving_ends_its_requests_and_gets_no_new_ones() {
    leave_with_work(|gateway, _| {
        gateway.change_vms(|vms| vms.vms[0].state = VmState::Leaving);
    })
    .await;
}

// The VM is gone from the list, which lags: what it still works on is waited for all the same.
#[tokio::test]
async fn an_endpoint_no_longer_listed_ends_its_requests_and_gets_no_new_ones() {
    leave_with_work(|gateway, _| gateway.change_vms(|vms| drop(vms.vms.remove(0)))).await;
}

// Operators take a failure domain out.
#[tokio::test]
async fn a_domain_taken_out_ends_its_requests_and_gets_no_new_ones() {
    leave_with_work(|gateway, _| {
        gateway.configuration.send_modify(|configuration| {
            Arc::make_mut(configuration).domains[0].state = DomainState::Out;
        });
    })
    .await;
}

// An endpoint says itself that it ends, with its last answers. The VM list, which lags, still calls
// it live: heeded too late, requests would meet a closed door.
#[tokio::test]
async fn an_endpoint_that_announces_its_end_gets_no_new_requests() {
    for last in [
        "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 503 Leaving\r\nretry-after: 30\r\ncontent-length: 0\r\n\r\n",
    ] {
        let (east, _west, gateway) = two_domains().await;
        while east.seen() < 3 {
            gateway.post("a").await;
        }
        east.always(Act::Raw(last));
        let before = east.seen();
        while east.seen() == before {
            gateway.post("b").await;
        }
        assert_nothing_new(&east, &gateway).await;
    }
}

// Every endpoint of a service closes each connection now and then, as some servers do. That is no
// announcement of all their ends: the service goes on.
#[tokio::test]
async fn a_service_that_closes_connections_as_a_habit_goes_on() {
    let (east, west, gateway) = two_domains().await;
    for endpoint in [&east, &west] {
        endpoint.once(Act::Answer).once(Act::Answer);
        endpoint.always(Act::Close(
            "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 0\r\n\r\n",
        ));
    }
    for id in 0..40 {
        assert_eq!(gateway.post(&id.to_string()).await.status, 200);
    }
}
