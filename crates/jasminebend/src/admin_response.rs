//! Builds the administration API's answers.

use bytes::Bytes;
use http::{
    Response,
    StatusCode,
    header, //
};
use http_body_util::Full;
use serde::Serialize;

use crate::admin_error::AdminError;

const JSON: &str = "application/json";
const TEXT: &str = "text/plain; version=0.0.4";

/// An answer of the administration API.
pub(crate) type AdminResponse = Response<Full<Bytes>>;

pub(crate) fn refuse(error: &AdminError) -> AdminResponse {
    let mut response = json(error.status(), &error.outcome());
    let headers = response.headers_mut();
    match error {
        AdminError::Unidentified => {
            let scheme = header::HeaderValue::from_static("Bearer");
            headers.insert(header::WWW_AUTHENTICATE, scheme);
        }
        AdminError::TooManyTries => {
            let second = header::HeaderValue::from_static("1");
            headers.insert(header::RETRY_AFTER, second);
        }
        AdminError::WrongMethod { allowed } => {
            headers.insert(header::ALLOW, header::HeaderValue::from_static(allowed));
        }
        // The rest of an oversized or late body is not read: the connection cannot go on.
        AdminError::BodyTooLarge { .. } | AdminError::SlowRequest | AdminError::BodyCut => {
            let close = header::HeaderValue::from_static("close");
            headers.insert(header::CONNECTION, close);
        }
        _ => {}
    }
    response
}

pub(crate) fn json<Content>(status: StatusCode, content: &Content) -> AdminResponse
where
    Content: Serialize,
{
    let body = serde_json::to_vec(content).unwrap_or_default();
    respond(status, JSON, body)
}

pub(crate) fn text(content: String) -> AdminResponse {
    respond(StatusCode::OK, TEXT, content.into_bytes())
}

fn respond(status: StatusCode, kind: &'static str, body: Vec<u8>) -> AdminResponse {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let kind = header::HeaderValue::from_static(kind);
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
