//! A failure domain as operators declare it.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    DomainName,
    DomainState, //
};

/// A failure domain as operators declare it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FailureDomain {
    /// The domain's name; unique in the configuration.
    pub name: DomainName,
    /// The region that it lies in.
    pub region: String,
    /// Whether it may take work.
    #[serde(default)]
    pub state: DomainState,
}
