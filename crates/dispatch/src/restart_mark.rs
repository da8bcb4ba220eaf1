//! What a successor must know about a worker that has restarted.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

/// The last known restart of a worker under its identity. Calls that the former incarnation had received may act in the present
/// one, and grant a longer lease than its owner counts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RestartMark {
    /// When the incarnation began that followed the restart, since 1970, by the worker's wall clock.
    pub incarnation: Duration,
    /// Whether such calls may yet act: some were left unanswered, and this incarnation has not answered a call with a fencing token
    /// of its own, with which it refuses them.
    pub may_act_late: bool,
}
