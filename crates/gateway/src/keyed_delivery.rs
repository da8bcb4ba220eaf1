//! Has a request with an idempotency key answered, at most once for all daemons together.

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
    answer_body::AnswerBody,
    header_names::EXECUTED,
    key_record::{
        KeptAnswer,
        KeyState, //
    },
    key_store::KeyReservation,
    refusal::Refusal,
};

/// The largest answer that is kept.
pub(crate) const MOST_KEPT_BYTES: usize = 32 * 1024;

/// Keeps what became of a request, and returns its answer.
///
/// A small answer is taken in whole first: it is then kept even if the caller is gone, and the
/// caller that asks again gets it.
pub(crate) async fn keep(
    reservation: KeyReservation,
    outcome: Result<Response<AnswerBody>, Refusal>,
) -> Result<Response<AnswerBody>, Refusal> {
    let answer = match outcome {
        Ok(answer) => answer,
        Err(refusal) => {
            reservation.settle(match refusal.surely_not_run() {
                true => KeyState::NotRun,
                false => KeyState::Unknown,
            });
            return Err(refusal);
        }
    };
    if answer.headers().contains_key(&EXECUTED) {
        // The endpoint itself said that the request was not run.
        reservation.settle(KeyState::NotRun);
        return Ok(answer);
    }
    if !is_small(&answer) {
        reservation.settle(KeyState::AnsweredLarge);
        return Ok(answer);
    }
    keep_small(reservation, answer).await
}

fn is_small(answer: &Response<AnswerBody>) -> bool {
    let length = answer.headers().get(CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    let ended = http_body::Body::is_end_stream(answer.body());
    ended || length.is_some_and(|length| length <= MOST_KEPT_BYTES)
}

async fn keep_small(
    reservation: KeyReservation,
    answer: Response<AnswerBody>,
) -> Result<Response<AnswerBody>, Refusal> {
    let (head, body) = answer.into_parts();
    let Ok(whole) = Limited::new(body, MOST_KEPT_BYTES).collect().await else {
        reservation.settle(KeyState::Unknown);
        return Err(Refusal::EndpointFailed);
    };
    let whole: Bytes = whole.to_bytes();
    let kept = KeptAnswer::new(head.status, &head.headers, whole.clone());
    reservation.settle(KeyState::Answered(kept));
    Ok(Response::from_parts(head, AnswerBody::whole(whole)))
}

/// Runs a delivery to its end even if the caller leaves meanwhile, so that its outcome is kept.
pub(crate) async fn detached<Delivery>(delivery: Delivery) -> Result<Response<AnswerBody>, Refusal>
where
    Delivery: Future<Output = Result<Response<AnswerBody>, Refusal>> + Send + 'static,
{
    tokio::spawn(delivery).await.unwrap_or_else(|_| {
        warn!("[gateway] A request's task ended early.");
        Err(Refusal::EndpointFailed)
    })
}
