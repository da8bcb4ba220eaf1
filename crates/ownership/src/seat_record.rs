//! One seat of the members' row.

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

/// One seat of the members' row.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SeatRecord {
    /// Grows with each change of the seat, also with those that were announced only.
    pub epoch: u64,
    /// Who sits there.
    pub holder: Option<SeatHolder>,
    /// The change under way.
    pub intent: Option<SeatIntent>,
    /// Those who lost the seat and are not known to be gone.
    pub former: Vec<FormerHolder>,
}

impl SeatRecord {
    /// Returns the highest epoch that the record names, announced or in force.
    pub fn newest_epoch(&self) -> u64 {
        let announced = self.intent.as_ref().map_or(0, |intent| intent.epoch);
        self.epoch.max(announced)
    }

    /// Returns the identity of who sits there.
    pub fn holder_id(&self, seat: SeatNumber) -> Option<HolderId> {
        let holder = self.holder.as_ref()?;
        Some(HolderId {
            seat,
            incarnation: holder.incarnation,
        })
    }
}
