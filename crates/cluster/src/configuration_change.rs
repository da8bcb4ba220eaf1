//! A change of the configuration that an operator requests.

use jasminebend_base::{
    Configuration,
    ConfigurationVersion,
    DomainName,
    DomainState, //
};

/// A change of the configuration that an operator requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigurationChange {
    /// Replaces the whole document.
    Replace {
        /// The new document; its version is ignored.
        configuration: Configuration,
        /// The version that the operator had read, and that must still be in force; `None` replaces
        /// any version.
        expected: Option<ConfigurationVersion>,
    },
    /// Sets the state of a failure domain, regardless of the version in force.
    SetDomainState {
        /// The name of the failure domain.
        name: DomainName,
        /// The new state.
        state: DomainState,
        /// Whether the last domain that is in may be taken out.
        force: bool,
    },
}
