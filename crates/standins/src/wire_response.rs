//! HTTP responses of the stand-ins' servers, including faulty ones.

use std::{
    hash::{
        DefaultHasher,
        Hash,
        Hasher, //
    },
    pin::Pin,
    task::{
        Context,
        Poll, //
    }, //
};

use bytes::Bytes;
use derive_more::{
    Display,
    Error, //
};
use http::{
    HeaderValue,
    Response,
    StatusCode,
    header::CONTENT_LENGTH, //
};
use hyper::body::{
    Body,
    Frame,
    SizeHint, //
};
use serde::Serialize;

use crate::FaultKind;

const EXECUTED_HEADER: &str = "jasminebend-executed";
const MALFORMED_BODY: &[u8] = b"{\"committed\":[[";

/// The error that makes hyper close the connection in place of a response.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the connection is closed in place of an answer")]
pub(crate) struct CloseConnection;

pub(crate) type ResponseResult = Result<Response<ResponseBody>, CloseConnection>;

/// A response body that can end with an error before its declared length.
#[derive(Debug)]
pub(crate) struct ResponseBody {
    bytes: Option<Bytes>,
    truncated: bool,
}

impl From<Bytes> for ResponseBody {
    fn from(bytes: Bytes) -> Self {
        Self {
            bytes: Some(bytes),
            truncated: false,
        }
    }
}

impl ResponseBody {
    pub(crate) fn truncated(bytes: Bytes) -> Self {
        Self {
            bytes: Some(bytes),
            truncated: true,
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = CloseConnection;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CloseConnection>>> {
        match self.bytes.take() {
            Some(bytes) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            None if self.truncated => Poll::Ready(Some(Err(CloseConnection))),
            None => Poll::Ready(None),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.bytes {
            // CAST: `usize` has at most 64 bits on the machines that Rust's library supports.
            Some(bytes) if !self.truncated => SizeHint::with_exact(bytes.len() as u64),
            _ => SizeHint::default(),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_none() && !self.truncated
    }
}

pub(crate) fn json_response<Answer>(status: StatusCode, answer: &Answer) -> ResponseResult
where
    Answer: Serialize,
{
    let body = serde_json::to_vec(answer).map_err(|_| CloseConnection)?;
    body_response(status, body.into())
}

pub(crate) fn body_response(status: StatusCode, body: Bytes) -> ResponseResult {
    let mut response = Response::new(ResponseBody::from(body));
    *response.status_mut() = status;
    Ok(response)
}

/// Returns a response that says that the call had no effect.
pub(crate) fn refused_response(status: StatusCode, reason: &'static str) -> ResponseResult {
    Response::builder()
        .status(status)
        .header(EXECUTED_HEADER, "no")
        .body(ResponseBody::from(Bytes::from_static(reason.as_bytes())))
        .map_err(|_| CloseConnection)
}

/// Returns the HTTP response that shows a fault to the caller, or the error that closes the connection.
pub(crate) fn fault_response(fault: FaultKind) -> ResponseResult {
    match fault {
        FaultKind::Refuse => refused_response(StatusCode::SERVICE_UNAVAILABLE, "refused for now"),
        FaultKind::Malformed => body_response(StatusCode::OK, Bytes::from_static(MALFORMED_BODY)),
        FaultKind::CutAnswer => truncated_response(),
        _ => Err(CloseConnection),
    }
}

fn truncated_response() -> ResponseResult {
    Response::builder()
        .header(CONTENT_LENGTH, MALFORMED_BODY.len() * 2)
        .body(ResponseBody::truncated(Bytes::from_static(MALFORMED_BODY)))
        .map_err(|_| CloseConnection)
}

/// Returns an entity tag computed as a hash of the body.
pub(crate) fn entity_tag(body: &Bytes) -> HeaderValue {
    let mut hasher = DefaultHasher::new();
    body.hash(&mut hasher);
    let tag = format!("\"{:016x}\"", hasher.finish());
    HeaderValue::from_str(&tag).unwrap_or(HeaderValue::from_static("\"\""))
}
