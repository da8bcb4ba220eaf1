//! Callers of the demonstration, which send service requests.

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        }, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use hdrhistogram::CreationError;
use http::{
    Method,
    Request,
    Response,
    StatusCode, //
};
use http_body_util::Full;
use jasminebend_standins::EndpointAnswer;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use tokio::{
    task::JoinSet,
    time::sleep, //
};

use crate::{
    demo_client::{
        CallError,
        DemoClient, //
    },
    demo_daemons::DemoBalancer,
    demo_request_stats::{
        RequestCounts, //
        RequestOutcome,
        RequestStats,
    },
};

const CALLER_COUNT: u64 = 30;
/// The exclusive upper bound of the random delay between a caller's requests.
const MAX_REQUEST_DELAY: Duration = Duration::from_millis(60);
/// The delay before the next request when no daemon is ready.
const NO_READY_DAEMON_DELAY: Duration = Duration::from_millis(50);
const EXECUTED_HEADER: &str = "jasminebend-executed";
const REASON_HEADER: &str = "jasminebend-reason";

/// A class of requests that the demonstration's callers send, with its statistics.
pub(crate) struct RequestKind {
    pub(crate) name: &'static str,
    pub(crate) method: Method,
    pub(crate) path: &'static str,
    pub(crate) idempotent: bool,
    pub(crate) stats: RequestStats,
}

/// Callers of the demonstration: concurrent tasks that send random requests until they are stopped.
pub(crate) struct DemoCallers {
    pub(crate) kinds: Vec<RequestKind>,
    client: DemoClient,
    balancer: DemoBalancer,
    seed: u64,
    next_request: AtomicU64,
    stopped: AtomicBool,
}

impl DemoCallers {
    pub(crate) fn new(
        client: DemoClient,
        balancer: DemoBalancer,
        seed: u64,
    ) -> Result<Self, CreationError> {
        let quote = RequestKind {
            name: "quote",
            method: Method::GET,
            path: "/quote",
            idempotent: true,
            stats: RequestStats::new()?,
        };
        let booking = RequestKind {
            name: "booking",
            method: Method::POST,
            path: "/booking",
            idempotent: false,
            stats: RequestStats::new()?,
        };
        Ok(Self {
            kinds: vec![quote, booking],
            client,
            balancer,
            seed,
            next_request: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
        })
    }

    /// Starts the caller tasks.
    pub(crate) fn start(self: &Arc<Self>) -> JoinSet<()> {
        let mut tasks = JoinSet::new();
        for number in 0..CALLER_COUNT {
            tasks.spawn(Arc::clone(self).call_until_stopped(number));
        }
        tasks
    }

    /// Returns the counts summed over all classes; latencies are zero.
    pub(crate) fn counts(&self) -> RequestCounts {
        let kinds = self.kinds.iter().map(|kind| kind.stats.counts());
        kinds.fold(RequestCounts::default(), |sum, counts| RequestCounts {
            sent: sum.sent + counts.sent,
            whole: sum.whole + counts.whole,
            not_run: sum.not_run + counts.not_run,
            unknown: sum.unknown + counts.unknown,
            wrong: sum.wrong + counts.wrong,
            ..sum
        })
    }

    /// Makes the caller tasks end after their current request.
    pub(crate) fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    async fn call_until_stopped(self: Arc<Self>, number: u64) {
        let mut random = StdRng::seed_from_u64(self.seed.wrapping_add(number));
        while !self.stopped.load(Ordering::Relaxed) {
            let kind = &self.kinds[random.random_range(0..self.kinds.len())];
            self.call(kind).await;
            sleep(random.random_range(Duration::ZERO..MAX_REQUEST_DELAY)).await;
        }
    }

    async fn call(&self, kind: &RequestKind) {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        let Some(daemon) = self.balancer.pick(number) else {
            sleep(NO_READY_DAEMON_DELAY).await;
            return;
        };
        let id = format!("{}-{number}", kind.name);
        let body = request_body(kind, &id);
        let Ok(request) = build_request(kind, &id, &body) else {
            return;
        };
        kind.stats.record_sent();
        let started = Instant::now();
        let answer = self.client.call(daemon.callers, request).await;
        if let Some(reason) = refusal_reason(&answer) {
            kind.stats.record_refusal(reason);
        }
        let outcome = classify_response(answer, &id, &body, started);
        kind.stats.record_outcome(id, outcome);
    }
}

fn request_body(kind: &RequestKind, id: &str) -> Bytes {
    match kind.idempotent {
        true => Bytes::new(),
        false => Bytes::from(format!("bench 7, guitar of {id}")),
    }
}

fn build_request(
    kind: &RequestKind,
    id: &str,
    body: &Bytes,
) -> Result<Request<Full<Bytes>>, http::Error> {
    Request::builder()
        .method(kind.method.clone())
        .uri(kind.path)
        .header("x-request-id", id)
        .body(Full::new(body.clone()))
}

/// Returns the reason that the response gives for not running the request; `None` if it gives none.
fn refusal_reason(answer: &Result<Response<Bytes>, CallError>) -> Option<&str> {
    match answer {
        Err(CallError::NotSent) => Some("connection_refused"),
        Err(CallError::NoResponse) => None,
        Ok(response) => response.headers().get(REASON_HEADER)?.to_str().ok(),
    }
}

/// Classifies the response to a request, which must hold the whole answer to this request.
fn classify_response(
    answer: Result<Response<Bytes>, CallError>,
    id: &str,
    body: &Bytes,
    started: Instant,
) -> RequestOutcome {
    let response = match answer {
        Ok(response) => response,
        Err(CallError::NotSent) => return RequestOutcome::NotRun,
        Err(CallError::NoResponse) => return RequestOutcome::Unknown,
    };
    if response.status() == StatusCode::OK {
        return match EndpointAnswer::check(id, body, response.body()) {
            Ok(()) => RequestOutcome::Whole(started.elapsed()),
            Err(_) => RequestOutcome::Wrong,
        };
    }
    match response
        .headers()
        .get(EXECUTED_HEADER)
        .map(|value| value.as_bytes())
    {
        Some(b"no") => RequestOutcome::NotRun,
        Some(b"unknown") => RequestOutcome::Unknown,
        _ => RequestOutcome::Wrong,
    }
}
