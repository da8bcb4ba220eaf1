//! What became of a slot's exchange.

use std::time::Duration;

use crate::endpoint_connection::EndpointConnection;

/// What became of a slot's exchange.
pub(crate) enum ExchangeOutcome {
    /// Nothing was sent.
    NotSent {
        /// The connection that the slot had, if it may be used again.
        connection: Option<EndpointConnection>,
    },
    /// The endpoint could not be connected to.
    Unconnected,
    /// The whole answer came.
    Answered {
        /// From sending to the answer's head.
        latency: Duration,
        /// What the answer says of the endpoint.
        verdict: ResponseVerdict,
        /// The connection, if it may be used again.
        connection: Option<EndpointConnection>,
    },
    /// No answer came, but the longest request there may be is over.
    TimedOut,
    /// The endpoint may still be working on it.
    Unknown,
}

/// What an answer says of its endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ResponseVerdict {
    /// It does its work.
    Good,
    /// It answered that it failed.
    Failed,
    /// It takes no more for this long (503).
    Refusing {
        /// What its `Retry-After` asks for.
        requested: Duration,
    },
    /// It closes its connection, which announces its end if it is not its habit.
    Closing,
}
