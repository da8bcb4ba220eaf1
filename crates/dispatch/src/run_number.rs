//! The number of a run of a task.

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};

/// The numbers that each owner has for its runs. A fleet of 2,600 workers starts 770 tasks a second,
/// so that they last an owner for 15 days; a number may jump.
const RUNS_OF_AN_OWNER: u64 = 1_000_000_000;

/// The number of a run of a task. A later owner's numbers are all higher than an earlier one's, so
/// that no row has to be written for them.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct RunNumber(u64);

impl RunNumber {
    /// Creates the number with this value.
    pub fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the `count`th number of the owner with this fencing token.
    pub fn of_owner(token: u64, count: u64) -> Self {
        Self(token * RUNS_OF_AN_OWNER + count)
    }

    /// Tells whether it is a number of the owner with this fencing token.
    pub(crate) fn is_of_owner(self, token: u64) -> bool {
        self.0 / RUNS_OF_AN_OWNER == token
    }

    /// Returns its value.
    pub fn value(self) -> u64 {
        self.0
    }
}
