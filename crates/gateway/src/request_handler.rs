//! Takes one request from its arrival to its answer.

use std::{
    net::IpAddr,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    HeaderValue, Method, Request, Response, Version,
    header::{
        CONNECTION,
        TRANSFER_ENCODING, //
    },
};
use http_body::Body;
use http_body_util::{
    BodyExt,
    LengthLimitError,
    Limited, //
};
use hyper::body::Incoming;
use jasminebend_base::IdempotencyRule;
use metrics::counter;
use tokio::{
    sync::OwnedSemaphorePermit,
    time::timeout, //
};

use crate::{
    answer_body::AnswerBody,
    answer_rules::pass_on,
    class_metrics::REFUSALS,
    delivery::Delivery,
    exchange::{
        AttemptPlan,
        EndpointRequest, //
    },
    gateway_shared::GatewayShared,
    header_names::IDEMPOTENCY_KEY,
    header_rules::{
        check_head,
        host_of,
        prepare_request, //
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
    refusal::Refusal,
    request_body::RequestBody,
    request_trace::RequestTrace,
    route_snapshot::RequestClass,
    service_pool::SlotDemand,
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
    let trace = (shared.settings.traces)
        .then(|| RequestTrace::begin(request.headers(), class.entry.class.as_str()));
    let (request, permit) = take_in(shared, request, caller.address).await?;
    let job = DeliveryJob {
        shared: Arc::clone(shared),
        plan: AttemptPlan {
            give_up: arrival + shared.settings.patience(class.entry.target),
            connect: shared.settings.connect_patience(class.entry.target),
            idempotent,
        },
        demand: SlotDemand {
            arrival,
            deadline: arrival + class.entry.target,
            avoid: None,
        },
        class: class.clone(),
        ancient,
        trace,
        request,
        _permit: permit,
    };
    let answer = match key {
        None => job.deliver().await,
        Some(key) => deliver_keyed(job, &key).await,
    }?;
    let taken = shared.clock.monotonic().saturating_sub(arrival);
    class.metrics.seconds.record(taken);
    if taken <= class.entry.target {
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
    request: Box<EndpointRequest>,
    _permit: Option<OwnedSemaphorePermit>,
}

impl DeliveryJob {
    async fn deliver(self) -> Result<Response<AnswerBody>, Refusal> {
        let trace = self.trace.as_ref();
        let delivery = Delivery::new(&self.shared, &self.class, self.plan, self.demand, trace);
        let outcome = match delivery.run(self.request).await {
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
    let request = &job.request;
    let body = match request.body() {
        RequestBody::Whole(Some(body)) => body.clone(),
        _ => Bytes::new(),
    };
    let print = fingerprint(request.method(), request.uri(), request.headers(), &body);
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

/// A request that is ready for the endpoint, and the memory that its body was allowed.
type TakenIn = (Box<EndpointRequest>, Option<OwnedSemaphorePermit>);

/// Prepares the request for the endpoint. A small body is taken in whole before any slot is taken,
/// so that a slow caller holds no slot; what all of them hold is bounded.
async fn take_in(
    shared: &GatewayShared,
    request: Request<Incoming>,
    caller: IpAddr,
) -> Result<TakenIn, Refusal> {
    let settings = &shared.settings;
    let (mut head, body) = request.into_parts();
    prepare_request(&mut head.uri, &mut head.headers, caller);
    head.version = Version::HTTP_11;
    head.extensions.clear();
    if body.is_end_stream() {
        let body = RequestBody::whole(Bytes::new());
        return Ok((Box::new(Request::from_parts(head, body)), None));
    }
    let size = body.size_hint().exact();
    if size.is_some_and(|size| size > settings.most_body_bytes) {
        return Err(Refusal::TooLarge);
    }
    let small = size.filter(|size| *size <= settings.buffered_body_bytes);
    let Some(size) = small else {
        let body = RequestBody::streamed(body, settings.most_body_bytes, settings.body_stall);
        return Ok((Box::new(Request::from_parts(head, body)), None));
    };
    let permits = u32::try_from(size).unwrap_or(u32::MAX);
    let permit = Arc::clone(&shared.held_bytes)
        .try_acquire_many_owned(permits)
        .map_err(|_| Refusal::MemoryFull)?;
    let whole = collect(body, settings.buffered_body_bytes, settings.body_stall).await?;
    let request = Request::from_parts(head, RequestBody::whole(whole));
    Ok((Box::new(request), Some(permit)))
}

async fn collect(body: Incoming, most: u64, patience: Duration) -> Result<Bytes, Refusal> {
    let most = usize::try_from(most).unwrap_or(usize::MAX);
    let whole = timeout(patience, Limited::new(body, most).collect())
        .await
        .map_err(|_| Refusal::BodyStalled)?;
    match whole {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Refusal::TooLarge),
        Err(_) => Err(Refusal::Malformed("its body is cut short or badly framed")),
    }
}
