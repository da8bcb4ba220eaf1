//! Why an operator's request was not carried out.

use derive_more::{
    Display,
    Error, //
};
use jasminebend_base::ConfigurationVersion;

/// Why an operator's request was not carried out.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum ControlError {
    /// The request does not say something that could be done.
    #[display("the request does not fit: {reason}")]
    Malformed {
        /// What is wrong.
        reason: String,
    },
    /// The configuration was changed in between; nothing was changed by this request.
    #[display("the configuration is at version {found} by now; read it and try again")]
    Stale {
        /// The version in force.
        found: ConfigurationVersion,
    },
    /// A rule speaks against it; nothing was changed.
    #[display("{reason}")]
    Refused {
        /// The rule.
        reason: String,
    },
    /// There is no such thing; nothing was changed.
    #[display("there is no {kind} `{name}`")]
    NotFound {
        /// What was looked for.
        kind: &'static str,
        /// Its name.
        name: String,
    },
    /// The daemon cannot do it now; nothing was changed.
    #[display("{reason}; nothing was changed")]
    Unavailable {
        /// What is missing.
        reason: String,
    },
    /// The outcome is not known.
    #[display("the outcome is not known: {find_out}")]
    Unknown {
        /// How to find out.
        find_out: String,
    },
}
