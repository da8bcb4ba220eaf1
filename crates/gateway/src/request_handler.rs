//! Handles one request from its arrival to the head of its response.

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
use jasminebend_ingress::Connection;
use metrics::counter;

use crate::{
    class_metrics::REFUSALS_METRIC,
    delivery::Delivery,
    exchange::AttemptPlan,
    gateway_state::GatewayState,
    header_names::{
        FORWARDED,
        IDEMPOTENCY_KEY, //
    },
    header_rules::{
        check_head,
        request_host, //
    },
    key_row::{
        fingerprint,
        is_valid_key,
        key_row, //
    },
    key_store::KeyDecision,
    keyed_delivery::{
        record_outcome, //
        run_detached,
    },
    peer_forward::forward_to_peer,
    prepared_request::{
        PreparedRequest,
        prepare_request, //
    },
    refusal::Refusal,
    request_trace::RequestTrace,
    response_body::ResponseBody,
    response_rules::{
        buffer_response, //
        forward_response,
    },
    route_snapshot::RequestClass,
    service_pool::SlotDemand,
};

/// What is known about the caller of a request.
#[derive(Clone, Debug)]
pub(crate) struct CallerInfo {
    /// The IP address of the caller.
    pub(crate) address: IpAddr,
    /// Whether a request whose body length is ambiguous has arrived on its connection.
    pub(crate) ambiguous_length: bool,
    /// The connection, which counts the memory of the request.
    pub(crate) connection: Arc<Connection>,
}

/// Handles one request and returns its response; a refusal becomes a response as well.
pub(crate) async fn handle_request(
    shared: Arc<GatewayState>,
    request: Request<Incoming>,
    caller: CallerInfo,
) -> Response<ResponseBody> {
    let arrival = shared.clock.monotonic();
    // Heads after a chunked body are not scanned (see `RequestHeadScanner`), so that such a request
    // is the last one on its connection.
    let closes_connection = request.headers().contains_key(TRANSFER_ENCODING);
    let mut response = match process_request(&shared, request, caller, arrival).await {
        Ok(response) => response,
        Err(refusal) => refuse(refusal),
    };
    if closes_connection {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

fn refuse(refusal: Refusal) -> Response<ResponseBody> {
    counter!(REFUSALS_METRIC, "reason" => refusal.reason()).increment(1);
    refusal.into_response()
}

async fn process_request(
    shared: &Arc<GatewayState>,
    request: Request<Incoming>,
    caller: CallerInfo,
    arrival: Duration,
) -> Result<Response<ResponseBody>, Refusal> {
    if caller.ambiguous_length {
        return Err(Refusal::Malformed("it has two lengths"));
    }
    check_head(&request)?;
    let routes = shared.routes();
    let class = routes
        .find(request_host(&request), request.uri().path())
        .ok_or(Refusal::NoRoute)?;
    class.metrics.requests.increment(1);
    let is_http_1_0 = request.version() == Version::HTTP_10;
    let idempotent = is_idempotent(class.entry.idempotency, request.method());
    let key = idempotency_keys(&request).filter(|_| !idempotent);
    let forwarded = request.headers().contains_key(&FORWARDED);
    let trace = (shared.settings.traces_enabled)
        .then(|| RequestTrace::start(request.headers(), class.entry.class.as_str()));
    let prepared = prepare_request(shared, request, &caller).await;
    let prepared = prepared.map_err(|refusal| match refusal {
        Refusal::MemoryFull if key.is_some() => Refusal::MemoryFullForKey,
        refusal => refusal,
    })?;
    let job = DeliveryJob {
        shared: Arc::clone(shared),
        plan: AttemptPlan {
            give_up_at: arrival + shared.settings.timeout_for(class.entry.latency_target),
            connect_timeout: shared
                .settings
                .connect_timeout_for(class.entry.latency_target),
            idempotent,
        },
        demand: SlotDemand {
            arrival,
            deadline: arrival + class.entry.latency_target,
            avoid: None,
        },
        class: class.clone(),
        is_http_1_0,
        trace,
        prepared,
    };
    let response = match key {
        _ if !forwarded && !job.class.pool.can_serve() => job.forward_to_peer().await,
        None => job.deliver().await,
        Some(key) => deliver_keyed(job, &key).await,
    }?;
    let elapsed = shared.clock.monotonic().saturating_sub(arrival);
    class.metrics.seconds.record(elapsed);
    if elapsed <= class.entry.latency_target {
        class.metrics.within_target.increment(1);
    }
    Ok(response)
}

/// A request that is ready to be sent, with its routing and deadlines.
struct DeliveryJob {
    shared: Arc<GatewayState>,
    class: RequestClass,
    plan: AttemptPlan,
    demand: SlotDemand,
    is_http_1_0: bool,
    trace: Option<RequestTrace>,
    prepared: PreparedRequest,
}

impl DeliveryJob {
    /// Forwards the request to another daemon, which also reserves its idempotency key.
    async fn forward_to_peer(self) -> Result<Response<ResponseBody>, Refusal> {
        self.class.metrics.forwards.increment(1);
        let response = forward_to_peer(
            &self.shared,
            &self.class,
            self.plan,
            self.trace.as_ref(),
            self.prepared.request,
        )
        .await?;
        match self.is_http_1_0 && !response.headers().contains_key(CONTENT_LENGTH) {
            true => buffer_response(response, self.shared.settings.max_body_bytes).await,
            false => Ok(response),
        }
    }

    /// Sends the request to an endpoint and converts the response for the caller.
    async fn deliver(self) -> Result<Response<ResponseBody>, Refusal> {
        let trace = self.trace.as_ref();
        let delivery = Delivery::new(&self.shared, &self.class, self.plan, self.demand, trace);
        let outcome = match delivery.run(self.prepared.request).await {
            Ok(response) => forward_response(response, self.is_http_1_0).await,
            Err(refusal) => Err(refusal),
        };
        if let Some(trace) = self.trace {
            let status = outcome
                .as_ref()
                .map_or_else(|refusal| refusal.status(), |response| response.status());
            trace.end(status.as_u16());
        }
        outcome
    }
}

fn idempotency_keys<Body>(request: &Request<Body>) -> Option<Vec<HeaderValue>> {
    let keys = request.headers().get_all(&IDEMPOTENCY_KEY);
    let keys: Vec<_> = keys.iter().cloned().collect();
    Some(keys).filter(|keys| !keys.is_empty())
}

/// Delivers a request with an idempotency key, or returns the stored response of an earlier one.
async fn deliver_keyed(
    job: DeliveryJob,
    keys: &[HeaderValue],
) -> Result<Response<ResponseBody>, Refusal> {
    let [key] = keys else {
        return Err(Refusal::BadKey);
    };
    if !is_valid_key(key.as_bytes()) {
        return Err(Refusal::BadKey);
    }
    let row = key_row(&job.class.entry.class, key.as_bytes());
    let request = &job.prepared.request;
    let request_fingerprint = fingerprint(
        request.method(),
        request.uri(),
        request.headers(),
        &job.prepared.body,
    );
    let keys = Arc::clone(&job.shared.keys);
    match keys
        .reserve(row, request_fingerprint, job.plan.give_up_at)
        .await?
    {
        KeyDecision::Replay(response) => Ok(response.into_response()),
        KeyDecision::Run(reservation) => {
            let delivery = async move { record_outcome(reservation, job.deliver().await).await };
            run_detached(delivery).await
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
