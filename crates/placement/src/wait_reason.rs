//! Why a task waits.

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};

/// Why a task waits. The displayed text also says what ends the wait.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WaitReason {
    /// The task was not considered for placement yet.
    #[display("it was submitted just now; it is considered for placement within a second")]
    New,
    /// No worker has enough free capacity.
    #[display(
        "no worker has enough free capacity; it starts when running tasks end or workers are added"
    )]
    NoRoom,
    /// The workers with enough free capacity run services that the task would slow beyond their
    /// target.
    #[display(
        "the workers with enough free capacity run services that it would slow beyond their target; it starts when other workers have enough free capacity or its latest start is near"
    )]
    Interference,
    /// The team's running tasks use up its quota.
    #[display(
        "the team's quota is used up; it starts when the team's tasks end or its quota grows"
    )]
    Quota,
    /// Only failure domains that are out, or that fill slowly after their return, have enough free
    /// capacity.
    #[display(
        "the failure domains with enough free capacity are out or filling up after their return; it starts when they have filled up"
    )]
    Domain,
    /// A new planner is taking over the shard.
    #[display(
        "a new planner is taking over its shard; it starts when the shard's workers have answered"
    )]
    TakeOver,
    /// The table service does not respond.
    #[display("the table service does not respond; it starts when a run can be committed")]
    Table,
}
