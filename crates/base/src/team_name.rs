//! The name of a team with a quota.

use crate::text_name;

text_name!(
    /// The name of a team with a quota.
    TeamName
);
