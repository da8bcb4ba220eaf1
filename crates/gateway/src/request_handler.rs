//! Takes one request from its arrival to its answer.

use std::{
    net::IpAddr,
    sync::Arc,
    time::Duration, //
};

use http::{
    HeaderValue, Method, Request, Response, Version,
    header::{
        CONNECTION,
        CONTENT_LENGTH,
        TRANSFER_ENCODING, //
    },
};
use hyper::body::Incoming;
use jasminebend_base::IdempotencyRule;
use metrics::counter;

use crate::{
    answer_body::AnswerBody,
    answer_rules::{
        pass_on,
        whole, //
    },
    class_metrics::REFUSALS,
    delivery::Delivery,
    exchange::AttemptPlan,
    gateway_shared::GatewayShared,
    header_names::{
        FORWARDED,
        IDEMPOTENCY_KEY, //
    },
    header_rules::{
        check_head,
        host_of, //
    },
    key_row::{
        fingerprint,
        is_key,
        key_row, //
    },
    key_store::KeyGrant,
    keyed_delivery::{
        detached,
        keep, //
    },
    peer_forward::forward,
    refusal::Refusal,
    request_trace::RequestTrace,
    route_snapshot::RequestClass,
    service_pool::SlotDemand,
    taken_request::{
        TakenRequest,
        take_in, //
    },
};

/// What is known of a request's caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerView {
    /// Its address.
    pub(crate) address: IpAddr,
    /// Whether a request with two lengths came on its connection.
    pub(crate) two_lengths: bool,
}

/// Takes one request from its arrival to its answer.
pub(crate) async fn handle(
    shared: Arc<GatewayShared>,
    request: Request<Incoming>,
    caller: CallerView,
) -> Response<AnswerBody> {
    let arrival = shared.clock.monotonic();
    // The heads after a chunked body are not followed, see `HeadWatch`: such a request is the last
    // one on its connection.
    let last = request.headers().contains_key(TRANSFER_ENCODING);
    let mut answer = match run(&shared, request, caller, arrival).await {
        Ok(answer) => answer,
        Err(refusal) => refuse(refusal),
    };
    if last {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(CONNECTION, close);
    }
    answer
}

fn refuse(refusal: Refusal) -> Response<AnswerBody> {
    counter!(REFUSALS, "reason" => refusal.reason()).increment(1);
    refusal.into_answer()
}

async fn run(
    shared: &Arc<GatewayShared>,
    request: Request<Incoming>,
    caller: CallerView,
    arrival: Duration,
) -> Result<Response<AnswerBody>, Refusal> {
    if caller.two_lengths {
        return Err(Refusal::Malformed("it has two lengths"));
    }
    check_head(&request)?;
    let routes = shared.routes();
    let class = routes
        .find(host_of(&request), request.uri().path())
        .ok_or(Refusal::NoRoute)?;
    class.metrics.requests.increment(1);
    let ancient = request.version() == Version::HTTP_10;
    let idempotent = is_idempotent(class.entry.idempotency, request.method());
    let key = key_of(&request).filter(|_| !idempotent);
    let forwarded = request.headers().contains_key(&FORWARDED);
    let trace = (shared.settings.traces)
        .then(|| RequestTrace::begin(request.headers(), class.entry.class.as_str()));
    let taken = take_in(shared, request, caller.address).await?;
    let job = DeliveryJob {
        shared: Arc::clone(shared),
        plan: AttemptPlan {
            give_up: arrival + shared.settings.patience(class.entry.latency_target),
            connect: shared.settings.connect_patience(class.entry.latency_target),
            idempotent,
        },
        demand: SlotDemand {
            arrival,
            deadline: arrival + class.entry.latency_target,
            avoid: None,
        },
        class: class.clone(),
        ancient,
        trace,
        taken,
    };
    let answer = match key {
        _ if !forwarded && !job.class.pool.serves() => job.forward().await,
        None => job.deliver().await,
        Some(key) => deliver_keyed(job, &key).await,
    }?;
    let taken = shared.clock.monotonic().saturating_sub(arrival);
    class.metrics.seconds.record(taken);
    if taken <= class.entry.latency_target {
        class.metrics.within_target.increment(1);
    }
    Ok(answer)
}

/// A request that is ready to be sent.
struct DeliveryJob {
    shared: Arc<GatewayShared>,
    class: RequestClass,
    plan: AttemptPlan,
    demand: SlotDemand,
    ancient: bool,
    trace: Option<RequestTrace>,
    taken: TakenRequest,
}

impl DeliveryJob {
    /// Hands the request to another daemon. A key is reserved there.
    async fn forward(self) -> Result<Response<AnswerBody>, Refusal> {
        self.class.metrics.forwards.increment(1);
        let answer = forward(
            &self.shared,
            &self.class,
            self.plan,
            self.trace.as_ref(),
            self.taken.request,
        )
        .await?;
        match self.ancient && !answer.headers().contains_key(CONTENT_LENGTH) {
            true => whole(answer, self.shared.settings.most_body_bytes).await,
            false => Ok(answer),
        }
    }

    async fn deliver(self) -> Result<Response<AnswerBody>, Refusal> {
        let trace = self.trace.as_ref();
        let delivery = Delivery::new(&self.shared, &self.class, self.plan, self.demand, trace);
        let outcome = match delivery.run(self.taken.request).await {
            Ok(answer) => pass_on(answer, self.ancient).await,
            Err(refusal) => Err(refusal),
        };
        if let Some(trace) = self.trace {
            let status = outcome
                .as_ref()
                .map_or_else(|refusal| refusal.status(), |a| a.status());
            trace.end(status.as_u16());
        }
        outcome
    }
}

fn key_of<Body>(request: &Request<Body>) -> Option<Vec<HeaderValue>> {
    let keys = request.headers().get_all(&IDEMPOTENCY_KEY);
    let keys: Vec<_> = keys.iter().cloned().collect();
    Some(keys).filter(|keys| !keys.is_empty())
}

async fn deliver_keyed(
    job: DeliveryJob,
    keys: &[HeaderValue],
) -> Result<Response<AnswerBody>, Refusal> {
    let [key] = keys else {
        return Err(Refusal::BadKey);
    };
    if !is_key(key.as_bytes()) {
        return Err(Refusal::BadKey);
    }
    let row = key_row(&job.class.entry.class, key.as_bytes());
    let request = &job.taken.request;
    let print = fingerprint(
        request.method(),
        request.uri(),
        request.headers(),
        &job.taken.body,
    );
    let keys = Arc::clone(&job.shared.keys);
    match keys.reserve(row, print, job.plan.give_up).await? {
        KeyGrant::Replay(answer) => Ok(answer.into_answer()),
        KeyGrant::Run(reservation) => {
            let delivery = async move { keep(reservation, job.deliver().await).await };
            detached(delivery).await
        }
    }
}

fn is_idempotent(rule: IdempotencyRule, method: &Method) -> bool {
    match rule {
        IdempotencyRule::Always => true,
        IdempotencyRule::Never => false,
        IdempotencyRule::ByMethod => method.is_idempotent(),
    }
}
