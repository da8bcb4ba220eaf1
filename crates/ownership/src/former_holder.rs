//! A process that lost its seat and still holds slot shares.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::SeatHolder;

/// A process that lost its seat and is not known to be gone, so that the slot shares it held stay
/// unused. Kept so that other members can go on asking whether its process is gone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FormerHolder {
    /// The process and where it was reached.
    pub holder: SeatHolder,
}
