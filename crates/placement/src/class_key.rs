//! The key of a class of a team.

use serde::{
    Deserialize,
    Serialize, //
};

/// The key of a class in a [`crate::WorkerPool`]'s company lists and the models.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClassKey(pub u16);
