//! [`KeyRecord`]: the row of an idempotency key in the table.

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

/// The row of an idempotency key in the table. It is encoded with postcard, so that the order of
/// the fields is its format.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct KeyRecord {
    /// Identifies the request: a key must not be used for two different ones.
    pub(crate) fingerprint: [u8; 16],
    /// A random number for each reservation, by which a writer that received no response recognizes
    /// its own row.
    pub(crate) reservation: u64,
    /// The hour of the shared count after which the row may be removed.
    pub(crate) expiry_hour: u64,
    /// The outcome of the request.
    pub(crate) state: KeyState,
}

impl KeyRecord {
    /// Sets the outcome of the request.
    pub(crate) fn with_state(mut self, state: KeyState) -> Self {
        self.state = state;
        self
    }
}

/// The outcome of a request with an idempotency key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum KeyState {
    /// The request was started; if its daemon terminated, the outcome stays unknown.
    Reserved,
    /// The request certainly was not run, so that the key may be used again.
    NotRun,
    /// The request may have been run.
    Unknown,
    /// The request was answered with this response.
    Answered(StoredResponse),
    /// The request was answered, but the response was too large to be stored.
    AnsweredLarge,
}

/// A response as it is stored in the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct StoredResponse {
    status: u16,
    headers: Vec<(String, Vec<u8>)>,
    body: Bytes,
}

impl KeyState {
    /// Drops the stored response, for a table that rejects a row of its size.
    pub(crate) fn without_response(self) -> Self {
        match self {
            Self::Answered(_) => Self::AnsweredLarge,
            other => other,
        }
    }
}

impl StoredResponse {
    /// Returns the approximate size in bytes.
    pub(crate) fn encoded_size_estimate(&self) -> usize {
        let headers = self.headers.iter();
        let headers: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        headers + self.body.len()
    }

    /// Creates the record of a response.
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

    /// Returns the stored response, marked as replayed.
    pub(crate) fn into_response(self) -> Response<ResponseBody> {
        let mut response = Response::new(ResponseBody::buffered(self.body));
        *response.status_mut() = StatusCode::from_u16(self.status).unwrap_or(StatusCode::OK);
        for (name, value) in self.headers {
            let name = HeaderName::try_from(name);
            let value = HeaderValue::from_bytes(&value);
            if let (Ok(name), Ok(value)) = (name, value) {
                response.headers_mut().append(name, value);
            }
        }
        let replayed = HeaderValue::from_static("true");
        response.headers_mut().insert(&REPLAYED, replayed);
        response
    }
}
