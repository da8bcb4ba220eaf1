//! One attempt to have a request answered through a slot.

use std::{
    pin::Pin,
    sync::Arc,
    time::Duration, //
};

use http::{
    Request,
    Response, //
};
use http_body_util::BodyExt;
use hyper::{
    body::Incoming,
    client::conn::TrySendError, //
};
use tokio::{
    runtime::Handle,
    time::timeout, //
};

use crate::{
    endpoint_connection::EndpointConnection,
    endpoint_entry::SlotPhase,
    exchange_end::{
        AnswerVerdict,
        ExchangeEnd, //
    },
    gateway_shared::GatewayShared,
    refusal::Refusal,
    request_body::RequestBody,
    service_pool::ServicePool,
    slot_lease::SlotLease,
};

const MOST_CONNECTIONS_TRIED: usize = 2;
const READY_PATIENCE: Duration = Duration::from_millis(50);

/// A request on its way to an endpoint.
pub(crate) type EndpointRequest = Request<RequestBody>;

type SendOutcome = Result<Response<Incoming>, TrySendError<EndpointRequest>>;
type SendFuture = Pin<Box<dyn Future<Output = SendOutcome> + Send>>;

/// How an attempt is made.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptPlan {
    /// When the request is given up.
    pub(crate) give_up: Duration,
    /// Whether the request may run twice.
    pub(crate) idempotent: bool,
}

/// An answer whose body is still to come.
pub(crate) struct EndpointAnswer {
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

/// An exchange whose answer's head has not come. If it is dropped, because the caller left, the
/// time is over or another attempt was faster, the endpoint may still be working on it: a task
/// then waits for the answer on its behalf and gives the slot back no earlier.
struct PendingExchange {
    answer: Option<SendFuture>,
    lease: Option<SlotLease>,
    sent_at: Duration,
    suspected: bool,
}

impl PendingExchange {
    /// Makes connections that were quiet for as long as this one suspect, so that the next request
    /// does not meet the same end.
    fn suspect(&mut self, now: Duration) {
        let Some(lease) = self.lease.as_ref().filter(|_| !self.suspected) else {
            return;
        };
        let pool = lease.pool();
        if now.saturating_sub(self.sent_at) >= pool.suspicion_time() {
            pool.suspect(self.sent_at);
            self.suspected = true;
        }
    }
}

impl Drop for PendingExchange {
    fn drop(&mut self) {
        let (Some(answer), Some(lease)) = (self.answer.take(), self.lease.take()) else {
            return;
        };
        let Ok(handle) = Handle::try_current() else {
            return;
        };
        lease.pool().lock().slot(lease.key()).phase = SlotPhase::Stray;
        let suspicion = (!self.suspected).then_some(self.sent_at);
        handle.spawn(follow(answer, lease, self.sent_at, suspicion));
    }
}

/// Sends a request through a slot and waits for the head of its answer.
pub(crate) async fn attempt(
    shared: &GatewayShared,
    mut lease: SlotLease,
    mut request: Box<EndpointRequest>,
    plan: AttemptPlan,
) -> Result<EndpointAnswer, AttemptError> {
    for _ in 0..MOST_CONNECTIONS_TRIED {
        let connection = match open(shared, &mut lease, plan).await {
            Some(connection) => connection,
            None => {
                lease.end(ExchangeEnd::Unconnected);
                let refusal = Refusal::Unconnected;
                return Err(AttemptError::NotRun { refusal, request });
            }
        };
        // Asked immediately before the send: a daemon that was paused since it picked the slot
        // learns here that another one may have the slot by now.
        if shared.ownership.may_act(lease.grant.0) != Some(lease.grant.1) {
            lease.connection = Some(connection);
            let refusal = Refusal::NoEndpoint;
            return Err(AttemptError::NotRun { refusal, request });
        }
        match send(shared, lease, connection, request, plan).await {
            Ok(answer) => return Ok(answer),
            Err(SendError::Unknown(refusal)) => return Err(AttemptError::Unknown(refusal)),
            Err(SendError::Unsent(own, back)) => (lease, request) = (own, back),
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
    shared: &GatewayShared,
    mut lease: SlotLease,
    mut connection: EndpointConnection,
    request: Box<EndpointRequest>,
    plan: AttemptPlan,
) -> Result<EndpointAnswer, SendError> {
    lease.sent = true;
    let sent_at = shared.clock.monotonic();
    let mut pending = PendingExchange {
        answer: Some(Box::pin(connection.sender.try_send_request(*request))),
        lease: Some(lease),
        sent_at,
        suspected: false,
    };
    let left = plan.give_up.saturating_sub(sent_at);
    let Some(answer) = pending.answer.as_mut() else {
        return Err(SendError::Unknown(Refusal::EndpointFailed));
    };
    let Ok(outcome) = timeout(left, answer).await else {
        pending.suspect(shared.clock.monotonic());
        return Err(SendError::Unknown(Refusal::EndpointTimeout));
    };
    pending.answer = None;
    let Some(mut lease) = pending.lease.take() else {
        return Err(SendError::Unknown(Refusal::EndpointFailed));
    };
    match outcome {
        Ok(response) => {
            connection.last_heard = shared.clock.monotonic();
            let latency = connection.last_heard.saturating_sub(sent_at);
            Ok(EndpointAnswer {
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
            None => Err(SendError::Unknown(Refusal::EndpointFailed)),
        },
    }
}

/// Returns the slot's connection, or a new one where it has none that can be trusted.
async fn open(
    shared: &GatewayShared,
    lease: &mut SlotLease,
    plan: AttemptPlan,
) -> Option<EndpointConnection> {
    if let Some(mut connection) = trusted(shared, lease, plan) {
        if connection.sender.is_ready() {
            return Some(connection);
        }
        let ready = timeout(READY_PATIENCE, connection.sender.ready()).await;
        if matches!(ready, Ok(Ok(()))) {
            return Some(connection);
        }
    }
    dial(shared, lease, plan).await
}

/// Returns the slot's connection if it can be trusted with the request.
///
/// Something between the two ends may have lost track of a connection: what is sent on it then
/// vanishes, and a request that must not run twice could only be answered "unknown". So such a
/// request goes out only where the endpoint was heard from a moment ago, and none goes out on a
/// connection that was quiet since before another one was found silent.
fn trusted(
    shared: &GatewayShared,
    lease: &mut SlotLease,
    plan: AttemptPlan,
) -> Option<EndpointConnection> {
    let connection = lease
        .connection
        .take()
        .filter(EndpointConnection::is_open)?;
    let now = shared.clock.monotonic();
    let quiet = now.saturating_sub(connection.last_heard);
    let most_quiet = match plan.idempotent {
        true => shared.settings.endpoint_idle,
        false => shared.settings.trusted_silence,
    };
    let mut state = lease.pool().lock();
    if quiet <= most_quiet && connection.last_heard >= state.suspect_before {
        return Some(connection);
    }
    state
        .slot(lease.key())
        .linger(now + shared.settings.longest_request);
    None
}

async fn dial(
    shared: &GatewayShared,
    lease: &mut SlotLease,
    plan: AttemptPlan,
) -> Option<EndpointConnection> {
    let now = shared.clock.monotonic();
    if !may_dial(lease, now) {
        return None;
    }
    let left = plan.give_up.saturating_sub(now);
    let patience = shared.settings.connect_timeout.min(left);
    EndpointConnection::dial(lease.address, patience, now)
        .await
        .ok()
}

fn may_dial(lease: &SlotLease, now: Duration) -> bool {
    let mut state = lease.pool().lock();
    let key = lease.key();
    let most = state.entry(key.endpoint).connections_per_slot;
    state.slot(key).may_dial(now, most)
}

/// Waits for the answer of an exchange that was given up, so that its slot is known to be free.
async fn follow(
    mut answer: SendFuture,
    lease: SlotLease,
    sent_at: Duration,
    suspicion: Option<Duration>,
) {
    let pool = Arc::clone(lease.pool());
    let longest = pool.settings.longest_request;
    let early = match suspicion {
        Some(sent_at) => follow_early(&pool, &mut answer, sent_at).await,
        None => None,
    };
    let head = match early {
        Some(head) => Ok(head),
        None => timeout(longest, answer).await,
    };
    match head {
        Err(_) => lease.end(ExchangeEnd::Over),
        Ok(Ok(response)) => drain(response, lease, pool.clock.monotonic() - sent_at).await,
        Ok(Err(mut error)) => lease.end(match error.take_message() {
            Some(_) => ExchangeEnd::Unused { connection: None },
            None => ExchangeEnd::Unknown,
        }),
    }
}

/// Waits until the connection counts as silent, and then makes others like it suspect.
async fn follow_early(
    pool: &ServicePool,
    answer: &mut SendFuture,
    sent_at: Duration,
) -> Option<SendOutcome> {
    if let Ok(head) = timeout(pool.suspicion_time(), answer).await {
        return Some(head);
    }
    pool.suspect(sent_at);
    None
}

/// Reads the rest of an answer that nobody wants, and then frees its slot.
pub(crate) async fn drain(response: Response<Incoming>, lease: SlotLease, latency: Duration) {
    let longest = lease.pool().settings.longest_request;
    let mut body = response.into_body();
    let whole = timeout(longest, async {
        while let Some(frame) = body.frame().await {
            if frame.is_err() {
                return false;
            }
        }
        true
    });
    let end = match whole.await {
        Ok(true) => ExchangeEnd::Answered {
            latency,
            verdict: AnswerVerdict::Good,
            connection: None,
        },
        Ok(false) => ExchangeEnd::Unknown,
        Err(_) => ExchangeEnd::Over,
    };
    lease.end(end);
}
