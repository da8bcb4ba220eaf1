//! [`Delivery`]: sends a request to endpoints, with retries and hedged attempts.

use std::{
    pin::{
        Pin,
        pin, //
    },
    time::Duration,
};

use http::{
    Request,
    StatusCode, //
};
use tokio::time::timeout;

use crate::{
    exchange::{
        AttemptError,
        AttemptPlan,
        EndpointRequest,
        EndpointResponse,
        attempt, //
    },
    gateway_state::GatewayState,
    header_names::EXECUTED,
    pending_exchange::drain_response,
    refusal::Refusal,
    request_body::RequestBody,
    request_trace::RequestTrace,
    route_snapshot::RequestClass,
    service_pool::SlotDemand,
    slot_lease::SlotLease,
};

/// The most times that a request is sent, hedged attempts included.
const MAX_SENDS: u32 = 3;
/// The most attempts for a request, including those for which no connection could be opened.
const MAX_ATTEMPTS: u32 = 8;
/// The fewest latency samples from which the hedge delay is derived.
const MIN_LATENCY_SAMPLES: u64 = 100;
/// The hedge delay is the target divided by this until there are enough samples.
const DEFAULT_HEDGE_DELAY_DIVISOR: u32 = 4;
/// The shortest hedge delay.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(2);
/// No hedged attempt is sent before the target divided by this has passed: responses that arrive
/// well within the target need none, and a pause of this machine would cause one for each request
/// in progress.
const MIN_HEDGE_DELAY_DIVISOR: u32 = 20;

/// Sends a request to endpoints of the service of its class until one responds or the attempts are
/// used up.
pub(crate) struct Delivery<'a> {
    shared: &'a GatewayState,
    class: &'a RequestClass,
    plan: AttemptPlan,
    demand: SlotDemand,
    trace: Option<&'a RequestTrace>,
    send_count: u32,
    may_have_run: bool,
}

impl<'a> Delivery<'a> {
    /// Creates the delivery of a request that is ready to be sent.
    pub(crate) fn new(
        shared: &'a GatewayState,
        class: &'a RequestClass,
        plan: AttemptPlan,
        demand: SlotDemand,
        trace: Option<&'a RequestTrace>,
    ) -> Self {
        Self {
            shared,
            class,
            plan,
            demand,
            trace,
            send_count: 1,
            may_have_run: false,
        }
    }

    /// Sends the request and returns the response, or the reason for which there is none.
    pub(crate) async fn run(
        mut self,
        mut request: Box<EndpointRequest>,
    ) -> Result<EndpointResponse, Refusal> {
        let queue = self.trace.map(RequestTrace::start_queue_span);
        if let RequestBody::Streamed(body) = request.body_mut() {
            body.set_permit(self.class.pool.acquire_stream(self.demand).await?);
        }
        let lease = self.class.pool.acquire(self.demand).await?;
        drop(queue);
        let queue_time = self
            .shared
            .clock
            .monotonic()
            .saturating_sub(self.demand.arrival);
        self.class.metrics.queue_seconds.record(queue_time);
        let sent_at = self.shared.clock.monotonic();
        let outcome = self.deliver(lease, request).await;
        if let Ok(endpoint_response) = &outcome
            && !endpoint_response.response.status().is_server_error()
        {
            let elapsed = self.shared.clock.monotonic().saturating_sub(sent_at);
            self.class.latency().observe(elapsed);
        }
        if self.may_have_run && outcome.as_ref().is_ok_and(is_reported_not_run) {
            // The endpoint only reports on its own attempt; an earlier one may have run.
            return Err(Refusal::EndpointFailed);
        }
        // Once an attempt may have run, no later refusal may report the request as not run.
        outcome.map_err(
            |refusal| match self.may_have_run && refusal.surely_not_run() {
                true => Refusal::EndpointFailed,
                false => refusal,
            },
        )
    }

    async fn deliver(
        &mut self,
        mut lease: SlotLease,
        mut request: Box<EndpointRequest>,
    ) -> Result<EndpointResponse, Refusal> {
        let mut last_refusal = Refusal::Unconnected;
        for _ in 0..MAX_ATTEMPTS {
            self.demand.avoid = Some(lease.address);
            if let Some(permit) = request.body().stream_permit() {
                lease.keep_permit(permit);
            }
            let copy = buffered_copy(&request);
            let outcome = self.attempt_hedged(lease, request).await;
            (lease, request) = match outcome {
                Ok(endpoint_response) => {
                    match self.retry_after_response(&endpoint_response, copy) {
                        Some(next) => {
                            let latency = endpoint_response.latency;
                            let connection = Some(endpoint_response.connection);
                            tokio::spawn(drain_response(
                                endpoint_response.response,
                                endpoint_response.lease,
                                connection,
                                latency,
                            ));
                            next
                        }
                        None => return Ok(endpoint_response),
                    }
                }
                Err(AttemptError::NotRun { refusal, request }) => {
                    last_refusal = refusal;
                    (self.class.pool.acquire(self.demand).await?, request)
                }
                Err(AttemptError::Unknown(refusal)) => {
                    self.may_have_run = true;
                    self.retry_after_unknown(copy).ok_or(refusal)?
                }
            };
        }
        Err(last_refusal)
    }

    /// Makes an attempt, and a hedged one in parallel if the first takes longer than most.
    async fn attempt_hedged(
        &mut self,
        lease: SlotLease,
        request: Box<EndpointRequest>,
    ) -> Result<EndpointResponse, AttemptError> {
        let attempt_context = self.attempt_context();
        let delay = self.hedge_delay();
        let copy = delay.and_then(|_| buffered_copy(&request));
        let mut first = pin!(attempt_traced(attempt_context, lease, request));
        let (Some(delay), Some(copy)) = (delay, copy) else {
            return first.await;
        };
        if let Ok(outcome) = timeout(delay, first.as_mut()).await {
            return outcome;
        }
        let Some((lease, copy)) = self.reserve_retry(copy) else {
            return first.await;
        };
        self.class.metrics.hedges.increment(1);
        self.may_have_run = true;
        let second = pin!(attempt_traced(attempt_context, lease, copy));
        first_success(first, second).await
    }

    fn attempt_context(&self) -> AttemptContext<'a> {
        AttemptContext {
            shared: self.shared,
            trace: self.trace,
            plan: self.plan,
        }
    }

    /// Returns after which time a hedged attempt is sent, or `None` if the request must not run
    /// twice.
    fn hedge_delay(&self) -> Option<Duration> {
        if !self.plan.idempotent {
            return None;
        }
        let latency = self.class.latency();
        let target = self.class.entry.latency_target;
        let typical_latency = match latency.samples() >= MIN_LATENCY_SAMPLES {
            true => latency.quantile(),
            false => target / DEFAULT_HEDGE_DELAY_DIVISOR,
        };
        Some(
            typical_latency
                .max(target / MIN_HEDGE_DELAY_DIVISOR)
                .max(MIN_HEDGE_DELAY),
        )
    }

    /// Reserves a retry after a response that reports an error, if the request may be sent again.
    fn retry_after_response(
        &mut self,
        endpoint_response: &EndpointResponse,
        copy: Option<Box<EndpointRequest>>,
    ) -> Option<(SlotLease, Box<EndpointRequest>)> {
        let status = endpoint_response.response.status();
        let not_run = is_reported_not_run(endpoint_response);
        let failed = matches!(
            status,
            StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
        );
        if !(not_run || self.plan.idempotent && failed) {
            return None;
        }
        self.may_have_run |= !not_run;
        self.reserve_retry(copy?)
            .inspect(|_| self.class.metrics.retries.increment(1))
    }

    /// Reserves a retry after an attempt that may have run, if the request may run twice.
    fn retry_after_unknown(
        &mut self,
        copy: Option<Box<EndpointRequest>>,
    ) -> Option<(SlotLease, Box<EndpointRequest>)> {
        if !self.plan.idempotent || self.shared.clock.monotonic() >= self.plan.give_up_at {
            return None;
        }
        self.reserve_retry(copy?)
            .inspect(|_| self.class.metrics.retries.increment(1))
    }

    /// Takes a slot for one more attempt, if one is free and the retry budget allows it.
    fn reserve_retry(
        &mut self,
        copy: Box<EndpointRequest>,
    ) -> Option<(SlotLease, Box<EndpointRequest>)> {
        if self.send_count >= MAX_SENDS {
            return None;
        }
        let pool = &self.class.pool;
        let lease = pool.try_acquire(self.demand.avoid)?;
        if !pool.lock().retry_budget.try_withdraw() {
            return None;
        }
        self.send_count += 1;
        Some((lease, copy))
    }
}

/// What all attempts of a request have in common.
#[derive(Clone, Copy)]
struct AttemptContext<'a> {
    shared: &'a GatewayState,
    trace: Option<&'a RequestTrace>,
    plan: AttemptPlan,
}

/// Makes an attempt within a trace span.
async fn attempt_traced(
    attempt_context: AttemptContext<'_>,
    lease: SlotLease,
    mut request: Box<EndpointRequest>,
) -> Result<EndpointResponse, AttemptError> {
    let address = lease.address;
    // The span ends when it is dropped, also if another attempt was faster.
    let _span = attempt_context
        .trace
        .map(|trace| trace.start_attempt_span(address.to_string(), request.headers_mut()));
    attempt(attempt_context.shared, lease, request, attempt_context.plan).await
}

/// Returns the response that arrives first; if one attempt fails, the result of the other.
async fn first_success<First, Second>(
    mut first: Pin<&mut First>,
    mut second: Pin<&mut Second>,
) -> Result<EndpointResponse, AttemptError>
where
    First: Future<Output = Result<EndpointResponse, AttemptError>>,
    Second: Future<Output = Result<EndpointResponse, AttemptError>>,
{
    tokio::select! {
        outcome = first.as_mut() => match outcome {
            Ok(endpoint_response) => Ok(endpoint_response),
            Err(_) => second.await,
        },
        outcome = second.as_mut() => match outcome {
            Ok(endpoint_response) => Ok(endpoint_response),
            Err(_) => first.await,
        },
    }
}

/// Returns whether the endpoint itself reports that it did not run the request.
pub(crate) fn is_reported_not_run(endpoint_response: &EndpointResponse) -> bool {
    let executed = endpoint_response.response.headers().get(&EXECUTED);
    let refused = matches!(
        endpoint_response.response.status(),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    );
    refused && executed.is_some_and(|value| value.as_bytes() == b"no")
}

/// Returns a copy of the request if its body is buffered.
fn buffered_copy(request: &EndpointRequest) -> Option<Box<EndpointRequest>> {
    let RequestBody::Buffered(body) = request.body() else {
        return None;
    };
    let mut copy = Request::new(RequestBody::Buffered(body.clone()));
    *copy.method_mut() = request.method().clone();
    *copy.uri_mut() = request.uri().clone();
    *copy.headers_mut() = request.headers().clone();
    Some(Box::new(copy))
}
