//! Records the outcome of requests with idempotency keys.

use bytes::Bytes;
use http::{
    Response,
    header::CONTENT_LENGTH, //
};
use http_body_util::{
    BodyExt,
    Limited, //
};
use spdlog::warn;

use crate::{
    header_names::EXECUTED,
    key_record::{
        KeyState, //
        StoredResponse,
    },
    key_store::KeyReservation,
    refusal::Refusal,
    response_body::ResponseBody,
};

/// The largest body of a response that is stored, in bytes.
pub(crate) const MAX_STORED_BODY_BYTES: usize = 32 * 1024;

/// Records the outcome of a request under its key, and returns the response.
///
/// A small response is read completely first: it is then stored even if the caller disconnects, and
/// a caller that repeats the request receives it.
pub(crate) async fn record_outcome(
    reservation: KeyReservation,
    outcome: Result<Response<ResponseBody>, Refusal>,
) -> Result<Response<ResponseBody>, Refusal> {
    let response = match outcome {
        Ok(response) => response,
        Err(refusal) => {
            reservation.complete(match refusal.surely_not_run() {
                true => KeyState::NotRun,
                false => KeyState::Unknown,
            });
            return Err(refusal);
        }
    };
    if response.headers().contains_key(&EXECUTED) {
        // The endpoint itself reported that the request was not run.
        reservation.complete(KeyState::NotRun);
        return Ok(response);
    }
    if !is_storable(&response) {
        reservation.complete(KeyState::AnsweredLarge);
        return Ok(response);
    }
    record_small_response(reservation, response).await
}

/// Returns whether the response is known to be small enough to be stored.
fn is_storable(response: &Response<ResponseBody>) -> bool {
    let length = response.headers().get(CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    let has_ended = http_body::Body::is_end_stream(response.body());
    has_ended || length.is_some_and(|length| length <= MAX_STORED_BODY_BYTES)
}

async fn record_small_response(
    reservation: KeyReservation,
    response: Response<ResponseBody>,
) -> Result<Response<ResponseBody>, Refusal> {
    let (head, body) = response.into_parts();
    let Ok(collected) = Limited::new(body, MAX_STORED_BODY_BYTES).collect().await else {
        reservation.complete(KeyState::Unknown);
        return Err(Refusal::EndpointFailed);
    };
    let collected: Bytes = collected.to_bytes();
    let stored_response = StoredResponse::new(head.status, &head.headers, collected.clone());
    reservation.complete(KeyState::Answered(stored_response));
    Ok(Response::from_parts(
        head,
        ResponseBody::buffered(collected),
    ))
}

/// Runs a delivery to completion even if the caller disconnects, so that its outcome is recorded.
pub(crate) async fn run_detached<Delivery>(
    delivery: Delivery,
) -> Result<Response<ResponseBody>, Refusal>
where
    Delivery: Future<Output = Result<Response<ResponseBody>, Refusal>> + Send + 'static,
{
    tokio::spawn(delivery).await.unwrap_or_else(|_| {
        warn!("[gateway] A request's task ended early.");
        Err(Refusal::EndpointFailed)
    })
}
