//! The compact key of a team's class.

use serde::{
    Deserialize,
    Serialize, //
};

/// Identifies a team's class in the task counts of a [`crate::PoolWorker`] and in the learned
/// models. It is the index at which [`crate::ClassRegistry`] holds the class.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClassKey(pub u16);
