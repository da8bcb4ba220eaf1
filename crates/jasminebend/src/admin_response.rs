//! Builds responses of the administration API.

use bytes::Bytes;
use http::{
    Response,
    StatusCode,
    header, //
};
use http_body_util::Full;
use serde::Serialize;

use crate::admin_error::AdminError;

const JSON_CONTENT_TYPE: &str = "application/json";
/// The content type of the Prometheus exposition format, used for all text responses.
const TEXT_CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// A response of the administration API.
pub(crate) type AdminResponse = Response<Full<Bytes>>;

/// Builds the response that reports an error.
pub(crate) fn error_response(error: &AdminError) -> AdminResponse {
    let mut response = json(error.status(), &error.outcome());
    let headers = response.headers_mut();
    match error {
        AdminError::Unidentified => {
            let scheme = header::HeaderValue::from_static("Bearer");
            headers.insert(header::WWW_AUTHENTICATE, scheme);
        }
        AdminError::TooManyAttempts => {
            let seconds = header::HeaderValue::from_static("1");
            headers.insert(header::RETRY_AFTER, seconds);
        }
        AdminError::WrongMethod { allowed } => {
            headers.insert(header::ALLOW, header::HeaderValue::from_static(allowed));
        }
        // The rest of an oversized or late body is not read, so the connection cannot be reused.
        AdminError::BodyTooLarge { .. } | AdminError::SlowRequest | AdminError::BodyCut => {
            let close = header::HeaderValue::from_static("close");
            headers.insert(header::CONNECTION, close);
        }
        _ => {}
    }
    response
}

/// Builds a response with a JSON body.
pub(crate) fn json<Content>(status: StatusCode, content: &Content) -> AdminResponse
where
    Content: Serialize,
{
    let body = serde_json::to_vec(content).unwrap_or_default();
    build_response(status, JSON_CONTENT_TYPE, body)
}

/// Builds a response with status 200 and a text body.
pub(crate) fn text(content: String) -> AdminResponse {
    build_response(StatusCode::OK, TEXT_CONTENT_TYPE, content.into_bytes())
}

fn build_response(status: StatusCode, content_type: &'static str, body: Vec<u8>) -> AdminResponse {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let content_type = header::HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}
