//! Takes a caller's request in, ready for an endpoint.

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
    gateway_shared::GatewayShared,
    header_rules::prepare_request,
    refusal::Refusal,
    request_body::RequestBody, //
};

/// A request that is ready for the endpoint.
pub(crate) struct TakenRequest {
    /// The request.
    pub(crate) request: Box<EndpointRequest>,
    /// The body, as far as it was taken in whole.
    pub(crate) body: Bytes,
    /// The memory that the body was allowed.
    _permit: Option<OwnedSemaphorePermit>,
}

impl TakenRequest {
    fn new(head: Parts, body: RequestBody) -> Self {
        Self {
            request: Box::new(Request::from_parts(head, body)),
            body: Bytes::new(),
            _permit: None,
        }
    }
}

/// Prepares the request for the endpoint. A small body is taken in whole before any slot is taken,
/// so that a slow caller holds no slot; what all of them hold is bounded.
pub(crate) async fn take_in(
    shared: &GatewayShared,
    request: Request<Incoming>,
    caller: IpAddr,
) -> Result<TakenRequest, Refusal> {
    let settings = &shared.settings;
    let (mut head, body) = request.into_parts();
    prepare_request(&mut head.uri, &mut head.headers, caller);
    head.version = Version::HTTP_11;
    head.extensions.clear();
    if body.is_end_stream() {
        let body = RequestBody::whole(Bytes::new());
        return Ok(TakenRequest::new(head, body));
    }
    let size = body.size_hint().exact();
    if size.is_some_and(|size| size > settings.most_body_bytes) {
        return Err(Refusal::TooLarge);
    }
    let small = size.filter(|size| *size <= settings.buffered_body_bytes);
    let Some(size) = small else {
        let body = RequestBody::streamed(body, settings.most_body_bytes, settings.body_stall);
        return Ok(TakenRequest::new(head, body));
    };
    let permits = u32::try_from(size).unwrap_or(u32::MAX);
    let permit = Arc::clone(&shared.held_bytes)
        .try_acquire_many_owned(permits)
        .map_err(|_| Refusal::MemoryFull)?;
    let whole = collect(body, settings.buffered_body_bytes, settings.body_stall).await?;
    Ok(TakenRequest {
        body: whole.clone(),
        _permit: Some(permit),
        ..TakenRequest::new(head, RequestBody::whole(whole))
    })
}

async fn collect(body: Incoming, most: u64, patience: Duration) -> Result<Bytes, Refusal> {
    let most = usize::try_from(most).unwrap_or(usize::MAX);
    let whole = timeout(patience, Limited::new(body, most).collect())
        .await
        .map_err(|_| Refusal::BodyStalled)?;
    match whole {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Refusal::TooLarge),
        Err(_) => Err(Refusal::Malformed("its body is cut short or badly framed")),
    }
}
