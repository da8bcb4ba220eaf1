//! The faults that a stand-in endpoint can inject.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;

/// A fault that a stand-in endpoint injects into one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EndpointFault {
    /// Closes the connection without processing the request.
    CloseBeforeRun,
    /// Processes the request and closes the connection before the response.
    CloseBeforeAnswer,
    /// Processes the request and closes the connection after the response's head.
    CloseAfterHead,
    /// Processes the request and closes the connection after half of the response's body.
    CloseMidBody,
    /// Makes the connection silent for the rest of its life, without processing the request.
    SilenceBeforeRun,
    /// Processes the request and makes the connection silent for the rest of its life.
    SilenceAfterRun,
    /// Responds with this status at once without processing the request, and without the header that says that it
    /// was not processed.
    FailFast(StatusCode),
    /// Processes the request and responds with this status.
    FailAfterRun(StatusCode),
    /// Refuses the request with 503 and a header that says that it was not processed.
    Refuse,
    /// Lengthens the processing of the request by this time.
    Slow(Duration),
    /// Processes the request, sends these bytes in place of the response, and closes the connection.
    Raw(Bytes),
    /// Processes the request and sends these bytes after the end of the response.
    TrailingBytes(Bytes),
}
