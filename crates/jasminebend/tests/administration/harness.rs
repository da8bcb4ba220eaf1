//! A daemon's administration API over a control that its test sets.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    HeaderMap,
    Method,
    Request,
    StatusCode, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use jasminebend::{
    AdminFront,
    AdminGuard,
    DaemonSettings,
    ListenSettings,
    MetricsHub,
    PeerKeySource,
    SecretText, //
};
use jasminebend_base::{
    ChangeOutcome,
    DomainName, //
};
use jasminebend_ports::{
    ClockSource,
    SystemClock, //
};
use tokio::{
    net::TcpStream,
    time::sleep, //
};

use crate::control_fake::ControlFake;

const PAUSE: Duration = Duration::from_millis(20);
const MOST_LOOKS: usize = 3000;

/// The token of the operator `olga`, who may operate.
pub(crate) const OPERATE: &str = "operate-token";
/// The token of the operator `rita`, who may read.
pub(crate) const READ: &str = "read-token";

pub(crate) fn settings() -> DaemonSettings {
    DaemonSettings::new(
        ListenSettings::new(),
        DomainName::from("a"),
        PeerKeySource::Text(SecretText::new("peer")),
    )
}

/// Writes a tokens file that lists these operators by the digests of their tokens.
pub(crate) fn tokens_file(operators: &[(&str, &str, &str)]) -> String {
    let line = |(name, role, token): &(&str, &str, &str)| {
        let digest = blake3::hash(token.as_bytes());
        format!("- {{name: {name}, role: {role}, blake3: \"{digest}\"}}\n")
    };
    operators.iter().map(line).collect()
}

/// The API at work, and the control behind it.
pub(crate) struct AdminHarness {
    pub(crate) control: Arc<ControlFake>,
    pub(crate) guard: AdminGuard,
}

impl AdminHarness {
    pub(crate) async fn start(settings: &DaemonSettings) -> Self {
        Self::start_at(settings, Arc::new(SystemClock::new())).await
    }

    /// Starts the API by the test's own clock.
    pub(crate) async fn start_at(settings: &DaemonSettings, clock: Arc<dyn ClockSource>) -> Self {
        let control = Arc::new(ControlFake::new());
        let front = AdminFront::bind(settings).await.expect("free addresses");
        let port = Arc::clone(&control);
        let guard = front.serve(port, MetricsHub::install(), clock);
        let guard = guard.expect("addresses");
        Self { control, guard }
    }

    pub(crate) async fn call(&self, call: PlainCall) -> PlainAnswer {
        call.send_to(self.guard.address()).await
    }
}

/// A request as any HTTP client would send it.
pub(crate) struct PlainCall {
    request: http::request::Builder,
    body: String,
}

impl PlainCall {
    pub(crate) fn new(method: Method, path: &str) -> Self {
        Self {
            request: Request::builder()
                .method(method)
                .uri(path)
                .header("host", "a"),
            body: String::new(),
        }
    }

    pub(crate) fn with_header(mut self, name: &str, value: &str) -> Self {
        self.request = self.request.header(name, value);
        self
    }

    pub(crate) fn with_token(self, token: &str) -> Self {
        self.with_header("authorization", &format!("Bearer {token}"))
    }

    pub(crate) fn with_body(mut self, body: &str) -> Self {
        self.body = body.to_owned();
        self
    }

    pub(crate) async fn send_to(self, address: SocketAddr) -> PlainAnswer {
        let stream = TcpStream::connect(address).await.expect("a listener");
        let shaken = http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = shaken.expect("a connection");
        tokio::spawn(connection);
        let request = self.request.body(Full::new(Bytes::from(self.body)));
        let request = request.expect("a request");
        let response = sender.send_request(request).await.expect("an answer");
        let (head, body) = response.into_parts();
        let body = body.collect().await.expect("a whole answer").to_bytes();
        PlainAnswer {
            status: head.status,
            headers: head.headers,
            body: String::from_utf8(body.to_vec()).expect("text"),
        }
    }
}

/// An answer, whole.
#[derive(Debug)]
pub(crate) struct PlainAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: String,
}

impl PlainAnswer {
    pub(crate) fn outcome(&self) -> ChangeOutcome {
        serde_json::from_str(&self.body).expect("an outcome")
    }
}

/// Waits until `done`, and fails the test instead of hanging should that never come.
pub(crate) async fn until<Done>(what: &str, mut done: Done)
where
    Done: AsyncFnMut() -> bool,
{
    for _ in 0..MOST_LOOKS {
        if done().await {
            return;
        }
        sleep(PAUSE).await;
    }
    panic!("{what}: never");
}
