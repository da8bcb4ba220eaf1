//! Who holds one resource.

use jasminebend_base::OwnerEpoch;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::HolderId;

/// Who holds one resource.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnershipEntry {
    /// The holder; only it gives the resource away while it sits.
    pub holder: Option<HolderId>,
    /// Grows with each change of the holder.
    pub epoch: OwnerEpoch,
    /// Whether the former holder did not give it back, so that what it began may still be running.
    pub forced: bool,
}
