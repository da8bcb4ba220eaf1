//! Why a task waits.

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};

/// Why a task waits, and what would change it.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WaitReason {
    /// It was not looked at yet.
    #[display("it was submitted just now; it is looked at within a second")]
    New,
    /// No worker has room.
    #[display("no worker has room; it starts when running tasks end or workers are added")]
    NoRoom,
    /// Room there is, but beside services that it would slow beyond their target.
    #[display(
        "the workers with room run services that it would slow beyond their target; it starts when other workers have room or its latest start comes near"
    )]
    Interference,
    /// The team's running tasks are at its quota.
    #[display(
        "the team's quota is used up; it starts when the team's tasks end or its quota grows"
    )]
    Quota,
    /// Only failure domains that are out, or that fill slowly after their return, have room.
    #[display(
        "the failure domains with room are out or filling after their return; it starts when they have filled"
    )]
    Domain,
    /// The planner is taking the shard over.
    #[display("its shard is being taken over; it starts when its workers answered")]
    TakeOver,
    /// The table service is not there.
    #[display("the table service gives no answer; it starts when a run can be committed")]
    Table,
}
