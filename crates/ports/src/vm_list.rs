//! The port to the platform's VM list.

use async_trait::async_trait;
use jasminebend_base::VmSnapshot;

use crate::VmListError;

/// The port to the platform's VM list. The list may be stale: it may contain a terminated VM and
/// lack a live one.
#[async_trait]
pub trait VmList: Send + Sync {
    /// Reads the whole list.
    ///
    /// # Errors
    ///
    /// Any [`VmListError`].
    async fn read(&self) -> Result<VmSnapshot, VmListError>;
}
