//! One attempt to send a request through a slot.

use std::{
    error::Error,
    sync::atomic::Ordering,
    time::Duration, //
};

use http::{
    Request,
    Response, //
};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::{
    endpoint_connection::EndpointConnection,
    exchange_outcome::ExchangeOutcome,
    gateway_state::GatewayState,
    pending_exchange::PendingExchange,
    pool_refresh::refresh_pool,
    refusal::Refusal,
    request_body::RequestBody,
    slot_lease::SlotLease, //
};

/// The most connections tried in one attempt.
const MAX_CONNECTIONS_TRIED: usize = 2;
/// How long a kept connection may take to become ready; after that a new one is opened.
const CONNECTION_READY_TIMEOUT: Duration = Duration::from_millis(50);

/// A request as it is sent to an endpoint.
pub(crate) type EndpointRequest = Request<RequestBody>;

/// The deadlines of an attempt, and whether it may be repeated.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptPlan {
    /// The deadline of the request, on the monotonic clock.
    pub(crate) give_up_at: Duration,
    /// How long a connection may take to open: a part of the target, so that there is time to try
    /// another endpoint when a VM has terminated and does not respond.
    pub(crate) connect_timeout: Duration,
    /// Whether the request may run twice.
    pub(crate) idempotent: bool,
}

/// A response whose body is still to arrive.
pub(crate) struct EndpointResponse {
    /// The head and the pending body.
    pub(crate) response: Response<Incoming>,
    /// The slot through which it arrived.
    pub(crate) lease: SlotLease,
    /// The connection on which it arrived.
    pub(crate) connection: EndpointConnection,
    /// The time from sending the request to the head of the response.
    pub(crate) latency: Duration,
}

/// Why an attempt did not return a response.
pub(crate) enum AttemptError {
    /// Not one byte was written; returns the request.
    NotRun {
        /// The refusal for the caller if the request is not sent again.
        refusal: Refusal,
        /// The request.
        request: Box<EndpointRequest>,
    },
    /// The endpoint may have run the request.
    Unknown(Refusal),
}

/// Sends a request through a slot and waits for the head of the response.
pub(crate) async fn attempt(
    shared: &GatewayState,
    mut lease: SlotLease,
    mut request: Box<EndpointRequest>,
    plan: AttemptPlan,
) -> Result<EndpointResponse, AttemptError> {
    for _ in 0..MAX_CONNECTIONS_TRIED {
        let connection = match connection_for(shared, &mut lease, plan).await {
            Some(connection) => connection,
            None => {
                lease.release(ExchangeOutcome::Unconnected);
                let refusal = Refusal::Unconnected;
                return Err(AttemptError::NotRun { refusal, request });
            }
        };
        // Checked immediately before the request is sent: if this daemon was paused after it picked
        // the slot, another daemon may hold the share by now.
        if shared.ownership.may_act(lease.grant.0) != Some(lease.grant.1) {
            lease.connection = Some(connection);
            // Refreshed at once, so that the next pick does not return other slots of the lost
            // shares.
            shared.refresh_requested.store(true, Ordering::Relaxed);
            let held = shared.held_shares();
            refresh_pool(lease.pool(), &held, shared.clock.monotonic());
            let refusal = Refusal::NoEndpoint;
            return Err(AttemptError::NotRun { refusal, request });
        }
        match send(shared, lease, connection, request, plan).await {
            Ok(response) => return Ok(response),
            Err(SendError::Unknown(refusal)) => return Err(AttemptError::Unknown(refusal)),
            Err(SendError::Unsent(returned_lease, returned_request)) => {
                (lease, request) = (returned_lease, returned_request)
            }
        }
    }
    let refusal = Refusal::Unconnected;
    Err(AttemptError::NotRun { refusal, request })
}

/// Why a request that was passed to a connection has no response.
enum SendError {
    /// Nothing was sent; returns the slot and the request.
    Unsent(SlotLease, Box<EndpointRequest>),
    Unknown(Refusal),
}

async fn send(
    shared: &GatewayState,
    mut lease: SlotLease,
    mut connection: EndpointConnection,
    request: Box<EndpointRequest>,
    plan: AttemptPlan,
) -> Result<EndpointResponse, SendError> {
    lease.sent = true;
    let sent_at = shared.clock.monotonic();
    let response_future = Box::pin(connection.sender.try_send_request(*request));
    let pending = PendingExchange::new(response_future, lease, connection, sent_at);
    let remaining = plan.give_up_at.saturating_sub(sent_at);
    let Some((outcome, mut lease, mut connection)) = pending.wait(remaining).await else {
        return Err(SendError::Unknown(Refusal::EndpointTimeout));
    };
    match outcome {
        Ok(response) => {
            connection.last_received_at = shared.clock.monotonic();
            let latency = connection.last_received_at.saturating_sub(sent_at);
            Ok(EndpointResponse {
                response,
                lease,
                connection,
                latency,
            })
        }
        Err(mut error) => match error.take_message() {
            Some(request) => {
                lease.sent = false;
                Err(SendError::Unsent(lease, Box::new(request)))
            }
            None => Err(SendError::Unknown(refusal_for(error.error()))),
        },
    }
}

/// Returns the refusal for a failed send: an error in the body of the caller, or of the endpoint.
fn refusal_for(error: &hyper::Error) -> Refusal {
    let fault = error.source().and_then(|cause| cause.downcast_ref());
    match fault {
        Some(fault) => Refusal::BodyFailed(*fault),
        None => Refusal::EndpointFailed,
    }
}

/// Returns the connection of the slot, or a new one if it has none that can be trusted.
async fn connection_for(
    shared: &GatewayState,
    lease: &mut SlotLease,
    plan: AttemptPlan,
) -> Option<EndpointConnection> {
    if let Some(mut connection) = trusted_connection(shared, lease, plan) {
        if connection.sender.is_ready() {
            return Some(connection);
        }
        let ready = timeout(CONNECTION_READY_TIMEOUT, connection.sender.ready()).await;
        if matches!(ready, Ok(Ok(()))) {
            return Some(connection);
        }
    }
    connect(shared, lease, plan).await
}

/// Returns the connection of the slot if it can be trusted with the request.
///
/// A middlebox may have lost track of an idle connection: requests sent on it then vanish, and for
/// one that must not run twice the caller could only be told that the outcome is unknown. Such a
/// request is therefore sent only on a connection on which the endpoint sent something recently,
/// and no request is sent on a connection that has been silent since before another one was found
/// silent.
fn trusted_connection(
    shared: &GatewayState,
    lease: &mut SlotLease,
    plan: AttemptPlan,
) -> Option<EndpointConnection> {
    let connection = lease
        .connection
        .take()
        .filter(EndpointConnection::is_open)?;
    let now = shared.clock.monotonic();
    let silent_for = now.saturating_sub(connection.last_received_at);
    let max_silence = match plan.idempotent {
        true => shared.settings.endpoint_idle_timeout,
        false => shared.settings.max_connection_silence,
    };
    let is_suspect = lease.pool().is_suspect(connection.last_received_at);
    if silent_for <= max_silence && !is_suspect {
        return Some(connection);
    }
    let mut state = lease.pool().lock();
    // A connection that is only idle for too long is better than none: at a low rate of bookings
    // this is so for each of them, and the endpoint may still count the connections that were
    // replaced before.
    if !is_suspect && !state.may_connect(lease.key(), now, 1) {
        return Some(connection);
    }
    state
        .slot(lease.key())
        .add_lingering_connection(now + shared.settings.longest_request);
    None
}

/// Opens a connection for the slot, if its share of the connections of the endpoint allows one
/// more.
async fn connect(
    shared: &GatewayState,
    lease: &mut SlotLease,
    plan: AttemptPlan,
) -> Option<EndpointConnection> {
    let now = shared.clock.monotonic();
    if !lease.pool().lock().may_connect(lease.key(), now, 0) {
        return None;
    }
    let remaining = plan.give_up_at.saturating_sub(now);
    let time_limit = plan.connect_timeout.min(remaining);
    EndpointConnection::connect(lease.address, time_limit, now)
        .await
        .ok()
}
