//! The HTTP adapter to the table service.

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
    http_client::{
        HttpCall,
        HttpClient,
        HttpOptions, //
        HttpResponse,
    }, //
};

/// The HTTP adapter to the table service, which sends each [`TableRequest`] as a `POST` in JSON.
#[derive(Debug)]
pub struct HttpTableService {
    address: SocketAddr,
    options: HttpOptions,
    client: HttpClient,
}

impl HttpTableService {
    /// Creates an adapter to the service at this address, with a timeout of 2 s for each call.
    pub fn new(address: SocketAddr) -> Self {
        Self::with_client(address, HttpOptions::default())
    }

    /// Sets the timeout for each call.
    pub fn with_timeout(self, timeout: Duration) -> Self {
        let options = HttpOptions {
            timeout,
            ..self.options
        };
        Self::with_client(self.address, options)
    }

    /// Sets the bearer token that is sent with each call.
    pub fn with_token(self, token: AccessToken) -> Self {
        let options = HttpOptions {
            token: Some(token),
            ..self.options
        };
        Self::with_client(self.address, options)
    }

    fn with_client(address: SocketAddr, options: HttpOptions) -> Self {
        Self {
            address,
            client: HttpClient::new(options.clone()),
            options,
        }
    }

    /// Builds the call that carries this request.
    fn build_call(&self, request: &TableRequest) -> Result<HttpCall, TableError> {
        let body = serde_json::to_vec(request).map_err(|_| TableError::TooLarge)?;
        Ok(HttpCall {
            address: self.address,
            method: Method::POST,
            path: TableRequest::PATH.to_owned(),
            body: body.into(),
            accept: None,
            if_none_match: None,
        })
    }
}

/// Parses the body of a response with status 200; any other response is malformed.
fn parse_response<Answer>(response: HttpResponse) -> Result<Answer, TableError>
where
    Answer: DeserializeOwned,
{
    match response.status {
        StatusCode::OK => serde_json::from_slice(&response.body).map_err(|_| TableError::Malformed),
        _ => Err(TableError::Malformed),
    }
}

#[async_trait]
impl TableService for HttpTableService {
    async fn read(&self, key: &RowKey) -> Result<Option<TableRow>, TableError> {
        let call = self.build_call(&TableRequest::Read { key: key.clone() })?;
        parse_response(self.client.send_read(call).await?)
    }

    async fn scan(
        &self,
        prefix: &RowKey,
        after: Option<&RowKey>,
        limit: usize,
    ) -> Result<Vec<TableRow>, TableError> {
        let call = self.build_call(&TableRequest::Scan {
            prefix: prefix.clone(),
            after: after.cloned(),
            limit,
        })?;
        parse_response(self.client.send_read(call).await?)
    }

    async fn commit(
        &self,
        write: WriteId,
        changes: Vec<RowChange>,
    ) -> Result<CommitOutcome, TableError> {
        let call = self.build_call(&TableRequest::Commit { write, changes })?;
        parse_response(self.client.send_write(call).await?)
    }
}
