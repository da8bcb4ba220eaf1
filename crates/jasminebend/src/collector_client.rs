//! The HTTP client that sends spans to the trace collector.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::{
    Request,
    Response, //
};
use hyper_util::client::legacy::connect::HttpConnector;
use opentelemetry_http::{
    HttpClient,
    HttpError,
    hyper::HyperClient, //
};
use tokio::runtime::Handle;

const EXPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// The HTTP client that sends spans to the trace collector.
///
/// The batch processor exports from its own thread, which has no Tokio runtime. Hyper needs one, so each request
/// runs on the daemon's runtime.
#[derive(Debug)]
pub(crate) struct CollectorClient {
    runtime: Handle,
    client: std::sync::Arc<HyperClient<HttpConnector>>,
}

impl CollectorClient {
    pub(crate) fn new(runtime: Handle) -> Self {
        let client = HyperClient::with_default_connector(EXPORT_TIMEOUT, None);
        Self {
            runtime,
            client: std::sync::Arc::new(client),
        }
    }
}

#[async_trait]
impl HttpClient for CollectorClient {
    async fn send_bytes(&self, request: Request<Bytes>) -> Result<Response<Bytes>, HttpError> {
        let client = std::sync::Arc::clone(&self.client);
        let request_task = self
            .runtime
            .spawn(async move { client.send_bytes(request).await });
        request_task.await?
    }
}
