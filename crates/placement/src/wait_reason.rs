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
    #[display("it was submitted just now; it is looked at within a second")]
    #[serde(rename = "new")]
    NotConsidered,
    /// No worker has enough free capacity.
    #[display("no worker has room; it starts when running tasks end or workers are added")]
    #[serde(rename = "no_room")]
    NoFreeCapacity,
    /// The workers with enough free capacity run services that the task would slow beyond their
    /// target.
    #[display(
        "the workers with room run services that it would slow beyond their target; it starts when other workers have room or its latest start comes near"
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
        "the failure domains with room are out or filling after their return; it starts when they have filled"
    )]
    #[serde(rename = "domain")]
    DomainUnavailable,
    /// A new planner is taking over the shard.
    #[display("its shard is being taken over; it starts when its workers answered")]
    #[serde(rename = "take_over")]
    Takeover,
    /// The table service does not respond.
    #[display("the table service gives no answer; it starts when a run can be committed")]
    #[serde(rename = "table")]
    TableUnavailable,
}
