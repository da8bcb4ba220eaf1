//! Identifier of a run of a task.

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};

/// The size of each owner's range of run numbers. A fleet of 2,600 workers starts 770 tasks a
/// second, so a range lasts an owner for 15 days. Numbers may be skipped.
const RUN_NUMBERS_PER_OWNER: u64 = 1_000_000_000;

/// Identifier of a run of a task. The numbers of a later owner are all higher than those of an
/// earlier one, so no row has to be written to allocate them.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct RunNumber(u64);

impl RunNumber {
    /// Creates a run number from its value.
    pub fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the `count`th run number of the owner with this fencing token.
    pub fn of_owner(token: u64, count: u64) -> Self {
        Self(token * RUN_NUMBERS_PER_OWNER + count)
    }

    /// Returns whether the number belongs to the owner with this fencing token.
    pub(crate) fn is_of_owner(self, token: u64) -> bool {
        self.0 / RUN_NUMBERS_PER_OWNER == token
    }

    /// Returns the number's value.
    pub fn value(self) -> u64 {
        self.0
    }
}
