//! The operator of the demonstration, a client of the administration API.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{
    Method,
    Request,
    StatusCode,
    header::IF_MATCH, //
};
use http_body_util::Full;
use jasminebend_base::{
    Configuration,
    DomainName,
    DomainState, //
};
use serde_json::Value;

use crate::{
    demo_client::DemoClient,
    demo_error::OperatorRequestError, //
};

/// The operator of the demonstration, which acts only through the administration API.
#[derive(Clone)]
pub(crate) struct DemoOperator {
    client: DemoClient,
}

impl DemoOperator {
    pub(crate) fn new(client: DemoClient) -> Self {
        Self { client }
    }

    /// Replaces the configuration.
    pub(crate) async fn configure(
        &self,
        daemon: SocketAddr,
        configuration: &Configuration,
    ) -> Result<(), OperatorRequestError> {
        let body = serde_json::to_vec(configuration).unwrap_or_default();
        let expected = configuration.version.to_string();
        let request = OperatorRequest::new(Method::PUT, "/v1/configuration")
            .with_body(body)
            .with_version(expected);
        self.send(daemon, request).await.map(drop)
    }

    /// Takes a failure domain out or in.
    pub(crate) async fn set_domain(
        &self,
        daemon: SocketAddr,
        domain: &DomainName,
        state: DomainState,
    ) -> Result<(), OperatorRequestError> {
        let request = OperatorRequest::new(Method::POST, &format!("/v1/domains/{domain}/{state}"));
        self.send(daemon, request).await.map(drop)
    }

    /// Submits a job and returns its identifier.
    pub(crate) async fn submit(
        &self,
        daemon: SocketAddr,
        job: &Value,
    ) -> Result<String, OperatorRequestError> {
        let request =
            OperatorRequest::new(Method::POST, "/v1/jobs").with_body(job.to_string().into());
        let answer = self.send(daemon, request).await?;
        let job = answer.get("job").and_then(Value::as_str);
        Ok(job.unwrap_or_default().to_owned())
    }

    /// Returns whether the daemon's readiness check succeeds.
    pub(crate) async fn is_ready(&self, daemon: SocketAddr) -> bool {
        let request = OperatorRequest::new(Method::GET, "/readyz");
        match self.client.call(daemon, request.to_http()).await {
            Ok(response) => response.status() == StatusCode::OK,
            Err(_) => false,
        }
    }

    /// Sends a request, and returns the JSON of a successful response.
    async fn send(
        &self,
        daemon: SocketAddr,
        request: OperatorRequest,
    ) -> Result<Value, OperatorRequestError> {
        let result = self.client.call(daemon, request.to_http()).await;
        let Ok(response) = result else {
            return Err(request.error(0, "no answer"));
        };
        let text = String::from_utf8_lossy(response.body());
        if !response.status().is_success() {
            return Err(request.error(response.status().as_u16(), &text));
        }
        Ok(serde_json::from_str(&text).unwrap_or_default())
    }
}

/// A request to the administration API.
struct OperatorRequest {
    method: Method,
    path: String,
    body: Vec<u8>,
    /// The configuration version that the change is based on.
    version: Option<String>,
}

impl OperatorRequest {
    fn new(method: Method, path: &str) -> Self {
        Self {
            method,
            path: path.to_owned(),
            body: Vec::new(),
            version: None,
        }
    }

    fn with_body(mut self, body: Vec<u8>) -> Self {
        self.body = body;
        self
    }

    fn with_version(mut self, version: String) -> Self {
        self.version = Some(version);
        self
    }

    fn to_http(&self) -> Request<Full<Bytes>> {
        let mut http_request = Request::new(Full::from(self.body.clone()));
        *http_request.method_mut() = self.method.clone();
        if let Ok(uri) = self.path.parse() {
            *http_request.uri_mut() = uri;
        }
        let version = self
            .version
            .as_ref()
            .and_then(|version| version.parse().ok());
        if let Some(version) = version {
            http_request.headers_mut().insert(IF_MATCH, version);
        }
        http_request
    }

    /// Builds the error of this request from the status and body of its response.
    fn error(&self, status: u16, answer: &str) -> OperatorRequestError {
        OperatorRequestError {
            request: format!("{} {}", self.method, self.path),
            status,
            answer: answer.trim().to_owned(),
        }
    }
}
