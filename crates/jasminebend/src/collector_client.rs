//! Sends spans to the collector from the exporter's own thread.

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

const TIMEOUT: Duration = Duration::from_secs(5);

/// Sends spans to the collector.
///
/// The batch processor exports from a thread of its own, without a runtime, on which hyper cannot
/// work: each request therefore runs on the daemon's runtime.
#[derive(Debug)]
pub(crate) struct CollectorClient {
    runtime: Handle,
    client: std::sync::Arc<HyperClient<HttpConnector>>,
}

impl CollectorClient {
    pub(crate) fn new(runtime: Handle) -> Self {
        let client = HyperClient::with_default_connector(TIMEOUT, None);
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
        let sent = self
            .runtime
            .spawn(async move { client.send_bytes(request).await });
        sent.await?
    }
}
