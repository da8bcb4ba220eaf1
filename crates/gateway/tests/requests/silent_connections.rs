//! A connection that went silent is found and replaced.

use std::time::Duration;

use crate::support::{
    GatewayBuilder,
    ScriptedEndpoint,
    TestGateway, //
};

const TARGET: Duration = Duration::from_millis(400);

/// A gateway whose four connections to the endpoint are all open, and then lost track of.
async fn gateway_with_silent_connections(
    endpoint: &ScriptedEndpoint,
    max_silence: Duration,
) -> TestGateway {
    let gateway = GatewayBuilder::new()
        .with_endpoint(endpoint, 4)
        .with_target(TARGET)
        .with_settings(|settings| {
            settings
                .with_request_timeout(1, TARGET)
                .with_max_connection_silence(max_silence)
        })
        .start()
        .await;
    while endpoint.log().open_connections < 4 {
        let pending_replies: Vec<_> = (0..8)
            .map(|id| gateway.spawn_post(&format!("p{id}")))
            .collect();
        for reply in pending_replies {
            reply.await.unwrap();
        }
    }
    endpoint.silence_open_connections();
    gateway
}

// Something between the two ends lost track of every open connection. A query is sent into the
// void: a second attempt on a fresh connection answers it before its deadline.
#[tokio::test]
async fn a_query_on_a_silent_connection_is_answered_on_a_new_one() {
    let endpoint = ScriptedEndpoint::start().await;
    let gateway = gateway_with_silent_connections(&endpoint, Duration::ZERO).await;
    let mut missed = 0;
    for number in 0..20 {
        missed += usize::from(gateway.get(&format!("/{number}")).await.status != 200);
    }
    // Four connections are silent; the first miss makes the others suspect.
    assert!(missed <= 1, "{missed} queries missed");
}

// The same for bookings, which must not be sent twice: after the first one that missed its
// deadline, all the other silent connections are replaced before use.
#[tokio::test]
async fn at_most_one_booking_is_lost_to_silent_connections() {
    let endpoint = ScriptedEndpoint::start().await;
    let gateway = gateway_with_silent_connections(&endpoint, Duration::from_secs(3600)).await;
    let mut missed = 0;
    for number in 0..20 {
        let reply = gateway.post(&number.to_string()).await;
        missed += usize::from(reply.status != 200);
    }
    assert!(missed <= 1, "{missed} bookings missed");
}

// A connection was quiet for longer than it is trusted. A booking takes a fresh one, so that none
// at all is lost.
#[tokio::test]
async fn a_booking_is_not_sent_on_a_connection_silent_for_too_long() {
    let endpoint = ScriptedEndpoint::start().await;
    let gateway = gateway_with_silent_connections(&endpoint, Duration::ZERO).await;
    for number in 0..8 {
        assert_eq!(gateway.post(&number.to_string()).await.status, 200);
    }
}
