//! The HTTP client under the adapters.

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

/// The header by which a server says whether it ran a call.
pub(crate) const EXECUTED_HEADER: &str = "jasminebend-executed";

const NOT_EXECUTED: &str = "no";
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
const IDLE_CONNECTIONS: usize = 16;
const MAX_CALL_BYTES: usize = 16 << 20;
const MAX_ANSWER_BYTES: usize = 32 << 20;

type PooledClient = Client<HttpConnector, Full<Bytes>>;

/// A call, ready to be sent.
#[derive(Clone, Debug)]
pub(crate) struct HttpCall {
    pub(crate) address: SocketAddr,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) body: Bytes,
    /// The formats that the answer may have; `None` for the one there is.
    pub(crate) accept: Option<HeaderValue>,
    /// The entity tag of the answer that the caller holds already.
    pub(crate) known: Option<HeaderValue>,
}

/// An answer that was read whole.
#[derive(Debug)]
pub(crate) struct HttpAnswer {
    pub(crate) status: StatusCode,
    pub(crate) tag: Option<HeaderValue>,
    pub(crate) content_type: Option<HeaderValue>,
    pub(crate) body: Bytes,
}

/// The settings of the client.
#[derive(Clone, Debug)]
pub(crate) struct HttpOptions {
    pub(crate) timeout: Duration,
    pub(crate) token: Option<AccessToken>,
    pub(crate) local_address: Option<IpAddr>,
}

impl Default for HttpOptions {
    fn default() -> Self {
        Self {
            timeout: DEFAULT_TIMEOUT,
            token: None,
            local_address: None,
        }
    }
}

/// A client with pooled connections to one server.
#[derive(Debug)]
pub(crate) struct HttpCaller {
    options: HttpOptions,
    client: Mutex<PooledClient>,
}

impl HttpCaller {
    pub(crate) fn new(options: HttpOptions) -> Self {
        let client = Mutex::new(build_client(&options));
        Self { options, client }
    }

    /// Sends a call that may have an effect: once, whatever happens.
    pub(crate) async fn write(&self, call: HttpCall) -> Result<HttpAnswer, CallError> {
        let answer = time::timeout(self.options.timeout, self.send(call)).await;
        self.note_silence(answer)
    }

    /// Sends a call without effect; a pooled connection that turns out closed costs a second try.
    pub(crate) async fn read(&self, call: HttpCall) -> Result<HttpAnswer, CallError> {
        let answer = time::timeout(self.options.timeout, self.send_twice(call)).await;
        self.note_silence(answer)
    }

    async fn send_twice(&self, call: HttpCall) -> Result<HttpAnswer, CallError> {
        match self.send(call.clone()).await {
            Err(CallError::Broken) => self.send(call).await,
            answer => answer,
        }
    }

    async fn send(&self, call: HttpCall) -> Result<HttpAnswer, CallError> {
        let request = self.build_request(call)?;
        let client = self.lock().clone();
        match client.request(request).await {
            Ok(response) => read_answer(response).await,
            Err(error) if error.is_connect() => Err(CallError::Unreachable),
            Err(_) => Err(CallError::Broken),
        }
    }

    fn build_request(&self, call: HttpCall) -> Result<Request<Full<Bytes>>, CallError> {
        // A server that refuses a large body may close before it has read it, which cuts its answer
        // off: the call would be taken for one of unknown outcome, and be tried without end.
        if call.body.len() > MAX_CALL_BYTES {
            return Err(CallError::TooLarge);
        }
        let uri = format!("http://{}{}", call.address, call.path);
        let mut request = Request::builder().method(call.method).uri(uri);
        if let Some(token) = &self.options.token {
            request = request.header(AUTHORIZATION, token.header());
        }
        if let Some(accept) = call.accept {
            request = request.header(ACCEPT, accept);
        }
        if let Some(known) = call.known {
            request = request.header(IF_NONE_MATCH, known);
        }
        // A path or token that HTTP can't carry is refused before a byte is written.
        request
            .body(Full::new(call.body))
            .map_err(|_| CallError::Refused)
    }

    /// Guards against connections that went silent: a middlebox lost track of them, so that calls on
    /// them time out while new connections work. The timed-out call's own connection is closed when
    /// its future is dropped; the idle ones of its pool are as old and suspect, so that the pool is
    /// given up as well, and the next call connects afresh.
    fn note_silence(
        &self,
        answer: Result<Result<HttpAnswer, CallError>, time::error::Elapsed>,
    ) -> Result<HttpAnswer, CallError> {
        answer.unwrap_or_else(|_| {
            *self.lock() = build_client(&self.options);
            Err(CallError::Late)
        })
    }

    fn lock(&self) -> MutexGuard<'_, PooledClient> {
        self.client.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn build_client(options: &HttpOptions) -> PooledClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    // A connection that isn't made in time carried no byte of the call, so that the call surely did
    // not run; the shorter limit tells this case from a late answer.
    connector.set_connect_timeout(Some(options.timeout / 2));
    connector.set_local_address(options.local_address);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(IDLE_CONNECTIONS)
        .build(connector)
}

async fn read_answer(response: Response<Incoming>) -> Result<HttpAnswer, CallError> {
    let (head, body) = response.into_parts();
    let surely_not_run = head
        .headers
        .get(EXECUTED_HEADER)
        .is_some_and(|value| value == NOT_EXECUTED);
    match head.status {
        StatusCode::PAYLOAD_TOO_LARGE => return Err(CallError::TooLarge),
        status if status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS => {
            return Err(if surely_not_run {
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
    let body = Limited::new(body, MAX_ANSWER_BYTES)
        .collect()
        .await
        .map_err(|error| match error.downcast::<hyper::Error>() {
            Ok(_) => CallError::Broken,
            Err(_) => CallError::Malformed,
        })?
        .to_bytes();
    Ok(HttpAnswer {
        status: head.status,
        tag: head.headers.get(ETAG).cloned(),
        content_type: head.headers.get(CONTENT_TYPE).cloned(),
        body,
    })
}
