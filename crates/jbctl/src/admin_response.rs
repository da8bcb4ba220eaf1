//! HTTP response of the administration API.

use bytes::Bytes;
use http::StatusCode;
use jasminebend_base::ChangeOutcome;

/// An HTTP response of the administration API.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdminResponse {
    /// The HTTP status.
    pub status: StatusCode,
    /// The complete body.
    pub body: Bytes,
}

impl AdminResponse {
    /// Returns the outcome of a change; `None` if the body is not one.
    pub fn outcome(&self) -> Option<ChangeOutcome> {
        serde_json::from_slice(&self.body).ok()
    }

    /// Returns the body as JSON; `None` if it can't be parsed.
    pub fn json(&self) -> Option<serde_json::Value> {
        serde_json::from_slice(&self.body).ok()
    }
}
