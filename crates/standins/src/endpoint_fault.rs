//! What an endpoint does wrong.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;

/// What an endpoint does wrong with one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EndpointFault {
    /// It closes the connection and doesn't run the request.
    CloseUnrun,
    /// It runs the request and closes the connection before the answer.
    CloseBeforeAnswer,
    /// It runs the request and closes the connection after the answer's head.
    CloseAfterHead,
    /// It runs the request and closes the connection in the middle of the answer's body.
    CloseMidBody,
    /// The connection goes silent for good, and the request isn't run.
    GoSilent,
    /// It runs the request, and the connection goes silent for good.
    GoSilentAfterRun,
    /// It answers with this status at once and doesn't run the request, but doesn't say so.
    FailFast(StatusCode),
    /// It runs the request and answers with this status.
    FailAfterRun(StatusCode),
    /// It refuses with 503 and says that it didn't run the request.
    Refuse,
    /// It runs the request so much longer.
    Slow(Duration),
    /// It runs the request, sends these bytes in place of the answer, and closes the connection.
    Raw(Bytes),
    /// It runs the request and sends these bytes after the answer's end.
    TrailingBytes(Bytes),
}
