//! A connection that went silent is detected and replaced.

use std::time::Duration;

use crate::support::{
    GatewayBuilder,
    ScriptedEndpoint,
    TestGateway, //
};

const TARGET: Duration = Duration::from_millis(400);

/// Starts a gateway, opens all its four connections to the endpoint, and makes them silent.
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

// A middlebox lost track of all open connections. A query that is sent on one of them gets no
// response: a hedged attempt on a new connection answers it before its deadline.
#[tokio::test]
async fn a_query_on_a_silent_connection_is_answered_on_a_new_one() {
    let endpoint = ScriptedEndpoint::start().await;
    let gateway = gateway_with_silent_connections(&endpoint, Duration::ZERO).await;
    let mut missed = 0;
    for number in 0..20 {
        missed += usize::from(gateway.get(&format!("/{number}")).await.status != 200);
    }
    // Four connections are silent; after the first miss the others are replaced.
    assert!(missed <= 1, "{missed} queries missed");
}

// As above for bookings, which must not be sent twice: after the first one that missed its
// deadline, the other silent connections are replaced before use.
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

// A connection was silent for longer than `with_max_connection_silence` allows. A booking uses a
// new one, so that none is lost.
#[tokio::test]
async fn a_booking_is_not_sent_on_a_connection_silent_for_too_long() {
    let endpoint = ScriptedEndpoint::start().await;
    let gateway = gateway_with_silent_connections(&endpoint, Duration::ZERO).await;
    for number in 0..8 {
        assert_eq!(gateway.post(&number.to_string()).await.status, 200);
    }
}
