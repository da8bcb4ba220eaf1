//! Whether operators let a failure domain take work.

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};

/// Whether operators let a failure domain take work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum DomainState {
    /// New work may start there.
    #[default]
    #[display("in")]
    In,
    /// No new work starts there, and what runs there leaves.
    #[display("out")]
    Out,
}
