//! What an operator wants to change.

use jasminebend_base::{
    Configuration,
    ConfigurationVersion,
    DomainName,
    DomainState, //
};

/// What an operator wants to change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigurationChange {
    /// Replaces the whole document.
    Replace {
        /// The new document; its version is ignored.
        configuration: Configuration,
        /// The version that the operator had read; `None` replaces whatever is there.
        expected: Option<ConfigurationVersion>,
    },
    /// Takes a failure domain out or in, whatever the version.
    Domain {
        /// The domain.
        name: DomainName,
        /// Its new state.
        state: DomainState,
        /// Whether even the last domain may go out.
        force: bool,
    },
}
