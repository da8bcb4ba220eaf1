//! Why the demonstration failed.

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

/// Why the demonstration failed.
#[derive(Debug, Display, Error, From)]
pub enum DemoError {
    /// A stand-in could not listen.
    #[display("a stand-in cannot listen on loopback: {_0}")]
    Socket(io::Error),
    /// A daemon did not start.
    #[display("a daemon did not start: {_0}")]
    Daemon(DaemonError),
    /// The histogram of latencies could not be made.
    #[display("{_0}")]
    Histogram(CreationError),
    /// The daemons did not become ready.
    #[display("no daemon became ready in time")]
    #[from(skip)]
    NotReady,
    /// A caller or the submitter ended early, so that its counts are not whole.
    #[display("a part of the demonstration ended early: {_0}")]
    EndedEarly(JoinError),
    /// The log could not be set up.
    #[display("{_0}")]
    Log(LogError),
    /// An operator's request was not carried out.
    #[display("{_0}")]
    Operator(OperatorFault),
    /// Something that must be zero was not, or a request or job is unaccounted for.
    #[display("{count} of the counts that must be zero are not; see the table")]
    #[from(skip)]
    Violated {
        /// How many counts.
        count: usize,
    },
}

/// An operator's request that was not carried out.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("`{request}` was answered with {status}: {answer}")]
pub struct OperatorFault {
    /// The request.
    pub request: String,
    /// The answer's status code; zero if none came.
    pub status: u16,
    /// The answer's body.
    pub answer: String,
}
