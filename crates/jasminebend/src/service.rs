//! Runs one daemon until a signal.

use crate::{
    AccessKeys,
    DaemonError,
    DaemonSettings, //
};

/// Reads the certificate and the tokens that the settings name, as a start would.
pub(crate) fn check_keys(settings: &DaemonSettings) -> Result<(), DaemonError> {
    AccessKeys::load(settings)?;
    Ok(())
}

pub(crate) async fn run(_settings: DaemonSettings) -> Result<(), DaemonError> {
    Ok(())
}
