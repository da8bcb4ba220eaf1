//! Requests of callers and operators.

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

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const MAX_POLLS: usize = 3000;

/// The outcome of a caller's request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum CallerOutcome {
    /// The complete answer to this request was received.
    Whole,
    /// The request was refused with the statement that it was not run.
    NotRun,
    /// No connection was established.
    NoConnection,
    /// Any other outcome; must not happen during a planned stop.
    Lost,
}

/// Sends an order, a request that must not run twice, on its own connection.
pub(crate) async fn send_order(daemon: SocketAddr, id: &str) -> CallerOutcome {
    let Ok(stream) = TcpStream::connect(daemon).await else {
        return CallerOutcome::NoConnection;
    };
    exchange_order(stream, id)
        .await
        .unwrap_or(CallerOutcome::Lost)
}

async fn exchange_order(stream: TcpStream, id: &str) -> Result<CallerOutcome, hyper::Error> {
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

/// Waits until the daemon answers an order completely; each attempt has its own request identifier.
pub(crate) async fn wait_until_served(daemon: SocketAddr, id: &str) {
    let mut number = 0;
    let served = async || {
        number += 1;
        send_order(daemon, &format!("{id}-{daemon}-{number}")).await == CallerOutcome::Whole
    };
    wait_until("an answered order", served).await;
}

/// Returns whether a daemon's readiness check succeeds; false if the daemon does not answer.
pub(crate) async fn is_ready(admin: SocketAddr) -> bool {
    let call = AdminRequest {
        method: http::Method::GET,
        path: "/readyz".to_owned(),
        expected_version: None,
        body: Default::default(),
    };
    let answer = admin_client(admin).call(&call).await;
    answer.is_ok_and(|answer| answer.status.is_success())
}

/// Sends a request to the administration API.
pub(crate) async fn send_admin_request(daemon: SocketAddr, call: AdminRequest) -> AdminResponse {
    admin_client(daemon).call(&call).await.expect("an answer")
}

fn admin_client(daemon: SocketAddr) -> AdminClient {
    let mut options = GlobalOptions::new();
    options.address = daemon.to_string();
    AdminClient::new(&options).expect("a client")
}

/// Sends the request of a `jbctl` command, which must not read a file.
pub(crate) async fn run_command(daemon: SocketAddr, command: OperatorCommand) -> AdminResponse {
    let call = AdminRequest::new(&command)
        .expect("a call")
        .expect("a call");
    send_admin_request(daemon, call).await
}

/// Returns the request that replaces the configuration of the same version.
pub(crate) fn put_configuration(configuration: &Configuration) -> AdminRequest {
    AdminRequest {
        method: http::Method::PUT,
        path: "/v1/configuration".to_owned(),
        expected_version: Some(configuration.version),
        body: serde_json::to_vec(configuration).expect("JSON").into(),
    }
}

/// Sets the first configuration, and retries until the daemon accepts it.
pub(crate) async fn configure(daemon: SocketAddr, configuration: &Configuration) {
    let call = put_configuration(configuration);
    let accepted = async || send_admin_request(daemon, call.clone()).await.status == StatusCode::OK;
    wait_until("an accepted configuration", accepted).await;
}

/// Sends an HTTP request with these headers, and returns the status of the response.
pub(crate) async fn request_status(
    daemon: SocketAddr,
    method: http::Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &'static str,
) -> StatusCode {
    let stream = TcpStream::connect(daemon).await.expect("a listener");
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.expect("a connection");
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
