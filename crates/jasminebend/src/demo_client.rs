//! The HTTP client of the demonstration's callers and operators.

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

const LONGEST_CALL: Duration = Duration::from_secs(30);

/// How a call failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallFault {
    /// The connection was refused, so that nothing was sent.
    NotSent,
    /// No whole answer came.
    Broken,
}

/// The HTTP client of the demonstration's callers and operators. It never repeats a request.
#[derive(Clone)]
pub(crate) struct DemoClient(Client<HttpConnector, Full<Bytes>>);

impl DemoClient {
    pub(crate) fn new() -> Self {
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build_http();
        Self(client)
    }

    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, CallFault> {
        let path = request
            .uri()
            .path_and_query()
            .map_or("/", |path| path.as_str());
        let uri = format!("http://{address}{path}");
        *request.uri_mut() = uri.parse().map_err(|_| CallFault::NotSent)?;
        let answer = timeout(LONGEST_CALL, self.exchange(request)).await;
        answer.unwrap_or(Err(CallFault::Broken))
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Response<Bytes>, CallFault> {
        let response = self.0.request(request).await.map_err(|error| {
            if error.is_connect() {
                return CallFault::NotSent;
            }
            CallFault::Broken
        })?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(|_| CallFault::Broken)?;
        Ok(Response::from_parts(head, body.to_bytes()))
    }
}
