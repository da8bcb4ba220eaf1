//! The workers over HTTP.

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
    WorkerCalls,
    WorkerError,
    WorkerRequest,
    call_error::CallError,
    http_caller::{
        HttpAnswer,
        HttpCall,
        HttpCaller,
        HttpOptions, //
    }, //
};

/// The workers over HTTP, each with its own pooled connections.
#[derive(Debug, Default)]
pub struct HttpWorkers {
    options: HttpOptions,
    format: AnswerFormat,
    callers: Mutex<IndexMap<SocketAddr, Arc<HttpCaller>>>,
}

impl HttpWorkers {
    /// Creates an adapter; a call takes 2 s at the most.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets how long a call may take.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.options.timeout = timeout;
        self
    }

    /// Sets the token that the workers ask for.
    pub fn with_token(mut self, token: AccessToken) -> Self {
        self.options.token = Some(token);
        self
    }

    /// Sets how workers are asked to write their answers.
    pub fn with_format(mut self, format: AnswerFormat) -> Self {
        self.format = format;
        self
    }

    /// Sets the address that connections are made from.
    pub fn with_local_address(mut self, address: IpAddr) -> Self {
        self.options.local_address = Some(address);
        self
    }

    fn caller(&self, worker: SocketAddr) -> Arc<HttpCaller> {
        let mut callers = self.lock();
        let caller = callers
            .entry(worker)
            .or_insert_with(|| Arc::new(HttpCaller::new(self.options.clone())));
        Arc::clone(caller)
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<SocketAddr, Arc<HttpCaller>>> {
        self.callers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn read_answer(answer: &HttpAnswer) -> Option<WorkerAnswer> {
    match AnswerFormat::from_content_type(answer.content_type.as_ref()) {
        AnswerFormat::Json => serde_json::from_slice(&answer.body).ok(),
        AnswerFormat::Postcard => match postcard::take_from_bytes(&answer.body) {
            Ok((answer, [])) => Some(answer),
            _ => None,
        },
    }
}

fn parse(answer: HttpAnswer) -> Result<WorkerAnswer, WorkerError> {
    match answer.status {
        StatusCode::OK => read_answer(&answer).ok_or(WorkerError::Unknown),
        StatusCode::CONFLICT => {
            Err(serde_json::from_slice(&answer.body).unwrap_or(WorkerError::Unknown))
        }
        _ => Err(WorkerError::Unknown),
    }
}

#[async_trait]
impl WorkerCalls for HttpWorkers {
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
            accept: Some(self.format.accept()),
            known: None,
        };
        let answer = self.caller(worker).write(call).await;
        if answer.as_ref().err() == Some(&CallError::Unreachable) {
            // A worker that is gone for good must not leave its pool behind.
            self.lock().swap_remove(&worker);
        }
        parse(answer?)
    }
}
