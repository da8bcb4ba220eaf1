//! The demonstration: everything in one process, on loopback.

use derive_more::{
    Display,
    Error, //
};

use crate::DemoOptions;

/// Why the demonstration failed.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum DemoError {
    /// The demonstration is not part of this build.
    #[display("the demonstration is not built yet")]
    NotBuilt,
}

/// Runs the demonstration.
///
/// # Errors
///
/// Any [`DemoError`].
pub async fn run(_options: DemoOptions) -> Result<(), DemoError> {
    Err(DemoError::NotBuilt)
}
