//! An answer of the administration API.

use bytes::Bytes;
use http::StatusCode;
use jasminebend_base::ChangeOutcome;

/// An answer of the administration API.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdminAnswer {
    /// The status.
    pub status: StatusCode,
    /// The body, whole.
    pub body: Bytes,
}

impl AdminAnswer {
    /// Returns what became of the change, if the body says so.
    pub fn outcome(&self) -> Option<ChangeOutcome> {
        serde_json::from_slice(&self.body).ok()
    }

    /// Returns the body as JSON, if it is.
    pub fn json(&self) -> Option<serde_json::Value> {
        serde_json::from_slice(&self.body).ok()
    }
}
