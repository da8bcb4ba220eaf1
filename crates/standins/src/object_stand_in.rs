//! A stand-in for the platform's object store.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    }, //
};

use async_trait::async_trait;
use bytes::Bytes;
use http::{
    Method,
    StatusCode,
    header::ETAG,
    request::Parts, //
};
use indexmap::IndexMap;
use jasminebend_ports::{
    AccessToken,
    ClockSource,
    ObjectError,
    ObjectKey,
    ObjectStore,
    SystemClock, //
};
use percent_encoding::percent_decode_str;
use tokio::net::TcpListener;

use crate::{
    CallKind,
    FaultKind,
    FaultPlan,
    ServerGuard,
    http_server::{
        self,
        CallHandler,
        MAX_CALL_BYTES, //
    },
    wire_response::{
        ResponseResult,
        body_response,
        entity_tag,
        fault_response,
        refused_response, //
    }, //
};

type Objects = IndexMap<ObjectKey, Bytes>;

/// A stand-in for the platform's object store. Copies share the objects, so that one can be used in memory while
/// another is served over HTTP. The bucket's name is ignored: all buckets share one key space.
#[derive(Clone)]
pub struct ObjectStandIn {
    objects: Arc<Mutex<Objects>>,
    max_object_bytes: usize,
    faults: FaultPlan,
    clock: Arc<dyn ClockSource>,
    token: Option<AccessToken>,
}

impl Default for ObjectStandIn {
    fn default() -> Self {
        Self::new()
    }
}

impl ObjectStandIn {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self {
            objects: Arc::default(),
            max_object_bytes: MAX_CALL_BYTES,
            faults: FaultPlan::default(),
            clock: Arc::new(SystemClock::new()),
            token: None,
        }
    }

    /// Sets the maximum size of an object, in bytes; at most that of a call's body.
    pub fn with_max_object_bytes(mut self, largest: usize) -> Self {
        self.max_object_bytes = largest.min(MAX_CALL_BYTES);
        self
    }

    /// Sets the clock that measures the write limit's seconds.
    pub fn with_clock(mut self, clock: Arc<dyn ClockSource>) -> Self {
        self.clock = clock;
        self
    }

    /// Sets the fault plan.
    pub fn with_faults(mut self, faults: FaultPlan) -> Self {
        self.faults = faults;
        self
    }

    /// Sets the access token that HTTP callers must send.
    pub fn with_token(mut self, token: AccessToken) -> Self {
        self.token = Some(token);
        self
    }

    /// Returns the fault plan, which also holds the call counts.
    pub fn faults(&self) -> &FaultPlan {
        &self.faults
    }

    /// Returns the keys of all objects, without fault injection.
    pub fn keys(&self) -> Vec<ObjectKey> {
        self.lock().keys().cloned().collect()
    }

    /// Replaces the bytes of an object without fault injection, to simulate corruption.
    pub fn corrupt<Key>(&self, key: Key, body: Bytes)
    where
        Key: Into<ObjectKey>,
    {
        self.lock().insert(key.into(), body);
    }

    /// Serves the store on an ephemeral port of the loopback interface.
    ///
    /// # Errors
    ///
    /// Returns the error of a socket that can't be bound.
    pub async fn start(&self) -> Result<(SocketAddr, ServerGuard), io::Error> {
        http_server::start(Arc::new(self.clone())).await
    }

    /// Serves the store on `listener` until the returned guard is dropped.
    pub fn serve(&self, listener: TcpListener) -> ServerGuard {
        http_server::serve(listener, Arc::new(self.clone()))
    }

    async fn run_with_faults<Answer, Effect>(
        &self,
        call: CallKind,
        effect: Effect,
    ) -> Result<Answer, FaultKind>
    where
        Answer: Send + 'static,
        Effect: Fn(&mut Objects) -> Answer + Send + 'static,
    {
        let objects = Arc::clone(&self.objects);
        let effect = move || effect(&mut objects.lock().unwrap_or_else(PoisonError::into_inner));
        self.faults.run(call, self.clock.monotonic(), effect).await
    }

    async fn run_put(&self, key: ObjectKey, body: Bytes) -> Result<(), FaultKind> {
        self.faults.count_rows(1, body.len());
        self.run_with_faults(CallKind::Put, move |objects| {
            objects.insert(key.clone(), body.clone());
        })
        .await
    }

    async fn run_get(&self, key: ObjectKey) -> Result<Option<Bytes>, FaultKind> {
        let body = self
            .run_with_faults(CallKind::Read, move |objects| objects.get(&key).cloned())
            .await?;
        self.faults
            .count_rows(1, body.as_ref().map_or(0, Bytes::len));
        Ok(body)
    }

    async fn run_delete(&self, key: ObjectKey) -> Result<(), FaultKind> {
        self.run_with_faults(CallKind::Delete, move |objects| {
            objects.shift_remove(&key);
        })
        .await
    }

    fn lock(&self) -> MutexGuard<'_, Objects> {
        self.objects.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn object_error(fault: FaultKind) -> ObjectError {
    match fault {
        FaultKind::Unreachable => ObjectError::Unreachable,
        FaultKind::Refuse => ObjectError::Refused,
        _ => ObjectError::Unknown,
    }
}

#[async_trait]
impl ObjectStore for ObjectStandIn {
    async fn put(&self, key: &ObjectKey, body: Bytes) -> Result<(), ObjectError> {
        if body.len() > self.max_object_bytes {
            return Err(ObjectError::TooLarge);
        }
        self.run_put(key.clone(), body).await.map_err(object_error)
    }

    async fn get(&self, key: &ObjectKey) -> Result<Option<Bytes>, ObjectError> {
        self.run_get(key.clone()).await.map_err(object_error)
    }

    async fn delete(&self, key: &ObjectKey) -> Result<(), ObjectError> {
        self.run_delete(key.clone()).await.map_err(object_error)
    }
}

#[async_trait]
impl CallHandler for ObjectStandIn {
    fn token(&self) -> Option<&AccessToken> {
        self.token.as_ref()
    }

    async fn answer(&self, head: Parts, body: Bytes, _caller: SocketAddr) -> ResponseResult {
        let Some(key) = object_key(head.uri.path()) else {
            return refused_response(StatusCode::BAD_REQUEST, "the path is no /bucket/key");
        };
        match head.method {
            Method::PUT if body.len() > self.max_object_bytes => {
                refused_response(StatusCode::PAYLOAD_TOO_LARGE, "the object is too large")
            }
            Method::PUT => empty_response(self.run_put(key, body).await, StatusCode::OK),
            Method::GET | Method::HEAD => object_response(self.run_get(key).await),
            Method::DELETE => empty_response(self.run_delete(key).await, StatusCode::NO_CONTENT),
            _ => refused_response(
                StatusCode::METHOD_NOT_ALLOWED,
                "the path takes PUT, GET, HEAD and DELETE",
            ),
        }
    }
}

fn object_key(path: &str) -> Option<ObjectKey> {
    let (bucket, key) = path.strip_prefix('/')?.split_once('/')?;
    let key = percent_decode_str(key).decode_utf8().ok()?;
    let complete = !bucket.is_empty() && !key.is_empty();
    complete.then(|| ObjectKey::from(key.into_owned()))
}

fn empty_response(answer: Result<(), FaultKind>, status: StatusCode) -> ResponseResult {
    match answer {
        Ok(()) => body_response(status, Bytes::new()),
        Err(kind) => fault_response(kind),
    }
}

fn object_response(answer: Result<Option<Bytes>, FaultKind>) -> ResponseResult {
    let body = match answer {
        Ok(Some(body)) => body,
        Ok(None) => return body_response(StatusCode::NOT_FOUND, Bytes::new()),
        Err(kind) => return fault_response(kind),
    };
    let tag = entity_tag(&body);
    let mut response = body_response(StatusCode::OK, body)?;
    response.headers_mut().insert(ETAG, tag);
    Ok(response)
}
