//! The name of a team, which owns batch jobs and has a quota.

use crate::text_name;

text_name!(
    /// The name of a team, which owns batch jobs and has a quota.
    TeamName
);
