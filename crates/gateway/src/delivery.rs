//! Has a request answered by the endpoints of its class's service.

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
        EndpointAnswer,
        EndpointRequest,
        attempt, //
    },
    gateway_shared::GatewayShared,
    header_names::EXECUTED,
    pending_exchange::drain,
    refusal::Refusal,
    request_body::RequestBody,
    request_trace::RequestTrace,
    route_snapshot::RequestClass,
    service_pool::SlotDemand,
    slot_lease::SlotLease,
};

/// How often a request may be sent.
const MOST_SENT: u32 = 3;
/// How often an endpoint may be tried for a request, those included that could not be connected to.
const MOST_TRIED: u32 = 8;
const LEAST_SAMPLES: u64 = 100;
/// Until enough was learned, the second attempt waits for this part of the target.
const UNLEARNED_DIVISOR: u32 = 4;
const LEAST_HEDGE_DELAY: Duration = Duration::from_millis(2);
/// No second attempt goes out before this part of the target is used up: answers that come well
/// within the target need none, and a pause of this machine would make one for each of them.
const HEDGE_DIVISOR: u32 = 20;

/// Has a request answered, with as many attempts as it may have.
pub(crate) struct Delivery<'a> {
    shared: &'a GatewayShared,
    class: &'a RequestClass,
    plan: AttemptPlan,
    demand: SlotDemand,
    trace: Option<&'a RequestTrace>,
    sent: u32,
    maybe_run: bool,
}

impl<'a> Delivery<'a> {
    /// Creates the delivery of a request that is ready to be sent.
    pub(crate) fn new(
        shared: &'a GatewayShared,
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
            sent: 1,
            maybe_run: false,
        }
    }

    /// Has the request answered.
    pub(crate) async fn run(
        mut self,
        request: Box<EndpointRequest>,
    ) -> Result<EndpointAnswer, Refusal> {
        let queue = self.trace.map(RequestTrace::queue);
        let lease = self.class.pool.acquire(self.demand).await?;
        drop(queue);
        let waited = self
            .shared
            .clock
            .monotonic()
            .saturating_sub(self.demand.arrival);
        self.class.metrics.queue_seconds.record(waited);
        let sent_at = self.shared.clock.monotonic();
        let outcome = self.deliver(lease, request).await;
        if let Ok(answer) = &outcome
            && !answer.response.status().is_server_error()
        {
            let taken = self.shared.clock.monotonic().saturating_sub(sent_at);
            self.class.latency().observe(taken);
        }
        if self.maybe_run && outcome.as_ref().is_ok_and(says_not_run) {
            // The endpoint speaks for its own attempt alone.
            return Err(Refusal::EndpointFailed);
        }
        // Once an attempt may have run, no later refusal may say that the request was not run.
        outcome.map_err(|refusal| match self.maybe_run && refusal.surely_not_run() {
            true => Refusal::EndpointFailed,
            false => refusal,
        })
    }

    async fn deliver(
        &mut self,
        mut lease: SlotLease,
        mut request: Box<EndpointRequest>,
    ) -> Result<EndpointAnswer, Refusal> {
        let mut reason = Refusal::Unconnected;
        for _ in 0..MOST_TRIED {
            self.demand.avoid = Some(lease.address);
            let copy = copy_of(&request);
            let outcome = self.attempt_hedged(lease, request).await;
            (lease, request) = match outcome {
                Ok(answer) => match self.after_answer(&answer, copy) {
                    Some(next) => {
                        let latency = answer.latency;
                        let connection = Some(answer.connection);
                        tokio::spawn(drain(answer.response, answer.lease, connection, latency));
                        next
                    }
                    None => return Ok(answer),
                },
                Err(AttemptError::NotRun { refusal, request }) => {
                    reason = refusal;
                    (self.class.pool.acquire(self.demand).await?, request)
                }
                Err(AttemptError::Unknown(refusal)) => {
                    self.maybe_run = true;
                    self.after_unknown(copy).ok_or(refusal)?
                }
            };
        }
        Err(reason)
    }

    /// Makes an attempt, and a second one beside it once the first takes longer than most.
    async fn attempt_hedged(
        &mut self,
        lease: SlotLease,
        request: Box<EndpointRequest>,
    ) -> Result<EndpointAnswer, AttemptError> {
        let hop = self.hop();
        let delay = self.hedge_delay();
        let copy = delay.and_then(|_| copy_of(&request));
        let mut first = pin!(attempt_traced(hop, lease, request));
        let (Some(delay), Some(copy)) = (delay, copy) else {
            return first.await;
        };
        if let Ok(outcome) = timeout(delay, first.as_mut()).await {
            return outcome;
        }
        let Some((lease, copy)) = self.again(copy) else {
            return first.await;
        };
        self.class.metrics.hedges.increment(1);
        self.maybe_run = true;
        let second = pin!(attempt_traced(hop, lease, copy));
        first_answer(first, second).await
    }

    fn hop(&self) -> AttemptHop<'a> {
        AttemptHop {
            shared: self.shared,
            trace: self.trace,
            plan: self.plan,
        }
    }

    fn hedge_delay(&self) -> Option<Duration> {
        if !self.plan.idempotent {
            return None;
        }
        let latency = self.class.latency();
        let target = self.class.entry.latency_target;
        let usual = match latency.samples() >= LEAST_SAMPLES {
            true => latency.quantile(),
            false => target / UNLEARNED_DIVISOR,
        };
        Some(usual.max(target / HEDGE_DIVISOR).max(LEAST_HEDGE_DELAY))
    }

    fn after_answer(
        &mut self,
        answer: &EndpointAnswer,
        copy: Option<Box<EndpointRequest>>,
    ) -> Option<(SlotLease, Box<EndpointRequest>)> {
        let status = answer.response.status();
        let not_run = says_not_run(answer);
        let failed = matches!(
            status,
            StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
        );
        if !(not_run || self.plan.idempotent && failed) {
            return None;
        }
        self.maybe_run |= !not_run;
        self.again(copy?)
            .inspect(|_| self.class.metrics.retries.increment(1))
    }

    fn after_unknown(
        &mut self,
        copy: Option<Box<EndpointRequest>>,
    ) -> Option<(SlotLease, Box<EndpointRequest>)> {
        if !self.plan.idempotent || self.shared.clock.monotonic() >= self.plan.give_up {
            return None;
        }
        self.again(copy?)
            .inspect(|_| self.class.metrics.retries.increment(1))
    }

    /// Takes a slot for one more attempt, if one is free and the budget allows it.
    fn again(&mut self, copy: Box<EndpointRequest>) -> Option<(SlotLease, Box<EndpointRequest>)> {
        if self.sent >= MOST_SENT {
            return None;
        }
        let pool = &self.class.pool;
        let lease = pool.try_acquire(self.demand.avoid)?;
        if !pool.lock().budget.try_withdraw() {
            return None;
        }
        self.sent += 1;
        Some((lease, copy))
    }
}

/// What each attempt of a request is made with.
#[derive(Clone, Copy)]
struct AttemptHop<'a> {
    shared: &'a GatewayShared,
    trace: Option<&'a RequestTrace>,
    plan: AttemptPlan,
}

async fn attempt_traced(
    hop: AttemptHop<'_>,
    lease: SlotLease,
    mut request: Box<EndpointRequest>,
) -> Result<EndpointAnswer, AttemptError> {
    let address = lease.address;
    // The span ends when it is dropped, also if another attempt was faster.
    let _span = hop
        .trace
        .map(|trace| trace.attempt(address.to_string(), request.headers_mut()));
    attempt(hop.shared, lease, request, hop.plan).await
}

/// Returns the first answer; an attempt that fails leaves the matter to the other one.
async fn first_answer<First, Second>(
    mut first: Pin<&mut First>,
    mut second: Pin<&mut Second>,
) -> Result<EndpointAnswer, AttemptError>
where
    First: Future<Output = Result<EndpointAnswer, AttemptError>>,
    Second: Future<Output = Result<EndpointAnswer, AttemptError>>,
{
    tokio::select! {
        outcome = first.as_mut() => match outcome {
            Ok(answer) => Ok(answer),
            Err(_) => second.await,
        },
        outcome = second.as_mut() => match outcome {
            Ok(answer) => Ok(answer),
            Err(_) => first.await,
        },
    }
}

/// Tells whether the endpoint itself says that it did not run the request.
pub(crate) fn says_not_run(answer: &EndpointAnswer) -> bool {
    let executed = answer.response.headers().get(&EXECUTED);
    let refused = matches!(
        answer.response.status(),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    );
    refused && executed.is_some_and(|value| value.as_bytes() == b"no")
}

fn copy_of(request: &EndpointRequest) -> Option<Box<EndpointRequest>> {
    let RequestBody::Whole(body) = request.body() else {
        return None;
    };
    let mut copy = Request::new(RequestBody::Whole(body.clone()));
    *copy.method_mut() = request.method().clone();
    *copy.uri_mut() = request.uri().clone();
    *copy.headers_mut() = request.headers().clone();
    Some(Box::new(copy))
}
