//! Replaces an owner that reads its records and gets no further.

use std::{
    rc::Rc,
    time::Duration, //
};

use crate::{
    shared_state::SharedState,
    takeover_reader::TakeoverReader, //
};

/// The pause after a failed attempt to read the records of an owner that reads them too: all other daemons may try it.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// The attempt to replace an owner that reads its records and gets no further: this daemon reads them first. Where no daemon can
/// read them, the owner is left to read on when they are back.
#[derive(Default)]
pub(crate) struct OwnershipChallenge {
    reader: Option<TakeoverReader>,
    has_read: bool,
    /// Before this time the records are not read again.
    retry_at: Duration,
}

impl OwnershipChallenge {
    /// Returns the reader with which to claim the ownership now, or `None` if the claim has to wait: for the records, and
    /// then for another look at the owner, which may act by now.
    pub(crate) async fn reader_for_claim(
        &mut self,
        shared: &Rc<SharedState>,
    ) -> Option<TakeoverReader> {
        if !shared.succession.borrow().must_read_before_claim() {
            // The owner may have begun to act, and started jobs that were not read, before it ended.
            *self = Self::default();
            return Some(TakeoverReader::new(shared));
        }
        if !self.has_read {
            self.read(shared).await;
            return None;
        }
        self.has_read = false;
        self.reader.take()
    }

    async fn read(&mut self, shared: &Rc<SharedState>) {
        if shared.now() < self.retry_at {
            return;
        }
        let reader = self
            .reader
            .get_or_insert_with(|| TakeoverReader::new(shared));
        self.has_read = reader.read(shared).await.is_ok();
        self.retry_at = shared.now() + RETRY_PAUSE;
    }
}
