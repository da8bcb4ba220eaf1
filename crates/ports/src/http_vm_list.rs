//! The VM list over HTTP.

use std::{
    net::SocketAddr,
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration, //
};

use async_trait::async_trait;
use bytes::Bytes;
use http::{
    HeaderValue,
    Method,
    StatusCode, //
};
use jasminebend_base::VmSnapshot;

use crate::{
    AccessToken,
    VmList,
    VmListError,
    http_caller::{
        HttpAnswer,
        HttpCall,
        HttpCaller,
        HttpOptions, //
    }, //
};

#[derive(Debug)]
struct KnownList {
    tag: HeaderValue,
    snapshot: VmSnapshot,
}

/// The VM list over HTTP: `GET /v1/vms`, answered with a [`VmSnapshot`] in JSON. A list that did not
/// change since the last reading is not sent again: its entity tag says so.
#[derive(Debug)]
pub struct HttpVmList {
    address: SocketAddr,
    options: HttpOptions,
    caller: HttpCaller,
    known: Mutex<Option<KnownList>>,
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
            known: Mutex::default(),
        }
    }

    fn known_tag(&self) -> Option<HeaderValue> {
        self.lock().as_ref().map(|known| known.tag.clone())
    }

    /// Returns the list that the service says has not changed.
    fn unchanged(&self) -> Result<VmSnapshot, VmListError> {
        let known = self.lock();
        let snapshot = known.as_ref().map(|known| known.snapshot.clone());
        snapshot.ok_or(VmListError::Malformed)
    }

    fn keep(&self, answer: HttpAnswer) -> Result<VmSnapshot, VmListError> {
        let snapshot: VmSnapshot =
            serde_json::from_slice(&answer.body).map_err(|_| VmListError::Malformed)?;
        *self.lock() = answer.tag.map(|tag| KnownList {
            tag,
            snapshot: snapshot.clone(),
        });
        Ok(snapshot)
    }

    fn lock(&self) -> MutexGuard<'_, Option<KnownList>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
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
            accept: None,
            known: self.known_tag(),
        };
        let answer = self.caller.read(call).await?;
        match answer.status {
            StatusCode::OK => self.keep(answer),
            StatusCode::NOT_MODIFIED => self.unchanged(),
            _ => Err(VmListError::Malformed),
        }
    }
}
