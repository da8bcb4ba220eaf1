//! A running administration API over a fake control port, and an HTTP client.

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
    AdminHandle,
    AdminListeners,
    DaemonSettings,
    ListenSettings,
    MetricsExporter,
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

use crate::fake_control_port::FakeControlPort;

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const MAX_POLLS: usize = 3000;

/// The token of the operator `olga`, who may operate.
pub(crate) const OPERATE_TOKEN: &str = "operate-token";
/// The token of the operator `rita`, who may read.
pub(crate) const READ_TOKEN: &str = "read-token";

pub(crate) fn settings() -> DaemonSettings {
    DaemonSettings::new(
        ListenSettings::new(),
        DomainName::from("a"),
        PeerKeySource::Text(SecretText::new("peer")),
    )
}

/// Returns the text of a tokens file for operators given by name, role and token.
pub(crate) fn tokens_file(operators: &[(&str, &str, &str)]) -> String {
    let line = |(name, role, token): &(&str, &str, &str)| {
        let digest = blake3::hash(token.as_bytes());
        format!("- {{name: {name}, role: {role}, blake3: \"{digest}\"}}\n")
    };
    operators.iter().map(line).collect()
}

/// A running administration API and the control port behind it.
pub(crate) struct AdminHarness {
    pub(crate) control: Arc<FakeControlPort>,
    pub(crate) handle: AdminHandle,
}

impl AdminHarness {
    pub(crate) async fn start(settings: &DaemonSettings) -> Self {
        Self::start_with_clock(settings, Arc::new(SystemClock::new())).await
    }

    /// Starts the API with a clock of the test.
    pub(crate) async fn start_with_clock(
        settings: &DaemonSettings,
        clock: Arc<dyn ClockSource>,
    ) -> Self {
        let control = Arc::new(FakeControlPort::new());
        let listeners = AdminListeners::bind(settings)
            .await
            .expect("free addresses");
        let port = Arc::clone(&control);
        let handle = listeners.serve(port, MetricsExporter::install(), clock);
        let handle = handle.expect("addresses");
        Self { control, handle }
    }

    pub(crate) async fn call(&self, call: HttpRequest) -> HttpResponse {
        call.send_to(self.handle.address()).await
    }
}

/// An HTTP request, sent on its own connection.
pub(crate) struct HttpRequest {
    request: http::request::Builder,
    body: String,
}

impl HttpRequest {
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

    pub(crate) async fn send_to(self, address: SocketAddr) -> HttpResponse {
        let stream = TcpStream::connect(address).await.expect("a listener");
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = handshake.expect("a connection");
        tokio::spawn(connection);
        let request = self.request.body(Full::new(Bytes::from(self.body)));
        let request = request.expect("a request");
        let response = sender.send_request(request).await.expect("an answer");
        let (head, body) = response.into_parts();
        let body = body.collect().await.expect("a whole answer").to_bytes();
        HttpResponse {
            status: head.status,
            headers: head.headers,
            body: String::from_utf8(body.to_vec()).expect("text"),
        }
    }
}

/// A complete HTTP response.
#[derive(Debug)]
pub(crate) struct HttpResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: String,
}

impl HttpResponse {
    pub(crate) fn outcome(&self) -> ChangeOutcome {
        serde_json::from_str(&self.body).expect("an outcome")
    }
}

/// Polls `done` until it returns true, and panics after [`MAX_POLLS`] polls instead of hanging.
pub(crate) async fn wait_until<Done>(what: &str, mut done: Done)
where
    Done: AsyncFnMut() -> bool,
{
    for _ in 0..MAX_POLLS {
        if done().await {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
    panic!("{what}: never");
}
