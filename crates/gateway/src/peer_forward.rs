//! Forwards a request to another daemon if this one has no slot of its service.

use std::time::Duration;

use http::{
    HeaderValue,
    Response, //
};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::{
    endpoint_connection::EndpointConnection,
    exchange::{
        AttemptPlan,
        EndpointRequest, //
    },
    gateway_state::GatewayState,
    header_names::FORWARDED,
    refusal::Refusal,
    request_trace::RequestTrace,
    response_body::ResponseBody,
    response_rules::forward_peer_response,
    route_snapshot::RequestClass,
};

/// The most peers that a request is offered to.
const MAX_PEERS_TRIED: usize = 3;
/// How much longer than its peer a daemon waits, so that the final response of the peer arrives
/// first.
const PEER_TIMEOUT_MARGIN: Duration = Duration::from_millis(250);

/// Why a peer did not respond.
enum PeerError {
    /// Nothing was sent; returns the request.
    Unsent(Box<EndpointRequest>),
    /// The request may have run.
    Unknown(Refusal),
}

/// Forwards a request to another daemon, which treats it like that of a caller but does not forward
/// it again.
///
/// Each request uses a new connection: forwarding is rare, and a new connection cannot have gone
/// silent. As for endpoints, a request is not sent again once a byte of it may have been written.
pub(crate) async fn forward_to_peer(
    shared: &GatewayState,
    class: &RequestClass,
    plan: AttemptPlan,
    trace: Option<&RequestTrace>,
    mut request: Box<EndpointRequest>,
) -> Result<Response<ResponseBody>, Refusal> {
    let forwarded_marker = HeaderValue::from_static("1");
    request.headers_mut().insert(&FORWARDED, forwarded_marker);
    let mut tried = Vec::new();
    while tried.len() < MAX_PEERS_TRIED {
        let Some(peer) = shared.peers.pick_peer(&class.entry.service, &tried) else {
            break;
        };
        tried.push(peer);
        let now = shared.clock.monotonic();
        let time_limit = plan
            .connect_timeout
            .min(plan.give_up_at.saturating_sub(now));
        let Ok(connection) = EndpointConnection::connect(peer, time_limit, now).await else {
            continue;
        };
        // The span ends when it is dropped.
        let _span =
            trace.map(|trace| trace.start_attempt_span(peer.to_string(), request.headers_mut()));
        match send_to_peer(shared, connection, request, plan).await {
            Ok(response) => return forward_peer_response(response, &shared.settings),
            Err(PeerError::Unsent(returned)) => request = returned,
            Err(PeerError::Unknown(refusal)) => return Err(refusal),
        }
    }
    Err(Refusal::NoEndpoint)
}

/// Sends the request on a new connection and waits for the head of the response.
async fn send_to_peer(
    shared: &GatewayState,
    mut connection: EndpointConnection,
    request: Box<EndpointRequest>,
    plan: AttemptPlan,
) -> Result<Response<Incoming>, PeerError> {
    let now = shared.clock.monotonic();
    let remaining = plan.give_up_at.saturating_sub(now) + PEER_TIMEOUT_MARGIN;
    let response = connection.sender.try_send_request(*request);
    match timeout(remaining, response).await {
        Err(_) => Err(PeerError::Unknown(Refusal::EndpointTimeout)),
        Ok(Ok(response)) => Ok(response),
        Ok(Err(mut error)) => Err(match error.take_message() {
            Some(request) => PeerError::Unsent(Box::new(request)),
            None => PeerError::Unknown(Refusal::EndpointFailed),
        }),
    }
}
