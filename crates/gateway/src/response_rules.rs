//! Converts responses of endpoints and peers, and derives what they tell about the endpoint.

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
    mut answer: EndpointResponse,
    is_http_1_0: bool,
) -> Result<Response<ResponseBody>, Refusal> {
    let verdict = response_verdict(&answer);
    let framed = is_framed(&answer.response);
    if !framed || answer.response.status() == StatusCode::SWITCHING_PROTOCOLS {
        // A response that ends where its connection ends cannot be told from a truncated one.
        tokio::spawn(drain_response(
            answer.response,
            answer.lease,
            None,
            answer.latency,
        ));
        return Err(Refusal::EndpointFailed);
    }
    if !is_reported_not_run(&answer) {
        answer.response.headers_mut().remove(&EXECUTED);
    }
    let sized = answer.response.headers().contains_key(CONTENT_LENGTH);
    prepare_response_head(answer.response.headers_mut());
    let max_bytes = answer.lease.pool().settings.max_body_bytes;
    let response = ResponseBody::from_endpoint(answer, verdict);
    match is_http_1_0 && !sized {
        true => buffer_response(response, max_bytes).await,
        false => Ok(response),
    }
}

/// Converts the response of another daemon into the one for the caller.
pub(crate) fn forward_peer_response(
    mut answer: Response<Incoming>,
    settings: &GatewaySettings,
) -> Result<Response<ResponseBody>, Refusal> {
    if !is_framed(&answer) || answer.status() == StatusCode::SWITCHING_PROTOCOLS {
        return Err(Refusal::EndpointFailed);
    }
    prepare_response_head(answer.headers_mut());
    Ok(ResponseBody::from_peer(answer, settings))
}

/// Reads a response completely, for a caller that uses HTTP/1.0: the end of the connection would be
/// the only sign of the end of the body, so that a truncated body would look complete.
pub(crate) async fn buffer_response(
    response: Response<ResponseBody>,
    max_bytes: u64,
) -> Result<Response<ResponseBody>, Refusal> {
    let (head, body) = response.into_parts();
    let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
    let whole = Limited::new(body, max_bytes)
        .collect()
        .await
        .map_err(|_| Refusal::EndpointFailed)?;
    Ok(Response::from_parts(
        head,
        ResponseBody::buffered(whole.to_bytes()),
    ))
}

/// Returns whether the end of the body is marked in the response itself.
fn is_framed(response: &Response<Incoming>) -> bool {
    response.body().is_end_stream()
        || response.headers().contains_key(CONTENT_LENGTH)
        || has_token(response.headers(), TRANSFER_ENCODING, "chunked")
}

fn response_verdict(answer: &EndpointResponse) -> ResponseVerdict {
    let status = answer.response.status();
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let requested = requested_backoff(&answer.response);
        return ResponseVerdict::Refusing { requested };
    }
    let closes = has_token(answer.response.headers(), CONNECTION, "close");
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
