//! Errors of the demonstration.

use std::io;

use derive_more::{
    Display,
    Error,
    From, //
};
use hdrhistogram::CreationError;
use tokio::task::JoinError;

use crate::{
    DaemonError,
    LogError, //
};

/// Error of the demonstration.
#[derive(Debug, Display, Error, From)]
pub enum DemoError {
    /// A stand-in's listener could not be bound.
    #[display("a stand-in cannot listen on loopback: {_0}")]
    Socket(io::Error),
    /// A daemon did not start.
    #[display("a daemon did not start: {_0}")]
    Daemon(DaemonError),
    /// A latency histogram could not be created.
    #[display("{_0}")]
    Histogram(CreationError),
    /// The daemons did not become ready in time.
    #[display("no daemon became ready in time")]
    #[from(skip)]
    NotReady,
    /// A task that sends requests or jobs failed, so its counts are incomplete.
    #[display("a part of the demonstration ended early: {_0}")]
    TaskFailed(JoinError),
    /// The log could not be set up.
    #[display("{_0}")]
    Log(LogError),
    /// An operator's request failed.
    #[display("{_0}")]
    Operator(OperatorRequestError),
    /// A count that must be zero was not, or a request or job is unaccounted for.
    #[display("{count} of the counts that must be zero are not; see the table")]
    #[from(skip)]
    Violated {
        /// The number of violated counts.
        count: usize,
    },
}

/// Error of an operator's request in the demonstration.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("`{request}` was answered with {status}: {answer}")]
pub struct OperatorRequestError {
    /// The method and path of the request.
    pub request: String,
    /// The HTTP status of the response; zero if there was none.
    pub status: u16,
    /// The body of the response.
    pub answer: String,
}
