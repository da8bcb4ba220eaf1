//! An endpoint or failure domain that is leaving stops receiving new requests within 3 s (the tests
//! allow 1 s), and completes those in progress.

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
    EndpointAction,
    GatewayBuilder,
    ScriptedEndpoint,
    TestGateway, //
};

/// How long the gateway may take to stop sending new requests.
const PROPAGATION_TIME: Duration = Duration::from_secs(1);

async fn start_in_two_domains() -> (ScriptedEndpoint, ScriptedEndpoint, TestGateway) {
    let (east, west) = (
        ScriptedEndpoint::start().await,
        ScriptedEndpoint::start().await,
    );
    let gateway = GatewayBuilder::new()
        .with_endpoint(&east, 8)
        .with_endpoint_in(west.address, 8, "west")
        .start()
        .await;
    (east, west, gateway)
}

async fn assert_no_new_requests(endpoint: &ScriptedEndpoint, gateway: &TestGateway) {
    sleep(PROPAGATION_TIME).await;
    let count_before = endpoint.request_count();
    for id in 0..40 {
        assert_eq!(gateway.post(&format!("n{id}")).await.status, 200);
    }
    assert_eq!(endpoint.request_count(), count_before);
}

/// Makes the first endpoint work on one request, calls `leave`, and checks that the request
/// completes and that the endpoint receives no new ones.
async fn assert_completes_held_request<Leave>(leave: Leave)
where
    Leave: FnOnce(&TestGateway, &ScriptedEndpoint),
{
    let (east, west, gateway) = start_in_two_domains().await;
    east.set_default_action(EndpointAction::Hold);
    let mut held_replies = Vec::new();
    while east.request_count() == 0 {
        held_replies.push(gateway.spawn_post(&format!("h{}", held_replies.len())));
        sleep(Duration::from_millis(20)).await;
    }
    leave(&gateway, &east);
    assert_no_new_requests(&east, &gateway).await;
    east.release();
    for reply in held_replies {
        assert_eq!(reply.await.unwrap().status, 200);
    }
    drop(west);
}

// The platform is about to stop a VM. Its requests in progress are answered, and it receives no new
// ones.
#[tokio::test]
async fn an_endpoint_listed_as_leaving_completes_its_requests_and_gets_no_new_ones() {
    assert_completes_held_request(|gateway, _| {
        gateway.update_vms(|vms| vms.vms[0].state = VmState::Leaving);
    })
    .await;
}

// The VM is no longer in the list, which may lag: its requests in progress are still waited for.
#[tokio::test]
async fn an_endpoint_no_longer_listed_completes_its_requests_and_gets_no_new_ones() {
    assert_completes_held_request(|gateway, _| gateway.update_vms(|vms| drop(vms.vms.remove(0))))
        .await;
}

// An operator takes a failure domain out.
#[tokio::test]
async fn a_domain_taken_out_completes_its_requests_and_gets_no_new_ones() {
    assert_completes_held_request(|gateway, _| {
        gateway.configuration.send_modify(|configuration| {
            Arc::make_mut(configuration).domains[0].state = DomainState::Out;
        });
    })
    .await;
}

// An endpoint announces its shutdown with its last responses, while the VM list, which lags, still
// has it as live. If the announcement were ignored, requests would be sent to a closed port.
#[tokio::test]
async fn an_endpoint_that_announces_its_shutdown_gets_no_new_requests() {
    for last in [
        "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 503 Leaving\r\nretry-after: 30\r\ncontent-length: 0\r\n\r\n",
    ] {
        let (east, _west, gateway) = start_in_two_domains().await;
        while east.request_count() < 3 {
            gateway.post("a").await;
        }
        east.set_default_action(EndpointAction::Raw(last));
        let count_before = east.request_count();
        while east.request_count() == count_before {
            gateway.post("b").await;
        }
        assert_no_new_requests(&east, &gateway).await;
    }
}

// Every endpoint of a service closes each connection now and then, as some servers do. This must
// not be taken for the shutdown of all of them.
#[tokio::test]
async fn a_service_that_regularly_closes_connections_stays_available() {
    let (east, west, gateway) = start_in_two_domains().await;
    for endpoint in [&east, &west] {
        endpoint
            .push_action(EndpointAction::Answer)
            .push_action(EndpointAction::Answer);
        endpoint.set_default_action(EndpointAction::Close(
            "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 0\r\n\r\n",
        ));
    }
    for id in 0..40 {
        assert_eq!(gateway.post(&id.to_string()).await.status, 200);
    }
}
