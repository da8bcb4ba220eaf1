//! Where a job stands.

use derive_more::Display;
use jasminebend_placement::{
    HoldReason,
    WaitReason, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Where a job stands.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobPhase {
    /// Some of its tasks wait.
    #[display("waiting: {reason}")]
    Waiting {
        /// Why.
        reason: WaitReason,
    },
    /// All that is left of it runs.
    #[display("running")]
    Running,
    /// It is held.
    #[display("held: {reason}")]
    Held {
        /// Why.
        reason: HoldReason,
    },
    /// It was given up, and some of its tasks still have to stop.
    #[display("cancelling")]
    Cancelling,
    /// It was given up, and nothing of it runs.
    #[display("cancelled")]
    Cancelled,
    /// All its tasks finished.
    #[display("finished")]
    Finished,
}
