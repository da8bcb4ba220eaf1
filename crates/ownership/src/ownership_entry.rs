//! The holder of one resource.

use jasminebend_base::OwnerEpoch;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::HolderId;

/// The holder of one resource.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnershipEntry {
    /// The process that holds the resource, which alone may give it away while it holds its seat;
    /// `None` if the resource has no holder.
    pub holder: Option<HolderId>,
    /// The epoch of the resource, which increases with each change of the holder.
    pub epoch: OwnerEpoch,
    /// Whether the resource was taken over without a release by its former holder, so that requests
    /// of the former holder may still run.
    pub forced: bool,
}
