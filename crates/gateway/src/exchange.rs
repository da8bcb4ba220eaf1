//! One attempt to have a request answered through a slot.

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

const MAX_CONNECTIONS_TRIED: usize = 2;
const CONNECTION_READY_TIMEOUT: Duration = Duration::from_millis(50);

/// A request on its way to an endpoint.
pub(crate) type EndpointRequest = Request<RequestBody>;

/// How an attempt is made.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptPlan {
    /// When the request is given up.
    pub(crate) give_up_at: Duration,
    /// How long a connection may take to open: a part of the target, so that there is time for
    /// another endpoint when a VM is gone and answers nothing.
    pub(crate) connect_timeout: Duration,
    /// Whether the request may run twice.
    pub(crate) idempotent: bool,
}

/// An answer whose body is still to come.
pub(crate) struct EndpointResponse {
    /// The answer.
    pub(crate) response: Response<Incoming>,
    /// The slot that it came through.
    pub(crate) lease: SlotLease,
    /// The connection that it came on.
    pub(crate) connection: EndpointConnection,
    /// From sending to the answer's head.
    pub(crate) latency: Duration,
}

/// Why an attempt brought no answer.
pub(crate) enum AttemptError {
    /// Not one byte was written; the request comes back.
    NotRun {
        /// What to tell the caller if it is not sent again.
        refusal: Refusal,
        /// The request.
        request: Box<EndpointRequest>,
    },
    /// Whether the endpoint ran it is not known.
    Unknown(Refusal),
}

/// Sends a request through a slot and waits for the head of its answer.
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
        // Asked immediately before the send: a daemon that was paused since it picked the slot
        // learns here that another one may have the slot by now.
        if shared.ownership.may_act(lease.grant.0) != Some(lease.grant.1) {
            lease.connection = Some(connection);
            // The next pick must not meet the other slots of what was lost.
            shared.refresh_requested.store(true, Ordering::Relaxed);
            let held = shared.held_shares();
            refresh_pool(lease.pool(), &held, shared.clock.monotonic());
            let refusal = Refusal::NoEndpoint;
            return Err(AttemptError::NotRun { refusal, request });
        }
        match send(shared, lease, connection, request, plan).await {
            Ok(answer) => return Ok(answer),
            Err(SendError::Unknown(refusal)) => return Err(AttemptError::Unknown(refusal)),
            Err(SendError::Unsent(returned_lease, returned_request)) => {
                (lease, request) = (returned_lease, returned_request)
            }
        }
    }
    let refusal = Refusal::Unconnected;
    Err(AttemptError::NotRun { refusal, request })
}

enum SendError {
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
    let answer = Box::pin(connection.sender.try_send_request(*request));
    let pending = PendingExchange::new(answer, lease, connection, sent_at);
    let left = plan.give_up_at.saturating_sub(sent_at);
    let Some((outcome, mut lease, mut connection)) = pending.wait(left).await else {
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

/// Tells a fault of the caller's body from one of the endpoint.
fn refusal_for(error: &hyper::Error) -> Refusal {
    let fault = error.source().and_then(|cause| cause.downcast_ref());
    match fault {
        Some(fault) => Refusal::BodyFailed(*fault),
        None => Refusal::EndpointFailed,
    }
}

/// Returns the slot's connection, or a new one where it has none that can be trusted.
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

/// Returns the slot's connection if it can be trusted with the request.
///
/// Something between the two ends may have lost track of a connection: what is sent on it then
/// vanishes, and a request that must not run twice could only be answered "unknown". So such a
/// request goes out only where the endpoint was heard from a moment ago, and none goes out on a
/// connection that was quiet since before another one was found silent.
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
    // A connection that is merely quiet is better than none: at a low rate each booking finds its
    // slot's connection quiet, and the endpoint may not have seen the ends of those before it.
    if !is_suspect && !state.may_connect(lease.key(), now, 1) {
        return Some(connection);
    }
    state
        .slot(lease.key())
        .add_lingering_connection(now + shared.settings.longest_request);
    None
}

async fn connect(
    shared: &GatewayState,
    lease: &mut SlotLease,
    plan: AttemptPlan,
) -> Option<EndpointConnection> {
    let now = shared.clock.monotonic();
    if !lease.pool().lock().may_connect(lease.key(), now, 0) {
        return None;
    }
    let left = plan.give_up_at.saturating_sub(now);
    let time_limit = plan.connect_timeout.min(left);
    EndpointConnection::connect(lease.address, time_limit, now)
        .await
        .ok()
}
