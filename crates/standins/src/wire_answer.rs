//! What a stand-in's server puts on the wire.

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
const GARBAGE: &[u8] = b"{\"committed\":[[";

/// The connection is closed in place of an answer.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the connection is closed in place of an answer")]
pub(crate) struct CutConnection;

pub(crate) type WireResult = Result<Response<WireBody>, CutConnection>;

/// A body that may break off before its end.
#[derive(Debug)]
pub(crate) struct WireBody {
    bytes: Option<Bytes>,
    cut: bool,
}

impl From<Bytes> for WireBody {
    fn from(bytes: Bytes) -> Self {
        Self {
            bytes: Some(bytes),
            cut: false,
        }
    }
}

impl WireBody {
    pub(crate) fn cut(bytes: Bytes) -> Self {
        Self {
            bytes: Some(bytes),
            cut: true,
        }
    }
}

impl Body for WireBody {
    type Data = Bytes;
    type Error = CutConnection;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutConnection>>> {
        match self.bytes.take() {
            Some(bytes) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            None if self.cut => Poll::Ready(Some(Err(CutConnection))),
            None => Poll::Ready(None),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.bytes {
            // CAST: `usize` has at most 64 bits on the machines that Rust's library supports.
            Some(bytes) if !self.cut => SizeHint::with_exact(bytes.len() as u64),
            _ => SizeHint::default(),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_none() && !self.cut
    }
}

pub(crate) fn json<Answer>(status: StatusCode, answer: &Answer) -> WireResult
where
    Answer: Serialize,
{
    let body = serde_json::to_vec(answer).map_err(|_| CutConnection)?;
    reply(status, body.into())
}

pub(crate) fn reply(status: StatusCode, body: Bytes) -> WireResult {
    let mut response = Response::new(WireBody::from(body));
    *response.status_mut() = status;
    Ok(response)
}

/// Answers that a call was not run.
pub(crate) fn refuse(status: StatusCode, reason: &'static str) -> WireResult {
    Response::builder()
        .status(status)
        .header(EXECUTED_HEADER, "no")
        .body(WireBody::from(Bytes::from_static(reason.as_bytes())))
        .map_err(|_| CutConnection)
}

/// Puts a fault on the wire.
pub(crate) fn fault(fault: FaultKind) -> WireResult {
    match fault {
        FaultKind::Refuse => refuse(StatusCode::SERVICE_UNAVAILABLE, "refused for now"),
        FaultKind::Malformed => reply(StatusCode::OK, Bytes::from_static(GARBAGE)),
        FaultKind::CutAnswer => cut_answer(),
        _ => Err(CutConnection),
    }
}

fn cut_answer() -> WireResult {
    Response::builder()
        .header(CONTENT_LENGTH, GARBAGE.len() * 2)
        .body(WireBody::cut(Bytes::from_static(GARBAGE)))
        .map_err(|_| CutConnection)
}

/// Returns an entity tag that differs with the body.
pub(crate) fn entity_tag(body: &Bytes) -> HeaderValue {
    let mut hasher = DefaultHasher::new();
    body.hash(&mut hasher);
    let tag = format!("\"{:016x}\"", hasher.finish());
    HeaderValue::from_str(&tag).unwrap_or(HeaderValue::from_static("\"\""))
}
