//! [`Refusal`]: the responses that the gateway itself generates.

use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use http::{
    HeaderValue, Response, StatusCode,
    header::{
        CONNECTION,
        CONTENT_TYPE,
        RETRY_AFTER, //
    },
};

use crate::{
    body_error::BodyError,
    header_names::{
        EXECUTED,
        REASON, //
    },
    response_body::ResponseBody,
};

const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Why the gateway itself responds to a request. `Display` writes the sentence in the body of the
/// response.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum Refusal {
    /// The head or the framing violates the protocol; the text names the violation.
    #[display("The request is malformed: {_0}.")]
    Malformed(&'static str),
    /// The body is larger than allowed.
    #[display("The request's body is larger than allowed.")]
    TooLarge,
    /// The body did not arrive in time.
    #[display("The request's body did not arrive in time.")]
    BodyStalled,
    /// The body failed while it was forwarded, because of the caller.
    #[display("The request was given up: {_0}; whether it was run is not known.")]
    BodyFailed(BodyError),
    /// The memory for buffered bodies is full.
    #[display("Too many requests are being taken in; the request was not run.")]
    MemoryFull,
    /// The memory for buffered bodies is full, and the request has an idempotency key, of which
    /// nothing was read.
    #[display(
        "Too many requests are being taken in; whether one with this Idempotency-Key was run is not known."
    )]
    MemoryFullForKey,
    /// Incomplete bodies hold all of the slots that they may take, and the request would miss its
    /// target while its body waits.
    #[display("Too many large bodies are incomplete; the request was not run.")]
    TooManyIncomplete,
    /// The request asks for an upgrade or a tunnel, which are not supported.
    #[display("Upgrades and tunnels are not offered here.")]
    UpgradeRefused,
    /// No class's route matches.
    #[display("No class of work has a route for this request.")]
    NoRoute,
    /// No endpoint of the service may receive requests.
    #[display("No endpoint of this service can take requests now.")]
    NoEndpoint,
    /// No slot is free, and the request would miss its target while it waits.
    #[display("The service is at its limit; the request would miss its target.")]
    Overloaded {
        /// When a slot is likely to be free.
        retry_after: Duration,
    },
    /// The queue of the service is full.
    #[display("Too many requests of this service wait already.")]
    QueueFull {
        /// When a slot is likely to be free.
        retry_after: Duration,
    },
    /// The request waited until its target could no longer be met.
    #[display("No slot became free in time.")]
    QueueTimeout,
    /// No connection to an endpoint could be opened.
    #[display("No endpoint of this service could be connected to.")]
    Unconnected,
    /// The idempotency key is malformed.
    #[display("The Idempotency-Key must be 1 to 255 visible ASCII characters, given once.")]
    BadKey,
    /// The table that stores idempotency keys did not respond.
    #[display("The idempotency key could not be reserved now; the request was not run.")]
    KeyUnreserved,
    /// The key belongs to a request that is running, or whose outcome is unknown.
    #[display("A request with this Idempotency-Key was begun; its outcome is not known.")]
    KeyInUse,
    /// The request with this key was answered, but its response is not stored.
    #[display("The request with this Idempotency-Key was run; its answer was too large to keep.")]
    KeyAnswered,
    /// The key was used for a different request.
    #[display("This Idempotency-Key was used for a different request.")]
    KeyMismatch,
    /// The endpoint sent no response or an invalid one.
    #[display("The endpoint failed; whether the request was run is not known.")]
    EndpointFailed,
    /// The endpoint did not respond in time.
    #[display("The endpoint did not answer in time; whether the request was run is not known.")]
    EndpointTimeout,
}

impl Refusal {
    /// Returns the short name that the metrics and the `Jasminebend-Reason` header carry.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Self::Malformed(_) => "malformed",
            Self::TooLarge => "too_large",
            Self::BodyStalled => "body_stalled",
            Self::BodyFailed(_) => "body_failed",
            Self::MemoryFull | Self::MemoryFullForKey => "memory_full",
            Self::TooManyIncomplete => "too_many_incomplete",
            Self::UpgradeRefused => "upgrade_refused",
            Self::NoRoute => "no_route",
            Self::NoEndpoint => "no_endpoint",
            Self::Overloaded { .. } => "overloaded",
            Self::QueueFull { .. } => "queue_full",
            Self::QueueTimeout => "queue_timeout",
            Self::Unconnected => "unconnected",
            Self::BadKey => "bad_key",
            Self::KeyUnreserved => "key_unreserved",
            Self::KeyInUse => "key_in_use",
            Self::KeyAnswered => "key_answered",
            Self::KeyMismatch => "key_mismatch",
            Self::EndpointFailed => "endpoint_failed",
            Self::EndpointTimeout => "endpoint_timeout",
        }
    }

    /// Returns the status code of the response.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::Malformed(_) | Self::BadKey => StatusCode::BAD_REQUEST,
            Self::TooLarge | Self::BodyFailed(BodyError::TooLarge) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyFailed(BodyError::CutShort) => StatusCode::BAD_REQUEST,
            Self::BodyStalled | Self::BodyFailed(_) => StatusCode::REQUEST_TIMEOUT,
            Self::UpgradeRefused => StatusCode::NOT_IMPLEMENTED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::QueueFull { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::NoEndpoint
            | Self::MemoryFull
            | Self::TooManyIncomplete
            | Self::Overloaded { .. }
            | Self::QueueTimeout
            | Self::Unconnected
            | Self::KeyUnreserved => StatusCode::SERVICE_UNAVAILABLE,
            Self::KeyInUse | Self::KeyAnswered => StatusCode::CONFLICT,
            Self::KeyMismatch => StatusCode::UNPROCESSABLE_ENTITY,
            Self::EndpointFailed => StatusCode::BAD_GATEWAY,
            Self::MemoryFullForKey | Self::EndpointTimeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns whether the request certainly was not run.
    pub(crate) fn surely_not_run(self) -> bool {
        !matches!(
            self,
            Self::BodyFailed(_)
                | Self::MemoryFullForKey
                | Self::KeyInUse
                | Self::KeyAnswered
                | Self::EndpointFailed
                | Self::EndpointTimeout
        )
    }

    /// Returns when the caller may retry, if a retry can help.
    pub(crate) fn retry_after(self) -> Option<Duration> {
        let delay = match self {
            Self::Overloaded { retry_after } | Self::QueueFull { retry_after } => retry_after,
            Self::NoEndpoint
            | Self::MemoryFull
            | Self::MemoryFullForKey
            | Self::TooManyIncomplete
            | Self::QueueTimeout
            | Self::Unconnected
            | Self::KeyUnreserved
            | Self::KeyInUse => MIN_RETRY_AFTER,
            _ => return None,
        };
        Some(delay.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
    }

    /// Returns whether the connection of the caller must be closed, because the rest of the request
    /// was not read.
    fn closes_connection(self) -> bool {
        matches!(
            self,
            Self::Malformed(_)
                | Self::TooLarge
                | Self::BodyStalled
                | Self::BodyFailed(_)
                | Self::MemoryFull
                | Self::MemoryFullForKey
                | Self::TooManyIncomplete
                | Self::UpgradeRefused
        )
    }

    /// Converts the refusal into a response.
    pub(crate) fn into_response(self) -> Response<ResponseBody> {
        let text = Bytes::from(format!("{self}\n"));
        let mut response = Response::new(ResponseBody::buffered(text));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        let executed = match self {
            Self::KeyAnswered => "yes",
            _ if self.surely_not_run() => "no",
            _ => "unknown",
        };
        headers.insert(&EXECUTED, HeaderValue::from_static(executed));
        headers.insert(&REASON, HeaderValue::from_static(self.reason()));
        headers.insert(
            CONTENT_TYPE,
            HeaderValue::from_static("text/plain; charset=utf-8"),
        );
        if let Some(delay) = self.retry_after() {
            let secs = delay.as_millis().div_ceil(1000);
            let secs = u32::try_from(secs).unwrap_or(u32::MAX);
            headers.insert(RETRY_AFTER, HeaderValue::from(secs));
        }
        if self.closes_connection() {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
