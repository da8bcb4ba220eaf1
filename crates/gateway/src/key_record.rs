//! What the table keeps of an idempotency key.

use bytes::Bytes;
use http::{
    HeaderMap,
    HeaderName,
    HeaderValue,
    Response,
    StatusCode, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    header_names::REPLAYED, //
    response_body::ResponseBody,
};

/// What the table keeps of an idempotency key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct KeyRecord {
    /// Tells one request from another: a key must not be used for two.
    pub(crate) fingerprint: [u8; 16],
    /// Drawn anew for each reservation, so that a writer whose answer was lost knows its own.
    pub(crate) reservation: u64,
    /// The hour of the count in the table after which the row may go.
    pub(crate) expiry_hour: u64,
    /// What became of the request.
    pub(crate) state: KeyState,
}

impl KeyRecord {
    /// Sets what became of the request.
    pub(crate) fn with_state(mut self, state: KeyState) -> Self {
        self.state = state;
        self
    }
}

/// What became of a request with an idempotency key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum KeyState {
    /// It was begun; if its daemon died, nobody knows more.
    Reserved,
    /// It certainly was not run, so that the key may be used again.
    NotRun,
    /// It may have been run.
    Unknown,
    /// It was answered.
    Answered(StoredResponse),
    /// It was answered, and the answer was too large to be kept.
    AnsweredLarge,
}

/// An answer as the table keeps it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct StoredResponse {
    status: u16,
    headers: Vec<(String, Vec<u8>)>,
    body: Bytes,
}

impl KeyState {
    /// Leaves out the answer, for a table that does not take a row of its size.
    pub(crate) fn without_response(self) -> Self {
        match self {
            Self::Answered(_) => Self::AnsweredLarge,
            other => other,
        }
    }
}

impl StoredResponse {
    /// Returns about how many bytes it takes.
    pub(crate) fn encoded_size_estimate(&self) -> usize {
        let headers = self.headers.iter();
        let headers: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        headers + self.body.len()
    }

    /// Keeps an answer.
    pub(crate) fn new(status: StatusCode, headers: &HeaderMap, body: Bytes) -> Self {
        let headers = headers
            .iter()
            .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
            .collect();
        Self {
            status: status.as_u16(),
            headers,
            body,
        }
    }

    /// Returns the answer once more, marked as a repetition.
    pub(crate) fn into_response(self) -> Response<ResponseBody> {
        let mut answer = Response::new(ResponseBody::buffered(self.body));
        *answer.status_mut() = StatusCode::from_u16(self.status).unwrap_or(StatusCode::OK);
        for (name, value) in self.headers {
            let name = HeaderName::try_from(name);
            let value = HeaderValue::from_bytes(&value);
            if let (Ok(name), Ok(value)) = (name, value) {
                answer.headers_mut().append(name, value);
            }
        }
        let replayed = HeaderValue::from_static("true");
        answer.headers_mut().insert(&REPLAYED, replayed);
        answer
    }
}
