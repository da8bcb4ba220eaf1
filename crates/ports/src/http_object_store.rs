//! The HTTP adapter to the object store.

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
use percent_encoding::{
    AsciiSet,
    NON_ALPHANUMERIC,
    utf8_percent_encode, //
};

use crate::{
    AccessToken,
    ObjectError,
    ObjectKey,
    ObjectStore,
    http_client::{
        HttpCall,
        HttpClient,
        HttpOptions, //
    }, //
};

/// The bucket that is used unless another one is set.
const DEFAULT_BUCKET: &str = "jasminebend";

/// The characters of a key that are percent-encoded in the path: all except the unreserved
/// characters of RFC 3986 and the slash.
const PERCENT_ENCODED_CHARACTERS: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~')
    .remove(b'/');

/// The HTTP adapter to the object store, which calls `PUT`, `GET` and `DELETE` of `/bucket/key`.
#[derive(Debug)]
pub struct HttpObjectStore {
    address: SocketAddr,
    bucket: String,
    options: HttpOptions,
    client: HttpClient,
}

impl HttpObjectStore {
    /// Creates an adapter to the store at this address, with the bucket `jasminebend` and a timeout
    /// of 2 s for each call.
    pub fn new(address: SocketAddr) -> Self {
        Self::with_client(address, DEFAULT_BUCKET.to_owned(), HttpOptions::default())
    }

    /// Sets the bucket that holds the objects.
    pub fn with_bucket<Name>(self, bucket: Name) -> Self
    where
        Name: Into<String>,
    {
        Self::with_client(self.address, bucket.into(), self.options)
    }

    /// Sets the timeout for each call.
    pub fn with_timeout(self, timeout: Duration) -> Self {
        let options = HttpOptions {
            timeout,
            ..self.options
        };
        Self::with_client(self.address, self.bucket, options)
    }

    /// Sets the bearer token that is sent with each call.
    pub fn with_token(self, token: AccessToken) -> Self {
        let options = HttpOptions {
            token: Some(token),
            ..self.options
        };
        Self::with_client(self.address, self.bucket, options)
    }

    fn with_client(address: SocketAddr, bucket: String, options: HttpOptions) -> Self {
        Self {
            address,
            bucket,
            client: HttpClient::new(options.clone()),
            options,
        }
    }

    /// Builds the call of a method on the object with this key.
    fn build_call(&self, method: Method, key: &ObjectKey, body: Bytes) -> HttpCall {
        let key = utf8_percent_encode(key.as_str(), PERCENT_ENCODED_CHARACTERS);
        HttpCall {
            address: self.address,
            method,
            path: format!("/{}/{key}", self.bucket),
            body,
            accept: None,
            if_none_match: None,
        }
    }
}

#[async_trait]
impl ObjectStore for HttpObjectStore {
    async fn put(&self, key: &ObjectKey, body: Bytes) -> Result<(), ObjectError> {
        let call = self.build_call(Method::PUT, key, body);
        match self.client.send_write(call).await?.status {
            status if status.is_success() => Ok(()),
            _ => Err(ObjectError::Unknown),
        }
    }

    async fn get(&self, key: &ObjectKey) -> Result<Option<Bytes>, ObjectError> {
        let call = self.build_call(Method::GET, key, Bytes::new());
        let response = self.client.send_read(call).await?;
        match response.status {
            StatusCode::OK => Ok(Some(response.body)),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(ObjectError::Unknown),
        }
    }

    async fn delete(&self, key: &ObjectKey) -> Result<(), ObjectError> {
        let call = self.build_call(Method::DELETE, key, Bytes::new());
        match self.client.send_write(call).await?.status {
            StatusCode::NOT_FOUND => Ok(()),
            status if status.is_success() => Ok(()),
            _ => Err(ObjectError::Unknown),
        }
    }
}
