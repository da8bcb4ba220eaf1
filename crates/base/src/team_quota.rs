//! The quota of a team.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ResourceAmount,
    TeamName, //
};

/// The quota of a team: a limit on what its batch tasks reserve at the same time.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TeamQuota {
    /// The name of the team; unique in the configuration.
    pub name: TeamName,
    /// The maximum total of what the team's running batch tasks reserve.
    pub limit: ResourceAmount,
}
