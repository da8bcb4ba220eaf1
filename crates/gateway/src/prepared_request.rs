//! [`PreparedRequest`]: converts the request of a caller into one for an endpoint.

use std::{
    net::IpAddr,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    Request,
    Version,
    request::Parts, //
};
use http_body::Body;
use http_body_util::{
    BodyExt,
    LengthLimitError,
    Limited, //
};
use hyper::body::Incoming;
use tokio::{
    sync::OwnedSemaphorePermit,
    time::timeout, //
};

use crate::{
    exchange::EndpointRequest,
    gateway_state::GatewayState,
    header_rules::prepare_request_head,
    refusal::Refusal,
    request_body::RequestBody, //
};

/// A request that is ready to be sent to an endpoint.
pub(crate) struct PreparedRequest {
    /// The request.
    pub(crate) request: Box<EndpointRequest>,
    /// The complete body if it was buffered; empty otherwise.
    pub(crate) body: Bytes,
    /// Reserves the memory of the buffered body.
    _permit: Option<OwnedSemaphorePermit>,
}

impl PreparedRequest {
    fn new(head: Parts, body: RequestBody) -> Self {
        Self {
            request: Box::new(Request::from_parts(head, body)),
            body: Bytes::new(),
            _permit: None,
        }
    }
}

/// Converts a request for an endpoint. A small body of known length is read completely before a
/// slot is taken, so that a slow caller occupies no slot; the memory of all such bodies is limited.
pub(crate) async fn prepare_request(
    shared: &GatewayState,
    request: Request<Incoming>,
    caller: IpAddr,
) -> Result<PreparedRequest, Refusal> {
    let settings = &shared.settings;
    let (mut head, body) = request.into_parts();
    prepare_request_head(&mut head.uri, &mut head.headers, caller);
    head.version = Version::HTTP_11;
    head.extensions.clear();
    if body.is_end_stream() {
        let body = RequestBody::buffered(Bytes::new());
        return Ok(PreparedRequest::new(head, body));
    }
    let size = body.size_hint().exact();
    if size.is_some_and(|size| size > settings.max_body_bytes) {
        return Err(Refusal::TooLarge);
    }
    let buffered_size = size.filter(|size| *size <= settings.max_buffered_body_bytes);
    let Some(size) = buffered_size else {
        let body =
            RequestBody::streamed(body, settings.max_body_bytes, settings.body_stall_timeout);
        return Ok(PreparedRequest::new(head, body));
    };
    let permits = u32::try_from(size).unwrap_or(u32::MAX);
    let permit = Arc::clone(&shared.buffered_body_permits)
        .try_acquire_many_owned(permits)
        .map_err(|_| Refusal::MemoryFull)?;
    let collected = collect(
        body,
        settings.max_buffered_body_bytes,
        settings.body_stall_timeout,
    )
    .await?;
    Ok(PreparedRequest {
        body: collected.clone(),
        _permit: Some(permit),
        ..PreparedRequest::new(head, RequestBody::buffered(collected))
    })
}

async fn collect(body: Incoming, max_bytes: u64, time_limit: Duration) -> Result<Bytes, Refusal> {
    let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
    let collected = timeout(time_limit, Limited::new(body, max_bytes).collect())
        .await
        .map_err(|_| Refusal::BodyStalled)?;
    match collected {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Refusal::TooLarge),
        Err(_) => Err(Refusal::Malformed("its body is cut short or badly framed")),
    }
}
