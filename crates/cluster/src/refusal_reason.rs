//! The reasons why a change of the configuration is not accepted.

use derive_more::{
    Display,
    Error, //
};
use jasminebend_base::{
    ConfigurationError,
    ConfigurationVersion,
    DomainName, //
};

/// The reason why a change of the configuration was not accepted. No part of the change is in force.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum RefusalReason {
    /// The document is invalid.
    #[display("{_0}")]
    Invalid(#[error(source)] ConfigurationError),
    /// Another change has replaced the version on which this one was based.
    #[display("the configuration is at version {current}, not {expected}; read it and try again")]
    Superseded {
        /// The version that the operator had read.
        expected: ConfigurationVersion,
        /// The version in force.
        current: ConfigurationVersion,
    },
    /// The configuration declares no failure domain of this name.
    #[display("no failure domain `{domain}` is declared")]
    UnknownDomain {
        /// The name in the change.
        domain: DomainName,
    },
    /// This daemon does not know the newest configuration, may not start work, or could not announce the
    /// change in the table.
    #[display(
        "this daemon cannot reach the table service, or does not know the newest configuration; try another one"
    )]
    NotCurrent,
    /// Not more than half of the members can be notified of the change.
    #[display("not more than half of the members can be told from here; try another daemon")]
    NoMajority,
    /// The queue of proposed changes is full.
    #[display("too many changes wait at this daemon; try again")]
    QueueFull,
    /// The document does not fit into a frame between daemons.
    #[display("the configuration is larger than {limit} bytes")]
    TooLarge {
        /// The maximum size in bytes.
        limit: usize,
    },
    /// The daemon is stopping.
    #[display("this daemon is stopping; try another one")]
    Stopping,
}
