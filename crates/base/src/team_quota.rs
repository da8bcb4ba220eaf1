//! What a team's batch jobs may hold at once.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ResourceAmount,
    TeamName, //
};

/// What a team's batch jobs may hold at once.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TeamQuota {
    /// The team's name; unique in the configuration.
    pub name: TeamName,
    /// The most that its running batch tasks may hold together.
    pub limit: ResourceAmount,
}
