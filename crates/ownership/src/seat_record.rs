//! One seat in the members' row.

use jasminebend_base::SeatNumber;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    FormerHolder,
    HolderId,
    SeatHolder,
    SeatIntent, //
};

/// One seat in the members' row. Seats are the fixed places of a cluster's members, and majorities
/// are counted over all of them, empty ones included.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SeatRecord {
    /// The epoch of the seat. It increases with each change of the seat, and skips the epochs of
    /// changes that were announced and not committed.
    pub epoch: u64,
    /// The process that holds the seat; `None` if the seat is empty.
    pub holder: Option<SeatHolder>,
    /// The announced change that is not yet committed; `None` if there is none.
    pub intent: Option<SeatIntent>,
    /// The processes that lost the seat and are not known to have terminated.
    pub former: Vec<FormerHolder>,
}

impl SeatRecord {
    /// Returns the highest epoch in the record, announced or in force.
    pub fn newest_epoch(&self) -> u64 {
        let announced = self.intent.as_ref().map_or(0, |intent| intent.epoch);
        self.epoch.max(announced)
    }

    /// Returns the identity of the seat's holder; `None` if the seat is empty.
    pub fn holder_id(&self, seat: SeatNumber) -> Option<HolderId> {
        let holder = self.holder.as_ref()?;
        Some(HolderId {
            seat,
            incarnation: holder.incarnation,
        })
    }
}
