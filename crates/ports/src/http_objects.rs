//! The object store over HTTP.

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
    http_caller::{
        HttpCall,
        HttpCaller,
        HttpOptions, //
    }, //
};

const DEFAULT_BUCKET: &str = "jasminebend";

/// What a path carries as it is: the unreserved characters of RFC 3986, and the slash.
const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~')
    .remove(b'/');

/// The object store over HTTP: `PUT`, `GET` and `DELETE` of `/bucket/key`.
#[derive(Debug)]
pub struct HttpObjects {
    address: SocketAddr,
    bucket: String,
    options: HttpOptions,
    caller: HttpCaller,
}

impl HttpObjects {
    /// Creates an adapter to the store at this address, with the bucket `jasminebend`; a call takes
    /// 2 s at the most.
    pub fn new(address: SocketAddr) -> Self {
        Self::build(address, DEFAULT_BUCKET.to_owned(), HttpOptions::default())
    }

    /// Sets the bucket.
    pub fn with_bucket<Name>(self, bucket: Name) -> Self
    where
        Name: Into<String>,
    {
        Self::build(self.address, bucket.into(), self.options)
    }

    /// Sets how long a call may take.
    pub fn with_timeout(self, timeout: Duration) -> Self {
        let options = HttpOptions {
            timeout,
            ..self.options
        };
        Self::build(self.address, self.bucket, options)
    }

    /// Sets the token that the store asks for.
    pub fn with_token(self, token: AccessToken) -> Self {
        let options = HttpOptions {
            token: Some(token),
            ..self.options
        };
        Self::build(self.address, self.bucket, options)
    }

    fn build(address: SocketAddr, bucket: String, options: HttpOptions) -> Self {
        Self {
            address,
            bucket,
            caller: HttpCaller::new(options.clone()),
            options,
        }
    }

    fn call(&self, method: Method, key: &ObjectKey, body: Bytes) -> HttpCall {
        let key = utf8_percent_encode(key.as_str(), ESCAPED);
        HttpCall {
            address: self.address,
            method,
            path: format!("/{}/{key}", self.bucket),
            body,
            accept: None,
            known: None,
        }
    }
}

#[async_trait]
impl ObjectStore for HttpObjects {
    async fn put(&self, key: &ObjectKey, body: Bytes) -> Result<(), ObjectError> {
        let call = self.call(Method::PUT, key, body);
        match self.caller.write(call).await?.status {
            status if status.is_success() => Ok(()),
            _ => Err(ObjectError::Unknown),
        }
    }

    async fn get(&self, key: &ObjectKey) -> Result<Option<Bytes>, ObjectError> {
        let call = self.call(Method::GET, key, Bytes::new());
        let answer = self.caller.read(call).await?;
        match answer.status {
            StatusCode::OK => Ok(Some(answer.body)),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(ObjectError::Unknown),
        }
    }

    async fn delete(&self, key: &ObjectKey) -> Result<(), ObjectError> {
        let call = self.call(Method::DELETE, key, Bytes::new());
        match self.caller.write(call).await?.status {
            StatusCode::NOT_FOUND => Ok(()),
            status if status.is_success() => Ok(()),
            _ => Err(ObjectError::Unknown),
        }
    }
}
