//! The table service over HTTP.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use async_trait::async_trait;
use http::{
    Method,
    StatusCode, //
};
use serde::de::DeserializeOwned;

use crate::{
    AccessToken,
    CommitOutcome,
    RowChange,
    RowKey,
    TableError,
    TableRequest,
    TableRow,
    TableService,
    WriteId,
    http_caller::{
        HttpAnswer,
        HttpCall,
        HttpCaller,
        HttpOptions, //
    }, //
};

/// The table service over HTTP.
#[derive(Debug)]
pub struct HttpTable {
    address: SocketAddr,
    options: HttpOptions,
    caller: HttpCaller,
}

impl HttpTable {
    /// Creates an adapter to the service at this address; a call takes 2 s at the most.
    pub fn new(address: SocketAddr) -> Self {
        Self::build(address, HttpOptions::default())
    }

    /// Sets how long a call may take.
    pub fn with_timeout(self, timeout: Duration) -> Self {
        let options = HttpOptions {
            timeout,
            ..self.options
        };
        Self::build(self.address, options)
    }

    /// Sets the token that the service asks for.
    pub fn with_token(self, token: AccessToken) -> Self {
        let options = HttpOptions {
            token: Some(token),
            ..self.options
        };
        Self::build(self.address, options)
    }

    fn build(address: SocketAddr, options: HttpOptions) -> Self {
        Self {
            address,
            caller: HttpCaller::new(options.clone()),
            options,
        }
    }

    fn call(&self, request: &TableRequest) -> Result<HttpCall, TableError> {
        let body = serde_json::to_vec(request).map_err(|_| TableError::TooLarge)?;
        Ok(HttpCall {
            address: self.address,
            method: Method::POST,
            path: TableRequest::PATH.to_owned(),
            body: body.into(),
            accept: None,
            known: None,
        })
    }
}

fn parse<Answer>(answer: HttpAnswer) -> Result<Answer, TableError>
where
    Answer: DeserializeOwned,
{
    match answer.status {
        StatusCode::OK => serde_json::from_slice(&answer.body).map_err(|_| TableError::Malformed),
        _ => Err(TableError::Malformed),
    }
}

#[async_trait]
impl TableService for HttpTable {
    async fn read(&self, key: &RowKey) -> Result<Option<TableRow>, TableError> {
        let call = self.call(&TableRequest::Read { key: key.clone() })?;
        parse(self.caller.read(call).await?)
    }

    async fn scan(
        &self,
        prefix: &RowKey,
        after: Option<&RowKey>,
        limit: usize,
    ) -> Result<Vec<TableRow>, TableError> {
        let call = self.call(&TableRequest::Scan {
            prefix: prefix.clone(),
            after: after.cloned(),
            limit,
        })?;
        parse(self.caller.read(call).await?)
    }

    async fn commit(
        &self,
        write: WriteId,
        changes: Vec<RowChange>,
    ) -> Result<CommitOutcome, TableError> {
        let call = self.call(&TableRequest::Commit { write, changes })?;
        parse(self.caller.write(call).await?)
    }
}
