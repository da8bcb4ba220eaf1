//! What an endpoint's answer becomes, and what it says of the endpoint.

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
    answer_body::AnswerBody,
    delivery::says_not_run,
    exchange::EndpointAnswer,
    exchange_end::AnswerVerdict,
    gateway_settings::GatewaySettings,
    header_names::EXECUTED,
    header_rules::{
        has_token,
        prepare_answer, //
    },
    pending_exchange::drain,
    refusal::Refusal,
};

const MOST_ASKED_HOLD: Duration = Duration::from_secs(30);

/// Turns an endpoint's answer into the caller's.
pub(crate) async fn pass_on(
    mut answer: EndpointAnswer,
    ancient: bool,
) -> Result<Response<AnswerBody>, Refusal> {
    let verdict = verdict_of(&answer);
    let framed = is_framed(&answer.response);
    if !framed || answer.response.status() == StatusCode::SWITCHING_PROTOCOLS {
        // An answer that ends where its connection does cannot be told from one cut short.
        tokio::spawn(drain(answer.response, answer.lease, None, answer.latency));
        return Err(Refusal::EndpointFailed);
    }
    if !says_not_run(&answer) {
        answer.response.headers_mut().remove(&EXECUTED);
    }
    let sized = answer.response.headers().contains_key(CONTENT_LENGTH);
    prepare_answer(answer.response.headers_mut());
    let most = answer.lease.pool().settings.most_body_bytes;
    let response = AnswerBody::pass_on(answer, verdict);
    match ancient && !sized {
        true => whole(response, most).await,
        false => Ok(response),
    }
}

/// Turns another daemon's answer into the caller's.
pub(crate) fn pass_on_peer(
    mut answer: Response<Incoming>,
    settings: &GatewaySettings,
) -> Result<Response<AnswerBody>, Refusal> {
    if !is_framed(&answer) || answer.status() == StatusCode::SWITCHING_PROTOCOLS {
        return Err(Refusal::EndpointFailed);
    }
    prepare_answer(answer.headers_mut());
    Ok(AnswerBody::from_peer(answer, settings))
}

/// Takes an answer in whole for a caller of HTTP/1.0, to whom the end of the connection would be
/// the only sign of the body's end, so that one cut short would look whole.
pub(crate) async fn whole(
    response: Response<AnswerBody>,
    most: u64,
) -> Result<Response<AnswerBody>, Refusal> {
    let (head, body) = response.into_parts();
    let most = usize::try_from(most).unwrap_or(usize::MAX);
    let whole = Limited::new(body, most)
        .collect()
        .await
        .map_err(|_| Refusal::EndpointFailed)?;
    Ok(Response::from_parts(
        head,
        AnswerBody::whole(whole.to_bytes()),
    ))
}

fn is_framed(response: &Response<Incoming>) -> bool {
    response.body().is_end_stream()
        || response.headers().contains_key(CONTENT_LENGTH)
        || has_token(response.headers(), TRANSFER_ENCODING, "chunked")
}

fn verdict_of(answer: &EndpointAnswer) -> AnswerVerdict {
    let status = answer.response.status();
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let asked = asked_hold(&answer.response);
        return AnswerVerdict::Refusing { asked };
    }
    let closes = has_token(answer.response.headers(), CONNECTION, "close");
    match status.is_server_error() {
        true => AnswerVerdict::Failed,
        false if closes => AnswerVerdict::Closing,
        false => AnswerVerdict::Good,
    }
}

fn asked_hold(response: &Response<Incoming>) -> Duration {
    response
        .headers()
        .get(RETRY_AFTER)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse().ok())
        .map_or(Duration::ZERO, Duration::from_secs)
        .min(MOST_ASKED_HOLD)
}
