//! The outcome of a proposed change that was not accepted in time.

use derive_more::{
    Display,
    Error, //
};
use jasminebend_base::ConfigurationVersion;

use crate::RefusalReason;

/// The outcome of a proposed change that was not accepted in time.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum ProposalError {
    /// The change is not in force and will not be.
    #[display("not accepted: {_0}")]
    NotAccepted(#[error(source)] RefusalReason),
    /// The change may come into force later.
    #[display(
        "unknown: version {version} may still come into force; `status` shows whether it did, and repeating the command is safe"
    )]
    Unknown {
        /// The version that the configuration has if the change comes into force.
        version: ConfigurationVersion,
    },
}
