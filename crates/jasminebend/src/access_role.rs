//! What an operator may do.

use derive_more::Display;
use serde::Deserialize;

/// What an operator may do; a later role includes the earlier ones.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd)]
#[serde(rename_all = "lowercase")]
pub enum AccessRole {
    /// Look at everything.
    #[display("read")]
    Read,
    /// Change everything.
    #[display("operate")]
    Operate,
}
