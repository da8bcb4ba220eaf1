//! Converts responses of endpoints and peers, and derives what they indicate about the endpoint.

use std::time::Duration;

use http::{
    Response, StatusCode,
    header::{
        CONNECTION,
        CONTENT_LENGTH,
        RETRY_AFTER,
        TRANSFER_ENCODING, //
    },
};
use http_body::Body;
use http_body_util::{
    BodyExt,
    Limited, //
};
use hyper::body::Incoming;

use crate::{
    delivery::is_reported_not_run,
    exchange::EndpointResponse,
    exchange_outcome::ResponseVerdict,
    gateway_settings::GatewaySettings,
    header_names::EXECUTED,
    header_rules::{
        has_token,
        prepare_response_head, //
    },
    pending_exchange::drain_response,
    refusal::Refusal,
    response_body::ResponseBody,
};

/// The longest `Retry-After` of an endpoint that is honored.
const MAX_REQUESTED_BACKOFF: Duration = Duration::from_secs(30);

/// Converts the response of an endpoint into the one for the caller.
pub(crate) async fn forward_response(
    mut endpoint_response: EndpointResponse,
    is_http_1_0: bool,
) -> Result<Response<ResponseBody>, Refusal> {
    let verdict = response_verdict(&endpoint_response);
    let has_framing = is_framed(&endpoint_response.response);
    if !has_framing || endpoint_response.response.status() == StatusCode::SWITCHING_PROTOCOLS {
        // A response that ends where its connection ends cannot be told from a truncated one.
        tokio::spawn(drain_response(
            endpoint_response.response,
            endpoint_response.lease,
            None,
            endpoint_response.latency,
        ));
        return Err(Refusal::EndpointFailed);
    }
    if !is_reported_not_run(&endpoint_response) {
        endpoint_response.response.headers_mut().remove(&EXECUTED);
    }
    let has_length = endpoint_response
        .response
        .headers()
        .contains_key(CONTENT_LENGTH);
    prepare_response_head(endpoint_response.response.headers_mut());
    let max_bytes = endpoint_response.lease.pool().settings.max_body_bytes;
    let response = ResponseBody::from_endpoint(endpoint_response, verdict);
    match is_http_1_0 && !has_length {
        true => buffer_response(response, max_bytes).await,
        false => Ok(response),
    }
}

/// Converts the response of another daemon into the one for the caller.
pub(crate) fn forward_peer_response(
    mut peer_response: Response<Incoming>,
    settings: &GatewaySettings,
) -> Result<Response<ResponseBody>, Refusal> {
    if !is_framed(&peer_response) || peer_response.status() == StatusCode::SWITCHING_PROTOCOLS {
        return Err(Refusal::EndpointFailed);
    }
    prepare_response_head(peer_response.headers_mut());
    Ok(ResponseBody::from_peer(peer_response, settings))
}

/// Reads a response completely, for a caller that uses HTTP/1.0: the end of the connection would be
/// the only sign of the end of the body, so that a truncated body would look complete.
pub(crate) async fn buffer_response(
    response: Response<ResponseBody>,
    max_bytes: u64,
) -> Result<Response<ResponseBody>, Refusal> {
    let (head, body) = response.into_parts();
    let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
    let collected = Limited::new(body, max_bytes)
        .collect()
        .await
        .map_err(|_| Refusal::EndpointFailed)?;
    Ok(Response::from_parts(
        head,
        ResponseBody::buffered(collected.to_bytes()),
    ))
}

/// Returns whether the end of the body is marked in the response itself.
fn is_framed(response: &Response<Incoming>) -> bool {
    response.body().is_end_stream()
        || response.headers().contains_key(CONTENT_LENGTH)
        || has_token(response.headers(), TRANSFER_ENCODING, "chunked")
}

fn response_verdict(endpoint_response: &EndpointResponse) -> ResponseVerdict {
    let status = endpoint_response.response.status();
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let requested = requested_backoff(&endpoint_response.response);
        return ResponseVerdict::Refusing { requested };
    }
    let closes = has_token(endpoint_response.response.headers(), CONNECTION, "close");
    match status.is_server_error() {
        true => ResponseVerdict::Failed,
        false if closes => ResponseVerdict::Closing,
        false => ResponseVerdict::Good,
    }
}

/// Returns the time in `Retry-After`, or zero without one.
fn requested_backoff(response: &Response<Incoming>) -> Duration {
    response
        .headers()
        .get(RETRY_AFTER)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse().ok())
        .map_or(Duration::ZERO, Duration::from_secs)
        .min(MAX_REQUESTED_BACKOFF)
}
