//! HTTP client of the administration API.

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
    AdminClientError,
    AdminRequest,
    AdminResponse,
    GlobalOptions,
    UsageError,
    admin_request::read_text,
    tls_client, //
};

/// How long the TCP connection, and the TLS handshake after it, may take each.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the daemon may take for its response. Longer than the 30 s that a daemon by default allows for a change, so
/// that its response with the outcome arrives before the client gives up.
const DEFAULT_RESPONSE_TIMEOUT: Duration = Duration::from_secs(40);
/// The size above which a response's body is rejected.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// An HTTP client of one daemon's administration API; opens a connection for each call.
pub struct AdminClient {
    address: SocketAddr,
    authorization: Option<HeaderValue>,
    tls: Option<TlsConnector>,
    response_timeout: Duration,
}

impl AdminClient {
    /// Creates a client; reads the files with the token and the CA certificates.
    ///
    /// # Errors
    ///
    /// Returns a [`UsageError`] if the address is invalid, or a file can't be read or is invalid.
    pub fn new(options: &GlobalOptions) -> Result<Self, UsageError> {
        let invalid_address = |_| UsageError::InvalidAddress {
            address: options.address.clone(),
        };
        let authorization = options.token_file.as_deref().map(read_authorization);
        let tls = options.ca_file.as_deref().map(tls_client::load_connector);
        Ok(Self {
            address: options.address.parse().map_err(invalid_address)?,
            authorization: authorization.transpose()?,
            tls: tls.transpose()?,
            response_timeout: DEFAULT_RESPONSE_TIMEOUT,
        })
    }

    /// Sets how long the daemon may take for its response.
    pub fn with_answer_timeout(mut self, timeout: Duration) -> Self {
        self.response_timeout = timeout;
        self
    }

    /// Sends a request and returns its response. The request is never retried, so that a change is sent at most once.
    ///
    /// # Errors
    ///
    /// Returns [`AdminClientError::Unreachable`] if nothing was sent, [`AdminClientError::Lost`] if the daemon may have
    /// received the request.
    pub async fn call(
        &self,
        admin_request: &AdminRequest,
    ) -> Result<AdminResponse, AdminClientError> {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await;
        let stream = connected
            .map_err(|_| self.unreachable_error("no connection in time"))?
            .map_err(|error| self.unreachable_error(&error.to_string()))?;
        let Some(tls) = &self.tls else {
            return self.exchange_with_timeout(stream, admin_request).await;
        };
        let handshake = tls_client::handshake(tls, self.address.ip(), stream);
        let stream = timeout(CONNECT_TIMEOUT, handshake)
            .await
            .map_err(|_| self.unreachable_error("no TLS handshake in time"))?
            .map_err(|error| self.unreachable_error(&error.to_string()))?;
        self.exchange_with_timeout(stream, admin_request).await
    }

    /// Sends the request and receives the response within the response timeout.
    async fn exchange_with_timeout<Stream>(
        &self,
        stream: Stream,
        admin_request: &AdminRequest,
    ) -> Result<AdminResponse, AdminClientError>
    where
        Stream: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let exchange = timeout(self.response_timeout, self.exchange(stream, admin_request)).await;
        exchange.map_err(|_| response_lost_error(&"it did not come in time"))?
    }

    /// Sends the request over an open connection and receives the complete response.
    async fn exchange<Stream>(
        &self,
        stream: Stream,
        admin_request: &AdminRequest,
    ) -> Result<AdminResponse, AdminClientError>
    where
        Stream: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let request = self
            .build_request(admin_request)
            .map_err(|error| response_lost_error(&error))?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = handshake.map_err(|error| response_lost_error(&error))?;
        let connection = tokio::spawn(connection);
        let response = sender.send_request(request).await;
        let response = response.map_err(|error| response_lost_error(&error))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        let body = body
            .collect()
            .await
            .map_err(|error| response_lost_error(&error))?;
        connection.abort();
        Ok(AdminResponse {
            status,
            body: body.to_bytes(),
        })
    }

    /// Builds the HTTP request with its headers.
    fn build_request(&self, admin_request: &AdminRequest) -> http::Result<Request<Full<Bytes>>> {
        let mut request = Request::builder()
            .method(&admin_request.method)
            .uri(&admin_request.path)
            .header(header::HOST, self.address.to_string());
        if let Some(authorization) = &self.authorization {
            request = request.header(header::AUTHORIZATION, authorization);
        }
        if let Some(version) = admin_request.expected_version {
            request = request.header(header::IF_MATCH, format!("\"{version}\""));
        }
        if !admin_request.body.is_empty() {
            request = request.header(header::CONTENT_TYPE, "application/json");
        }
        request.body(Full::new(admin_request.body.clone()))
    }

    fn unreachable_error(&self, reason: &str) -> AdminClientError {
        AdminClientError::Unreachable {
            address: self.address.to_string(),
            reason: reason.to_owned(),
        }
    }
}

fn response_lost_error<Reason>(reason: &Reason) -> AdminClientError
where
    Reason: Display + ?Sized,
{
    AdminClientError::Lost {
        reason: reason.to_string(),
    }
}

/// Reads the token file and returns the value of the `Authorization` header, marked as sensitive.
fn read_authorization(file: &std::path::Path) -> Result<HeaderValue, UsageError> {
    let token = read_text(file)?;
    let value = HeaderValue::from_str(&format!("Bearer {}", token.trim()));
    let mut value = value.map_err(|error| UsageError::InvalidFile {
        path: file.to_owned(),
        reason: error.to_string(),
    })?;
    value.set_sensitive(true);
    Ok(value)
}
