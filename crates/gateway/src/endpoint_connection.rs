//! A connection to an endpoint, bound to one slot.

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

const READ_BUFFER_BYTES: usize = 32 * 1024;
const MAX_HEADERS: usize = 100;

/// A connection to an endpoint, bound to one slot: it carries one exchange at a time, so that an
/// answer is paired with its request by the connection alone.
pub(crate) struct EndpointConnection {
    /// Sends requests; closing it ends the connection's task.
    pub(crate) sender: SendRequest<RequestBody>,
    /// When the endpoint was last heard from on it.
    pub(crate) last_received_at: Duration,
}

/// Why no connection was opened; nothing was sent.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub(crate) enum ConnectError {
    /// The endpoint refused, or there is no way to it.
    #[display("the endpoint refused the connection")]
    Refused,
    /// It did not answer in time.
    #[display("the endpoint did not accept the connection in time")]
    Timeout,
}

impl EndpointConnection {
    /// Opens a connection.
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
        // An error of the connection reaches the exchange on it, or finds it closed before the
        // next one; there is nobody else to tell.
        tokio::spawn(async move { connection.await.is_ok() });
        Ok(Self {
            sender,
            last_received_at: now,
        })
    }

    /// Tells whether the connection can still carry a request, as far as is known.
    pub(crate) fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }
}
