//! [`EndpointConnection`]: a connection to an endpoint, bound to one slot.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use derive_more::{
    Display,
    Error, //
};
use hyper::client::conn::http1::{
    Builder,
    SendRequest, //
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    time::timeout, //
};

use crate::request_body::RequestBody;

/// The size limit of the read buffer, and so of the head of a response.
const READ_BUFFER_BYTES: usize = 32 * 1024;
/// The most headers in the head of a response.
const MAX_HEADERS: usize = 100;

/// A connection to an endpoint, bound to one slot. It carries one exchange at a time, so that a
/// response is matched with its request by the connection alone.
pub(crate) struct EndpointConnection {
    /// Sends requests; dropping it ends the task of the connection.
    pub(crate) sender: SendRequest<RequestBody>,
    /// When something was last received on this connection, on the monotonic clock.
    pub(crate) last_received_at: Duration,
}

/// Why no connection was opened; nothing was sent.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub(crate) enum ConnectError {
    /// The endpoint refused the connection, or is unreachable.
    #[display("the endpoint refused the connection")]
    Refused,
    /// The endpoint did not accept the connection in time.
    #[display("the endpoint did not accept the connection in time")]
    Timeout,
}

impl EndpointConnection {
    /// Opens a connection within `time_limit`.
    pub(crate) async fn connect(
        address: SocketAddr,
        time_limit: Duration,
        now: Duration,
    ) -> Result<Self, ConnectError> {
        let stream = timeout(time_limit, TcpStream::connect(address))
            .await
            .map_err(|_| ConnectError::Timeout)?
            .map_err(|_| ConnectError::Refused)?;
        stream
            .set_nodelay(true)
            .map_err(|_| ConnectError::Refused)?;
        let (sender, connection) = Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .max_headers(MAX_HEADERS)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|_| ConnectError::Refused)?;
        // An error of the connection is reported to the exchange on it, or found before the next
        // one by `is_open`; it needs no handling here.
        tokio::spawn(async move { connection.await.is_ok() });
        Ok(Self {
            sender,
            last_received_at: now,
        })
    }

    /// Returns whether the connection can still carry a request, as far as is known.
    pub(crate) fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }
}
