//! The HTTP client that the adapters use.

use std::{
    net::{
        IpAddr,
        SocketAddr, //
    },
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration, //
};

use bytes::Bytes;
use http::{
    HeaderValue,
    Method,
    Request,
    Response,
    StatusCode,
    header::{
        ACCEPT,
        AUTHORIZATION,
        CONTENT_TYPE,
        ETAG,
        IF_NONE_MATCH, //
    }, //
};
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{
        Client,
        connect::HttpConnector, //
    },
    rt::{
        TokioExecutor,
        TokioTimer, //
    }, //
};
use tokio::time;

use crate::{
    AccessToken,
    call_error::CallError, //
};

/// The response header by which a server says whether it executed a call.
pub(crate) const EXECUTED_HEADER: &str = "jasminebend-executed";

/// The value of [`EXECUTED_HEADER`] in the response to a call that was not executed.
const NOT_EXECUTED_VALUE: &str = "no";
const DEFAULT_CALL_TIMEOUT: Duration = Duration::from_secs(2);
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_IDLE_CONNECTIONS_PER_SERVER: usize = 16;
const MAX_REQUEST_BODY_BYTES: usize = 16 << 20;
const MAX_RESPONSE_BODY_BYTES: usize = 32 << 20;

type PooledClient = Client<HttpConnector, Full<Bytes>>;

/// An HTTP call, ready to be sent.
#[derive(Clone, Debug)]
pub(crate) struct HttpCall {
    /// The address of the server.
    pub(crate) address: SocketAddr,
    pub(crate) method: Method,
    /// The path of the URI, percent-encoded.
    pub(crate) path: String,
    pub(crate) body: Bytes,
    /// The `Accept` header; `None` if the server has only one format.
    pub(crate) accept: Option<HeaderValue>,
    /// The `If-None-Match` header: the entity tag of the cached response, if there is one.
    pub(crate) if_none_match: Option<HeaderValue>,
}

/// A response whose whole body was read.
#[derive(Debug)]
pub(crate) struct HttpResponse {
    pub(crate) status: StatusCode,
    /// The `ETag` header.
    pub(crate) etag: Option<HeaderValue>,
    /// The `Content-Type` header.
    pub(crate) content_type: Option<HeaderValue>,
    pub(crate) body: Bytes,
}

/// The settings of an [`HttpClient`].
#[derive(Clone, Debug)]
pub(crate) struct HttpOptions {
    /// The timeout for a whole call. Half of it is the timeout for the connection.
    pub(crate) timeout: Duration,
    /// The token for the `Authorization` header; `None` sends no such header.
    pub(crate) token: Option<AccessToken>,
    /// The local address from which connections are made; `None` lets the system choose.
    pub(crate) local_address: Option<IpAddr>,
}

impl Default for HttpOptions {
    fn default() -> Self {
        Self {
            timeout: DEFAULT_CALL_TIMEOUT,
            token: None,
            local_address: None,
        }
    }
}

/// An HTTP client with a pool of connections to one server.
#[derive(Debug)]
pub(crate) struct HttpClient {
    options: HttpOptions,
    client: Mutex<PooledClient>,
}

impl HttpClient {
    /// Creates a client with an empty pool.
    pub(crate) fn new(options: HttpOptions) -> Self {
        let client = Mutex::new(build_client(&options));
        Self { options, client }
    }

    /// Sends a call that may have an effect. It is never sent twice.
    pub(crate) async fn send_write(&self, call: HttpCall) -> Result<HttpResponse, CallError> {
        let response = time::timeout(self.options.timeout, self.send(call)).await;
        self.replace_pool_on_timeout(response)
    }

    /// Sends a call that has no effect. It is sent a second time if the connection fails, because a
    /// pooled connection may have been closed by the server.
    pub(crate) async fn send_read(&self, call: HttpCall) -> Result<HttpResponse, CallError> {
        let response = time::timeout(self.options.timeout, self.send_with_retry(call)).await;
        self.replace_pool_on_timeout(response)
    }

    /// Sends the call, and once more if the connection fails.
    async fn send_with_retry(&self, call: HttpCall) -> Result<HttpResponse, CallError> {
        match self.send(call.clone()).await {
            Err(CallError::ConnectionLost) => self.send(call).await,
            result => result,
        }
    }

    /// Sends the call once and reads the response, without a timeout of its own.
    async fn send(&self, call: HttpCall) -> Result<HttpResponse, CallError> {
        let request = self.build_request(call)?;
        let client = self.lock().clone();
        match client.request(request).await {
            Ok(response) => read_response(response).await,
            Err(error) if error.is_connect() => Err(CallError::Unreachable),
            Err(_) => Err(CallError::ConnectionLost),
        }
    }

    fn build_request(&self, call: HttpCall) -> Result<Request<Full<Bytes>>, CallError> {
        // A server that rejects a large body may close the connection before it has read the body,
        // so that its response is lost. The outcome would count as unknown, and the call would be
        // retried forever.
        if call.body.len() > MAX_REQUEST_BODY_BYTES {
            return Err(CallError::TooLarge);
        }
        let uri = format!("http://{}{}", call.address, call.path);
        let mut request = Request::builder().method(call.method).uri(uri);
        if let Some(token) = &self.options.token {
            request = request.header(AUTHORIZATION, token.authorization_header());
        }
        if let Some(accept) = call.accept {
            request = request.header(ACCEPT, accept);
        }
        if let Some(etag) = call.if_none_match {
            request = request.header(IF_NONE_MATCH, etag);
        }
        // A path or token with characters that HTTP does not allow fails here, before a byte is
        // sent.
        request
            .body(Full::new(call.body))
            .map_err(|_| CallError::Refused)
    }

    /// Replaces the connection pool if the call timed out, so that the next call makes a new
    /// connection.
    ///
    /// A middlebox that drops the state of a connection makes each call on it time out, while new
    /// connections work. The connection of the timed-out call is closed when its future is dropped.
    /// The idle connections of the pool are as old and may be in the same state.
    fn replace_pool_on_timeout(
        &self,
        response: Result<Result<HttpResponse, CallError>, time::error::Elapsed>,
    ) -> Result<HttpResponse, CallError> {
        response.unwrap_or_else(|_| {
            *self.lock() = build_client(&self.options);
            Err(CallError::TimedOut)
        })
    }

    fn lock(&self) -> MutexGuard<'_, PooledClient> {
        self.client.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Builds a client with an empty connection pool.
fn build_client(options: &HttpOptions) -> PooledClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    // If no connection is made in time, no byte of the call was sent and the call was certainly not
    // executed. The shorter timeout distinguishes this case from a late response.
    connector.set_connect_timeout(Some(options.timeout / 2));
    connector.set_local_address(options.local_address);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_CONNECTION_TIMEOUT)
        .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS_PER_SERVER)
        .build(connector)
}

/// Reads the body of a response, and returns an error for a status that carries no usable answer.
async fn read_response(response: Response<Incoming>) -> Result<HttpResponse, CallError> {
    let (head, body) = response.into_parts();
    let is_not_executed = head
        .headers
        .get(EXECUTED_HEADER)
        .is_some_and(|value| value == NOT_EXECUTED_VALUE);
    match head.status {
        StatusCode::PAYLOAD_TOO_LARGE => return Err(CallError::TooLarge),
        status if status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS => {
            return Err(if is_not_executed {
                CallError::Refused
            } else {
                CallError::Malformed
            });
        }
        StatusCode::BAD_REQUEST | StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => {
            return Err(CallError::Refused);
        }
        _ => {}
    }
    let body = Limited::new(body, MAX_RESPONSE_BODY_BYTES)
        .collect()
        .await
        .map_err(|error| match error.downcast::<hyper::Error>() {
            Ok(_) => CallError::ConnectionLost,
            Err(_) => CallError::Malformed,
        })?
        .to_bytes();
    Ok(HttpResponse {
        status: head.status,
        etag: head.headers.get(ETAG).cloned(),
        content_type: head.headers.get(CONTENT_TYPE).cloned(),
        body,
    })
}
