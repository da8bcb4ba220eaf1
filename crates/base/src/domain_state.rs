//! Whether work may run in a failure domain, as set by operators.

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};

/// Whether work may run in a failure domain, as set by operators.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum DomainState {
    /// Work may start and run in the domain.
    #[default]
    #[display("in")]
    In,
    /// No new work starts in the domain, and the work that runs there leaves it.
    #[display("out")]
    Out,
}
