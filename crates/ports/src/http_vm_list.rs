//! The VM list over HTTP.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use async_trait::async_trait;
use bytes::Bytes;
use http::{
    Method,
    StatusCode, //
};
use jasminebend_base::VmSnapshot;

use crate::{
    AccessToken, VmList, VmListError,
    http_caller::{
        HttpCall,
        HttpCaller,
        HttpOptions, //
    },
};

/// The VM list over HTTP: `GET /v1/vms`, answered with a [`VmSnapshot`] in JSON.
#[derive(Debug)]
pub struct HttpVmList {
    address: SocketAddr,
    options: HttpOptions,
    caller: HttpCaller,
}

impl HttpVmList {
    /// The path that the list is read from.
    pub const PATH: &str = "/v1/vms";

    /// Creates an adapter to the list at this address; a call takes 2 s at the most.
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

    /// Sets the token that the list's server asks for.
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
}

#[async_trait]
impl VmList for HttpVmList {
    async fn read(&self) -> Result<VmSnapshot, VmListError> {
        let call = HttpCall {
            address: self.address,
            method: Method::GET,
            path: Self::PATH.to_owned(),
            body: Bytes::new(),
        };
        let answer = self.caller.read(call).await?;
        match answer.status {
            StatusCode::OK => {
                serde_json::from_slice(&answer.body).map_err(|_| VmListError::Malformed)
            }
            _ => Err(VmListError::Malformed),
        }
    }
}
