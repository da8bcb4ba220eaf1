//! A failure domain, as declared in the configuration.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    DomainName,
    DomainState, //
};

/// A failure domain, as declared in the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FailureDomain {
    /// The name of the domain; unique in the configuration.
    pub name: DomainName,
    /// The region to which the domain belongs.
    pub region: String,
    /// Whether work may run in the domain.
    #[serde(default)]
    pub state: DomainState,
}
