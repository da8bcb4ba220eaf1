//! The name of a team, which owns batch jobs and has a quota.

use crate::name_newtype;

name_newtype!(
    /// The name of a team, which owns batch jobs and has a quota.
    TeamName
);
