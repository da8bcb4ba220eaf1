//! Calls the administration API.

use std::{
    fmt::Display,
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    HeaderValue,
    Request,
    header, //
};
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite, //
    },
    net::TcpStream,
    time::timeout, //
};
use tokio_rustls::TlsConnector;

use crate::{
    AdminAnswer,
    AdminCall,
    CallError,
    TargetOptions,
    UsageError,
    admin_call::read_text,
    tls_client, //
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Longer than the daemon's own default, so that the daemon's word on the outcome arrives first.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(40);
const LARGEST_ANSWER: usize = 64 << 20;

/// Calls the administration API.
pub struct AdminClient {
    address: SocketAddr,
    authorization: Option<HeaderValue>,
    tls: Option<TlsConnector>,
    answer_timeout: Duration,
}

impl AdminClient {
    /// Creates a client; reads the token and the certificates.
    ///
    /// # Errors
    ///
    /// [`UsageError`] if the address or a file is of no use.
    pub fn new(options: &TargetOptions) -> Result<Self, UsageError> {
        let bad = |_| UsageError::BadAddress {
            address: options.address.clone(),
        };
        let authorization = options.token_file.as_deref().map(authorization);
        let tls = options.ca_file.as_deref().map(tls_client::connector);
        Ok(Self {
            address: options.address.parse().map_err(bad)?,
            authorization: authorization.transpose()?,
            tls: tls.transpose()?,
            answer_timeout: ANSWER_TIMEOUT,
        })
    }

    /// Sets how long an answer may take.
    pub fn with_answer_timeout(mut self, timeout: Duration) -> Self {
        self.answer_timeout = timeout;
        self
    }

    /// Makes one call, once: a change is never sent again.
    ///
    /// # Errors
    ///
    /// [`CallError::Unreachable`] if nothing was sent; [`CallError::Lost`] if the call may have
    /// arrived.
    pub async fn call(&self, call: &AdminCall) -> Result<AdminAnswer, CallError> {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await;
        let stream = connected
            .map_err(|_| self.unreachable("no connection in time"))?
            .map_err(|error| self.unreachable(&error.to_string()))?;
        let Some(tls) = &self.tls else {
            return self.converse(stream, call).await;
        };
        let shaken = tls_client::shake_hands(tls, self.address.ip(), stream);
        let stream = timeout(CONNECT_TIMEOUT, shaken)
            .await
            .map_err(|_| self.unreachable("no TLS handshake in time"))?
            .map_err(|error| self.unreachable(&error.to_string()))?;
        self.converse(stream, call).await
    }

    async fn converse<Stream>(
        &self,
        stream: Stream,
        call: &AdminCall,
    ) -> Result<AdminAnswer, CallError>
    where
        Stream: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let exchange = timeout(self.answer_timeout, self.exchange(stream, call)).await;
        exchange.map_err(|_| lost(&"it did not come in time"))?
    }

    async fn exchange<Stream>(
        &self,
        stream: Stream,
        call: &AdminCall,
    ) -> Result<AdminAnswer, CallError>
    where
        Stream: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let request = self.request(call).map_err(|error| lost(&error))?;
        let shaken = http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = shaken.map_err(|error| lost(&error))?;
        let connection = tokio::spawn(connection);
        let response = sender.send_request(request).await;
        let response = response.map_err(|error| lost(&error))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), LARGEST_ANSWER);
        let body = body.collect().await.map_err(|error| lost(&error))?;
        connection.abort();
        Ok(AdminAnswer {
            status,
            body: body.to_bytes(),
        })
    }

    fn request(&self, call: &AdminCall) -> http::Result<Request<Full<Bytes>>> {
        let mut request = Request::builder()
            .method(&call.method)
            .uri(&call.path)
            .header(header::HOST, self.address.to_string());
        if let Some(authorization) = &self.authorization {
            request = request.header(header::AUTHORIZATION, authorization);
        }
        if let Some(version) = call.expected {
            request = request.header(header::IF_MATCH, format!("\"{version}\""));
        }
        if !call.body.is_empty() {
            request = request.header(header::CONTENT_TYPE, "application/json");
        }
        request.body(Full::new(call.body.clone()))
    }

    fn unreachable(&self, reason: &str) -> CallError {
        CallError::Unreachable {
            address: self.address.to_string(),
            reason: reason.to_owned(),
        }
    }
}

fn lost<Reason>(reason: &Reason) -> CallError
where
    Reason: Display + ?Sized,
{
    CallError::Lost {
        reason: reason.to_string(),
    }
}

fn authorization(file: &std::path::Path) -> Result<HeaderValue, UsageError> {
    let token = read_text(file)?;
    let value = HeaderValue::from_str(&format!("Bearer {}", token.trim()));
    let mut value = value.map_err(|error| UsageError::BadFile {
        path: file.to_owned(),
        reason: error.to_string(),
    })?;
    value.set_sensitive(true);
    Ok(value)
}
