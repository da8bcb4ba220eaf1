//! Roles of operators.

use derive_more::Display;
use serde::Deserialize;

/// The role of an operator; a later role includes the earlier ones.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd)]
#[serde(rename_all = "lowercase")]
pub enum AccessRole {
    /// May read everything.
    #[display("read")]
    Read,
    /// May also change everything.
    #[display("operate")]
    Operate,
}
