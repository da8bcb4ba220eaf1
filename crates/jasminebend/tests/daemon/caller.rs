//! A caller, and an operator.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    Request,
    StatusCode, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use jasminebend_base::Configuration;
use jasminebend_standins::EndpointAnswer;
use jbctl::{
    AdminClient,
    AdminRequest,
    AdminResponse,
    GlobalOptions, //
    OperatorCommand,
};
use tokio::{
    net::TcpStream,
    time::sleep, //
};

const PAUSE: Duration = Duration::from_millis(20);
const MOST_LOOKS: usize = 3000;

/// What became of a caller's request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum CallerOutcome {
    /// The whole answer to this request.
    Whole,
    /// A refusal that says that the request was not run.
    NotRun,
    /// No connection came about.
    NoConnection,
    /// Anything else; none of it may happen during a planned stop.
    Lost,
}

/// Sends one request that must not run twice, on a connection of its own.
pub(crate) async fn order(daemon: SocketAddr, id: &str) -> CallerOutcome {
    let Ok(stream) = TcpStream::connect(daemon).await else {
        return CallerOutcome::NoConnection;
    };
    exchange(stream, id).await.unwrap_or(CallerOutcome::Lost)
}

async fn exchange(stream: TcpStream, id: &str) -> Result<CallerOutcome, hyper::Error> {
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let body = Bytes::from_static(b"an order");
    let request = Request::post("/orders")
        .header("host", "shop")
        .header("x-request-id", id)
        .body(Full::new(body.clone()))
        .expect("a request");
    let response = sender.send_request(request).await?;
    let (head, answer) = response.into_parts();
    let answer = answer.collect().await?.to_bytes();
    let not_run = head.headers.get("jasminebend-executed");
    if not_run.is_some_and(|value| value == "no") {
        return Ok(CallerOutcome::NotRun);
    }
    let whole = EndpointAnswer::check(id, &body, &answer).is_ok();
    match head.status == StatusCode::OK && whole {
        true => Ok(CallerOutcome::Whole),
        false => Ok(CallerOutcome::Lost),
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

/// Waits until the daemon answers an order whole; each try has an identity of its own.
pub(crate) async fn wait_until_served(daemon: SocketAddr, id: &str) {
    let mut number = 0;
    let served = async || {
        number += 1;
        order(daemon, &format!("{id}-{daemon}-{number}")).await == CallerOutcome::Whole
    };
    until("an answered order", served).await;
}

/// Tells whether the balancer may send callers to a daemon; one that is gone is not ready.
pub(crate) async fn is_ready(admin: SocketAddr) -> bool {
    let call = AdminRequest {
        method: http::Method::GET,
        path: "/readyz".to_owned(),
        expected_version: None,
        body: Default::default(),
    };
    let answer = client(admin).call(&call).await;
    answer.is_ok_and(|answer| answer.status.is_success())
}

/// Makes one call of the administration API.
pub(crate) async fn operate(daemon: SocketAddr, call: AdminRequest) -> AdminResponse {
    client(daemon).call(&call).await.expect("an answer")
}

fn client(daemon: SocketAddr) -> AdminClient {
    let mut options = GlobalOptions::new();
    options.address = daemon.to_string();
    AdminClient::new(&options).expect("a client")
}

/// Makes the call of a command that reads no file.
pub(crate) async fn command(daemon: SocketAddr, command: OperatorCommand) -> AdminResponse {
    let call = AdminRequest::new(&command)
        .expect("a call")
        .expect("a call");
    operate(daemon, call).await
}

/// Makes the call that replaces the configuration of the same version.
pub(crate) fn put(configuration: &Configuration) -> AdminRequest {
    AdminRequest {
        method: http::Method::PUT,
        path: "/v1/configuration".to_owned(),
        expected_version: Some(configuration.version),
        body: serde_json::to_vec(configuration).expect("JSON").into(),
    }
}

/// Puts the first configuration, again and again until the daemon takes it.
pub(crate) async fn configure(daemon: SocketAddr, configuration: &Configuration) {
    let call = put(configuration);
    let taken = async || operate(daemon, call.clone()).await.status == StatusCode::OK;
    until("a configuration taken", taken).await;
}

/// Sends a plain request with these headers, and returns its status.
pub(crate) async fn plain(
    daemon: SocketAddr,
    method: http::Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &'static str,
) -> StatusCode {
    let stream = TcpStream::connect(daemon).await.expect("a listener");
    let shaken = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = shaken.expect("a connection");
    tokio::spawn(connection);
    let mut request = Request::builder().method(method).uri(path);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.header("host", "shop");
    let request = request.body(Full::new(Bytes::from(body)));
    let sent = sender.send_request(request.expect("a request")).await;
    sent.expect("an answer").status()
}
