//! The HTTP adapter to the VM list.

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
    http_client::{
        HttpCall,
        HttpClient,
        HttpOptions,
        HttpResponse, //
    }, //
};

/// The last list that the server sent, and its entity tag.
#[derive(Debug)]
struct CachedList {
    etag: HeaderValue,
    snapshot: VmSnapshot,
}

/// The HTTP adapter to the VM list, which calls `GET /v1/vms`; the response is a [`VmSnapshot`] in
/// JSON. The last list is cached with its entity tag, so that the server does not send an unchanged
/// list again.
#[derive(Debug)]
pub struct HttpVmList {
    address: SocketAddr,
    options: HttpOptions,
    client: HttpClient,
    cached: Mutex<Option<CachedList>>,
}

impl HttpVmList {
    /// The path of the list.
    pub const PATH: &str = "/v1/vms";

    /// Creates an adapter to the list at this address, with a timeout of 2 s for each call.
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
            cached: Mutex::default(),
        }
    }

    /// Returns the entity tag of the cached list, if there is one.
    fn cached_etag(&self) -> Option<HeaderValue> {
        self.lock().as_ref().map(|cached| cached.etag.clone())
    }

    /// Returns the cached list, after the server responded that it has not changed.
    fn cached_snapshot(&self) -> Result<VmSnapshot, VmListError> {
        let cached = self.lock();
        let snapshot = cached.as_ref().map(|cached| cached.snapshot.clone());
        snapshot.ok_or(VmListError::Malformed)
    }

    /// Parses the list in a response, and caches it if the response has an entity tag.
    fn parse_and_cache(&self, response: HttpResponse) -> Result<VmSnapshot, VmListError> {
        let snapshot: VmSnapshot =
            serde_json::from_slice(&response.body).map_err(|_| VmListError::Malformed)?;
        *self.lock() = response.etag.map(|etag| CachedList {
            etag,
            snapshot: snapshot.clone(),
        });
        Ok(snapshot)
    }

    fn lock(&self) -> MutexGuard<'_, Option<CachedList>> {
        self.cached.lock().unwrap_or_else(PoisonError::into_inner)
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
            if_none_match: self.cached_etag(),
        };
        let response = self.client.send_read(call).await?;
        match response.status {
            StatusCode::OK => self.parse_and_cache(response),
            StatusCode::NOT_MODIFIED => self.cached_snapshot(),
            _ => Err(VmListError::Malformed),
        }
    }
}
