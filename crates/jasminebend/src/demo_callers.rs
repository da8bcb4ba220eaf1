//! The demonstration's callers.

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
        CallFault,
        DemoClient, //
    },
    demo_daemons::DemoBalancer,
    demo_tally::{
        DemoTally,
        RequestFate,
        TallyCounts, //
    },
};

const CALLERS: u64 = 30;
const LONGEST_PAUSE: Duration = Duration::from_millis(60);
const BALANCER_RETRY: Duration = Duration::from_millis(50);
const EXECUTED: &str = "jasminebend-executed";
const REASON: &str = "jasminebend-reason";

/// A class of requests that the demonstration's callers send.
pub(crate) struct RequestKind {
    pub(crate) name: &'static str,
    pub(crate) method: Method,
    pub(crate) path: &'static str,
    pub(crate) idempotent: bool,
    pub(crate) tally: DemoTally,
}

/// The demonstration's callers.
pub(crate) struct DemoCallers {
    pub(crate) kinds: Vec<RequestKind>,
    client: DemoClient,
    balancer: DemoBalancer,
    seed: u64,
    next: AtomicU64,
    ended: AtomicBool,
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
            tally: DemoTally::new()?,
        };
        let booking = RequestKind {
            name: "booking",
            method: Method::POST,
            path: "/booking",
            idempotent: false,
            tally: DemoTally::new()?,
        };
        Ok(Self {
            kinds: vec![quote, booking],
            client,
            balancer,
            seed,
            next: AtomicU64::new(0),
            ended: AtomicBool::new(false),
        })
    }

    pub(crate) fn start(self: &Arc<Self>) -> JoinSet<()> {
        let mut tasks = JoinSet::new();
        for number in 0..CALLERS {
            tasks.spawn(Arc::clone(self).call_until_ended(number));
        }
        tasks
    }

    /// Returns the counts of all classes together.
    pub(crate) fn counts(&self) -> TallyCounts {
        let kinds = self.kinds.iter().map(|kind| kind.tally.counts());
        kinds.fold(TallyCounts::default(), |sum, counts| TallyCounts {
            sent: sum.sent + counts.sent,
            whole: sum.whole + counts.whole,
            not_run: sum.not_run + counts.not_run,
            unknown: sum.unknown + counts.unknown,
            wrong: sum.wrong + counts.wrong,
            ..sum
        })
    }

    pub(crate) fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
    }

    async fn call_until_ended(self: Arc<Self>, number: u64) {
        let mut random = StdRng::seed_from_u64(self.seed.wrapping_add(number));
        while !self.ended.load(Ordering::Relaxed) {
            let kind = &self.kinds[random.random_range(0..self.kinds.len())];
            self.call(kind).await;
            sleep(random.random_range(Duration::ZERO..LONGEST_PAUSE)).await;
        }
    }

    async fn call(&self, kind: &RequestKind) {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let Some(daemon) = self.balancer.pick(number) else {
            sleep(BALANCER_RETRY).await;
            return;
        };
        let id = format!("{}-{number}", kind.name);
        let body = body_of(kind, &id);
        let Ok(request) = request(kind, &id, &body) else {
            return;
        };
        kind.tally.send();
        let begun = Instant::now();
        let answer = self.client.call(daemon.callers, request).await;
        if let Some(reason) = refusal(&answer) {
            kind.tally.refuse(reason);
        }
        let fate = fate(answer, &id, &body, begun);
        kind.tally.settle(id, fate);
    }
}

fn body_of(kind: &RequestKind, id: &str) -> Bytes {
    match kind.idempotent {
        true => Bytes::new(),
        false => Bytes::from(format!("bench 7, guitar of {id}")),
    }
}

fn request(
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

fn refusal(answer: &Result<Response<Bytes>, CallFault>) -> Option<&str> {
    match answer {
        Err(CallFault::NotSent) => Some("connection_refused"),
        Err(CallFault::Broken) => None,
        Ok(response) => response.headers().get(REASON)?.to_str().ok(),
    }
}

fn fate(
    answer: Result<Response<Bytes>, CallFault>,
    id: &str,
    body: &Bytes,
    begun: Instant,
) -> RequestFate {
    let response = match answer {
        Ok(response) => response,
        Err(CallFault::NotSent) => return RequestFate::NotRun,
        Err(CallFault::Broken) => return RequestFate::Unknown,
    };
    if response.status() == StatusCode::OK {
        return match EndpointAnswer::check(id, body, response.body()) {
            Ok(()) => RequestFate::Whole(begun.elapsed()),
            Err(_) => RequestFate::Wrong,
        };
    }
    match response
        .headers()
        .get(EXECUTED)
        .map(|value| value.as_bytes())
    {
        Some(b"no") => RequestFate::NotRun,
        Some(b"unknown") => RequestFate::Unknown,
        _ => RequestFate::Wrong,
    }
}
