//! The HTTP client of the demonstration's callers and operator.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    Request,
    Response, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper_util::{
    client::legacy::{
        Client,
        connect::HttpConnector, //
    },
    rt::TokioExecutor, //
};
use tokio::time::timeout;

const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Failure of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallError {
    /// The connection was refused, so that nothing was sent.
    NotSent,
    /// No complete response was received, so the request may have been run.
    NoResponse,
}

/// The HTTP client of the demonstration's callers and operator. It never retries a request.
#[derive(Clone)]
pub(crate) struct DemoClient(Client<HttpConnector, Full<Bytes>>);

impl DemoClient {
    pub(crate) fn new() -> Self {
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build_http();
        Self(client)
    }

    /// Sends a request to `address`, and returns the complete response.
    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, CallError> {
        let path = request
            .uri()
            .path_and_query()
            .map_or("/", |path| path.as_str());
        let uri = format!("http://{address}{path}");
        *request.uri_mut() = uri.parse().map_err(|_| CallError::NotSent)?;
        let answer = timeout(CALL_TIMEOUT, self.exchange(request)).await;
        answer.unwrap_or(Err(CallError::NoResponse))
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Response<Bytes>, CallError> {
        let response = self.0.request(request).await.map_err(|error| {
            if error.is_connect() {
                return CallError::NotSent;
            }
            CallError::NoResponse
        })?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(|_| CallError::NoResponse)?;
        Ok(Response::from_parts(head, body.to_bytes()))
    }
}
