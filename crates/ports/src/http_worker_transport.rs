//! The HTTP adapter to the workers.

use std::{
    net::{
        IpAddr,
        SocketAddr, //
    },
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration, //
};

use async_trait::async_trait;
use http::{
    Method,
    StatusCode, //
};
use indexmap::IndexMap;

use crate::{
    AccessToken,
    AnswerFormat,
    WorkerAnswer,
    WorkerError,
    WorkerRequest,
    WorkerTransport,
    call_error::CallError,
    http_client::{
        HttpCall,
        HttpClient,
        HttpOptions,
        HttpResponse, //
    }, //
};

/// The HTTP adapter to the workers, with a connection pool for each worker.
#[derive(Debug, Default)]
pub struct HttpWorkerTransport {
    options: HttpOptions,
    format: AnswerFormat,
    /// The client of each worker, by the worker's address.
    clients: Mutex<IndexMap<SocketAddr, Arc<HttpClient>>>,
}

impl HttpWorkerTransport {
    /// Creates an adapter with a timeout of 2 s for each call.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the timeout for each call.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.options.timeout = timeout;
        self
    }

    /// Sets the bearer token that is sent with each call.
    pub fn with_token(mut self, token: AccessToken) -> Self {
        self.options.token = Some(token);
        self
    }

    /// Sets the encoding that is requested for answers.
    pub fn with_format(mut self, format: AnswerFormat) -> Self {
        self.format = format;
        self
    }

    /// Sets the local address from which connections are made.
    pub fn with_local_address(mut self, address: IpAddr) -> Self {
        self.options.local_address = Some(address);
        self
    }

    /// Returns the client of the worker at this address, and creates it if there is none.
    fn client(&self, worker: SocketAddr) -> Arc<HttpClient> {
        let mut clients = self.lock();
        let client = clients
            .entry(worker)
            .or_insert_with(|| Arc::new(HttpClient::new(self.options.clone())));
        Arc::clone(client)
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<SocketAddr, Arc<HttpClient>>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Parses the answer in the encoding that the response names; `None` if it is malformed or followed
/// by other bytes.
fn parse_answer(response: &HttpResponse) -> Option<WorkerAnswer> {
    match AnswerFormat::from_content_type_header(response.content_type.as_ref()) {
        AnswerFormat::Json => serde_json::from_slice(&response.body).ok(),
        AnswerFormat::Postcard => match postcard::take_from_bytes(&response.body) {
            Ok((answer, [])) => Some(answer),
            _ => None,
        },
    }
}

/// Converts a response into the worker's answer or error. The error of a status 409 is always in
/// JSON.
fn parse_response(response: HttpResponse) -> Result<WorkerAnswer, WorkerError> {
    match response.status {
        StatusCode::OK => parse_answer(&response).ok_or(WorkerError::Unknown),
        StatusCode::CONFLICT => {
            Err(serde_json::from_slice(&response.body).unwrap_or(WorkerError::Unknown))
        }
        _ => Err(WorkerError::Unknown),
    }
}

#[async_trait]
impl WorkerTransport for HttpWorkerTransport {
    async fn call(
        &self,
        worker: SocketAddr,
        request: WorkerRequest,
    ) -> Result<WorkerAnswer, WorkerError> {
        let body = serde_json::to_vec(&request).map_err(|_| WorkerError::Unreachable)?;
        let call = HttpCall {
            address: worker,
            method: Method::POST,
            path: WorkerRequest::PATH.to_owned(),
            body: body.into(),
            accept: Some(self.format.accept_header()),
            if_none_match: None,
        };
        let response = self.client(worker).send_write(call).await;
        if response.as_ref().err() == Some(&CallError::Unreachable) {
            // Drops the client, so that those of terminated workers do not accumulate.
            self.lock().swap_remove(&worker);
        }
        parse_response(response?)
    }
}
