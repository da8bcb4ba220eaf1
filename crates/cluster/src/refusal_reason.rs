//! Why a change of the configuration was not accepted.

use derive_more::{
    Display,
    Error, //
};
use jasminebend_base::{
    ConfigurationError,
    ConfigurationVersion,
    DomainName, //
};

/// Why a change of the configuration was not accepted; nothing of it is in force.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum RefusalReason {
    /// The document has a fault.
    #[display("{_0}")]
    Invalid(#[error(source)] ConfigurationError),
    /// Somebody else changed the configuration first.
    #[display("the configuration is at version {current}, not {expected}; read it and try again")]
    Superseded {
        /// The version that the operator had read.
        expected: ConfigurationVersion,
        /// The version now in force.
        current: ConfigurationVersion,
    },
    /// No failure domain of this name is declared.
    #[display("no failure domain `{domain}` is declared")]
    UnknownDomain {
        /// The name given.
        domain: DomainName,
    },
    /// This daemon does not know the newest configuration, or cannot reach the table.
    #[display(
        "this daemon cannot reach the table service, or does not know the newest configuration; try another one"
    )]
    NotCurrent,
    /// Too few members can be told.
    #[display("not more than half of the members can be told from here; try another daemon")]
    TooFewMembers,
    /// Too many changes wait here.
    #[display("too many changes wait at this daemon; try again")]
    Busy,
    /// The document does not fit into a message between daemons.
    #[display("the configuration is larger than {limit} bytes")]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// The daemon is stopping.
    #[display("this daemon is stopping; try another one")]
    Stopping,
}
