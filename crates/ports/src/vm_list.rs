//! The port of the platform's VM list.

use async_trait::async_trait;
use jasminebend_base::VmSnapshot;

use crate::VmListError;

/// The port of the platform's VM list. The list lags: a gone VM may be listed and a live one not.
#[async_trait]
pub trait VmList: Send + Sync {
    /// Reads the whole list.
    ///
    /// # Errors
    ///
    /// Any [`VmListError`].
    async fn read(&self) -> Result<VmSnapshot, VmListError>;
}
