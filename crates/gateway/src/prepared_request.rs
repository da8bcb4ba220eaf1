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
    Connection, //
};

use crate::{
    exchange::EndpointRequest,
    gateway_state::GatewayState,
    header_rules::prepare_request_head,
    refusal::Refusal,
    request_body::RequestBody,
    request_handler::CallerInfo, //
};

/// A request that is ready to be sent to an endpoint.
pub(crate) struct PreparedRequest {
    /// The request.
    pub(crate) request: Box<EndpointRequest>,
    /// The complete body if it was buffered; empty otherwise.
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

/// Converts a request for an endpoint. A small body of known length is read completely before a
/// slot is taken, so that a slow caller occupies no slot; the memory of all such bodies is limited.
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
        complete(connection)?;
        let body = RequestBody::buffered(Bytes::new());
        return Ok(PreparedRequest::new(head, body, connection));
    }
    let size = body.size_hint().exact();
    if size.is_some_and(|size| size > settings.max_body_bytes) {
        return Err(Refusal::TooLarge);
    }
    let buffered_size = size.filter(|size| *size <= settings.max_buffered_body_bytes);
    if buffered_size.is_none() {
        complete(connection)?;
        let body =
            RequestBody::streamed(body, settings.max_body_bytes, settings.body_stall_timeout);
        return Ok(PreparedRequest::new(head, body, connection));
    }
    let limit = usize::try_from(settings.max_buffered_body_bytes).unwrap_or(usize::MAX);
    let collected = connection
        .read_body(body, limit, settings.body_stall_timeout)
        .await
        .map_err(refusal)?;
    Ok(PreparedRequest {
        body: collected.clone(),
        ..PreparedRequest::new(head, RequestBody::buffered(collected), connection)
    })
}

/// Records that the connection is not closed for others until its request is answered.
fn complete(connection: &Connection) -> Result<(), Refusal> {
    connection.complete_request().map_err(refusal)
}

fn refusal(error: BodyError) -> Refusal {
    match error {
        BodyError::TooLarge => Refusal::TooLarge,
        BodyError::Late => Refusal::BodyStalled,
        BodyError::NoMemory => Refusal::MemoryFull,
        BodyError::Broken => Refusal::Malformed("its body is cut short or badly framed"),
    }
}
