//! The operator of the demonstration: everything it does goes through the administration API.

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
    demo_error::OperatorFault, //
};

/// The operator of the demonstration.
#[derive(Clone)]
pub(crate) struct DemoOperator {
    client: DemoClient,
}

impl DemoOperator {
    pub(crate) fn new(client: DemoClient) -> Self {
        Self { client }
    }

    pub(crate) async fn configure(
        &self,
        daemon: SocketAddr,
        configuration: &Configuration,
    ) -> Result<(), OperatorFault> {
        let body = serde_json::to_vec(configuration).unwrap_or_default();
        let expected = configuration.version.to_string();
        let call = OperatorCall::new(Method::PUT, "/v1/configuration")
            .with_body(body)
            .with_version(expected);
        self.carry_out(daemon, call).await.map(drop)
    }

    pub(crate) async fn set_domain(
        &self,
        daemon: SocketAddr,
        domain: &DomainName,
        state: DomainState,
    ) -> Result<(), OperatorFault> {
        let call = OperatorCall::new(Method::POST, &format!("/v1/domains/{domain}/{state}"));
        self.carry_out(daemon, call).await.map(drop)
    }

    /// Submits a job and returns its identity.
    pub(crate) async fn submit(
        &self,
        daemon: SocketAddr,
        job: &Value,
    ) -> Result<String, OperatorFault> {
        let call = OperatorCall::new(Method::POST, "/v1/jobs").with_body(job.to_string().into());
        let answer = self.carry_out(daemon, call).await?;
        let job = answer.get("job").and_then(Value::as_str);
        Ok(job.unwrap_or_default().to_owned())
    }

    pub(crate) async fn ready(&self, daemon: SocketAddr) -> bool {
        let call = OperatorCall::new(Method::GET, "/readyz");
        match self.client.call(daemon, call.request()).await {
            Ok(response) => response.status() == StatusCode::OK,
            Err(_) => false,
        }
    }

    async fn carry_out(
        &self,
        daemon: SocketAddr,
        call: OperatorCall,
    ) -> Result<Value, OperatorFault> {
        let answered = self.client.call(daemon, call.request()).await;
        let Ok(response) = answered else {
            return Err(call.fault(0, "no answer"));
        };
        let text = String::from_utf8_lossy(response.body());
        if !response.status().is_success() {
            return Err(call.fault(response.status().as_u16(), &text));
        }
        Ok(serde_json::from_str(&text).unwrap_or_default())
    }
}

struct OperatorCall {
    method: Method,
    path: String,
    body: Vec<u8>,
    version: Option<String>,
}

impl OperatorCall {
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

    fn request(&self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::from(self.body.clone()));
        *request.method_mut() = self.method.clone();
        if let Ok(uri) = self.path.parse() {
            *request.uri_mut() = uri;
        }
        let version = self
            .version
            .as_ref()
            .and_then(|version| version.parse().ok());
        if let Some(version) = version {
            request.headers_mut().insert(IF_MATCH, version);
        }
        request
    }

    fn fault(&self, status: u16, answer: &str) -> OperatorFault {
        OperatorFault {
            request: format!("{} {}", self.method, self.path),
            status,
            answer: answer.trim().to_owned(),
        }
    }
}
