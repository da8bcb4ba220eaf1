//! [`PreparedRequest`]: converts the request of a caller into one for an endpoint.

use std::sync::Arc;

use bytes::Bytes;
use http::{
    Request,
    Version,
    request::Parts, //
};
use http_body::Body;
use hyper::body::Incoming;
use jasminebend_ingress::{
    BodyError,
    BodyStart,
    Connection, //
};

use crate::{
    exchange::EndpointRequest,
    gateway_settings::GatewaySettings,
    gateway_state::GatewayState,
    header_rules::prepare_request_head,
    refusal::Refusal,
    request_body::{
        RequestBody,
        StreamedBody, //
    },
    request_handler::CallerInfo, //
};

/// A request that is ready to be sent to an endpoint.
pub(crate) struct PreparedRequest {
    /// The request.
    pub(crate) request: Box<EndpointRequest>,
    /// The complete body if its length was known and it was buffered; empty otherwise.
    pub(crate) body: Bytes,
    /// Counts the memory of the buffered body, also after the caller has left.
    _connection: Arc<Connection>,
}

impl PreparedRequest {
    fn new(head: Parts, body: RequestBody, connection: &Arc<Connection>) -> Self {
        Self {
            request: Box::new(Request::from_parts(head, body)),
            body: Bytes::new(),
            _connection: Arc::clone(connection),
        }
    }
}

/// Converts a request for an endpoint. A small body is read completely before a slot is taken, so
/// that a slow caller occupies no slot; the memory of all such bodies is limited.
pub(crate) async fn prepare_request(
    shared: &GatewayState,
    request: Request<Incoming>,
    caller: &CallerInfo,
) -> Result<PreparedRequest, Refusal> {
    let settings = &shared.settings;
    let (mut head, body) = request.into_parts();
    prepare_request_head(&mut head.uri, &mut head.headers, caller.address);
    head.version = Version::HTTP_11;
    head.extensions.clear();
    let connection = &caller.connection;
    if body.is_end_stream() {
        connection.complete_request().map_err(refusal)?;
        let body = RequestBody::buffered(Bytes::new());
        return Ok(PreparedRequest::new(head, body, connection));
    }
    let size = body.size_hint().exact();
    match size {
        Some(size) if size > settings.max_body_bytes => Err(Refusal::TooLarge),
        Some(size) if size > settings.max_buffered_body_bytes => {
            let body = stream_body(settings, body, connection).into();
            Ok(PreparedRequest::new(head, body, connection))
        }
        Some(_) => {
            let bytes = read_body(settings, body, connection).await?;
            let body = RequestBody::buffered(bytes.clone());
            Ok(PreparedRequest {
                body: bytes,
                ..PreparedRequest::new(head, body, connection)
            })
        }
        None => {
            let body = begin_body(settings, body, connection).await?;
            Ok(PreparedRequest::new(head, body, connection))
        }
    }
}

/// Reads a small body of known length.
async fn read_body(
    settings: &GatewaySettings,
    body: Incoming,
    connection: &Connection,
) -> Result<Bytes, Refusal> {
    connection
        .read_body(body, buffer_limit(settings), settings.body_stall_timeout)
        .await
        .map_err(refusal)
}

/// Reads a body of unknown length if it is small; the beginning of a larger one otherwise.
async fn begin_body(
    settings: &GatewaySettings,
    mut body: Incoming,
    connection: &Arc<Connection>,
) -> Result<RequestBody, Refusal> {
    let start = connection
        .read_start(
            &mut body,
            buffer_limit(settings),
            settings.body_stall_timeout,
        )
        .await
        .map_err(refusal)?;
    Ok(match start {
        BodyStart::Complete(bytes) => RequestBody::buffered(bytes),
        BodyStart::Partial(bytes) => stream_body(settings, body, connection)
            .with_start(bytes)
            .into(),
    })
}

fn stream_body(
    settings: &GatewaySettings,
    body: Incoming,
    connection: &Arc<Connection>,
) -> StreamedBody {
    let (max_bytes, stall_timeout) = (settings.max_body_bytes, settings.body_stall_timeout);
    StreamedBody::new(body, connection, max_bytes, stall_timeout)
}

fn buffer_limit(settings: &GatewaySettings) -> usize {
    usize::try_from(settings.max_buffered_body_bytes).unwrap_or(usize::MAX)
}

fn refusal(error: BodyError) -> Refusal {
    match error {
        BodyError::TooLarge => Refusal::TooLarge,
        BodyError::Late => Refusal::BodyStalled,
        BodyError::NoMemory => Refusal::MemoryFull,
        BodyError::Broken => Refusal::Malformed("its body is cut short or badly framed"),
    }
}
