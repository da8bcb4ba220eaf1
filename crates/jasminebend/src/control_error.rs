//! Errors of the control port.

use derive_more::{
    Display,
    Error, //
};
use jasminebend_base::ConfigurationVersion;

/// Error that fails an operator's request.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum ControlError {
    /// The request is malformed.
    #[display("the request does not fit: {reason}")]
    Malformed {
        /// What is malformed.
        reason: String,
    },
    /// The configuration has another version than the request expected; nothing was changed.
    #[display("the configuration is at version {found} by now; read it and try again")]
    Stale {
        /// The current version.
        found: ConfigurationVersion,
    },
    /// A rule rejects the request; nothing was changed.
    #[display("{reason}")]
    Refused {
        /// The rule that was violated.
        reason: String,
    },
    /// The named object does not exist; nothing was changed.
    #[display("there is no {kind} `{name}`")]
    NotFound {
        /// The kind of object, such as `job`.
        kind: &'static str,
        /// The name of the object.
        name: String,
    },
    /// The daemon cannot carry out the request now; nothing was changed.
    #[display("{reason}; nothing was changed")]
    Unavailable {
        /// Why the daemon cannot carry it out.
        reason: String,
    },
    /// The request may or may not have taken effect.
    #[display("the outcome is not known: {find_out}")]
    Unknown {
        /// How the operator can find out.
        find_out: String,
    },
}
