//! [`ExchangeOutcome`]: the outcome of an exchange on a slot.

use std::time::Duration;

use crate::endpoint_connection::EndpointConnection;

/// The outcome of an exchange on a slot.
pub(crate) enum ExchangeOutcome {
    /// Nothing was sent.
    NotSent {
        /// The connection of the slot, if it can be reused.
        connection: Option<EndpointConnection>,
    },
    /// No connection to the endpoint could be opened.
    Unconnected,
    /// The complete response arrived.
    Answered {
        /// The time from sending the request to the head of the response.
        latency: Duration,
        /// What the response indicates about the endpoint.
        verdict: ResponseVerdict,
        /// The connection, if it can be reused.
        connection: Option<EndpointConnection>,
    },
    /// No response arrived within the longest request, so that the endpoint no longer works on it.
    TimedOut,
    /// The endpoint may still be working on the request.
    Unknown,
}

/// What a response indicates about its endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ResponseVerdict {
    /// The endpoint works as expected.
    Good,
    /// The endpoint reported an error (5xx other than 503).
    Failed,
    /// The endpoint refuses requests for now (503).
    Refusing {
        /// The time in its `Retry-After`, or zero.
        requested: Duration,
    },
    /// The endpoint closes the connection. This announces its shutdown unless it always does so.
    Closing,
}
