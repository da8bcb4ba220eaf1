//! The key of a class of a team.

/// The key of a class in a [`crate::WorkerPool`]'s company lists and the models.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClassKey(pub u16);
