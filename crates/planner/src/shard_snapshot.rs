//! Writes snapshots of a shard's ledger and learned model.

use std::time::Duration;

use bytes::Bytes;
use jasminebend_ports::{
    ObjectError,
    ObjectKey, //
};
use spdlog::warn;

use crate::{
    record_codec,
    row_keys,
    shard_state::ShardState, //
};

/// Longest time between two snapshots while the log grows. A snapshot also contains the learned
/// model, which a successor would have to learn again.
pub(crate) const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(300);
/// A snapshot is postponed while more than this many entries would have to be committed with it.
const MAX_ENTRIES_WITH_SNAPSHOT: usize = 256;

impl ShardState {
    /// Returns whether enough log rows or time have passed for a new snapshot.
    pub(crate) fn snapshot_is_due(&self, now: Duration) -> bool {
        let Some(writer) = &self.writer else {
            return false;
        };
        let rows = writer.rows_since_snapshot();
        let full = rows >= self.settings.rows_per_snapshot;
        let old = rows > 0 && now >= self.next_snapshot;
        writer.in_flight.is_none()
            && writer.pending_entries() <= MAX_ENTRIES_WITH_SNAPSHOT
            && (full || old)
    }

    /// Encodes the ledger and the learned model and starts writing them.
    pub(crate) fn take_snapshot(&mut self, now: Duration) {
        let Some(writer) = &self.writer else { return };
        let permit = &self.calls.permit;
        let key = row_keys::snapshot_object(permit.shard, permit.epoch.0, writer.next_sequence());
        let entries = writer.pending_entries();
        let learned = record_codec::encode(&self.learned).unwrap_or_default();
        match record_codec::encode(&(&self.ledger, learned)) {
            Ok(body) => {
                self.snapshotting = true;
                self.next_snapshot = now + SNAPSHOT_INTERVAL;
                self.calls.store_snapshot(key, entries, Bytes::from(body));
            }
            Err(error) => self.fault(error.into()),
        }
    }

    /// Names a written snapshot in the next commit. A snapshot whose write failed is not named: the
    /// log continues, and the next snapshot has another key.
    pub(crate) fn on_snapshot_stored(
        &mut self,
        key: ObjectKey,
        entries: usize,
        result: Result<(), ObjectError>,
    ) {
        self.snapshotting = false;
        let Some(writer) = &mut self.writer else {
            return;
        };
        match result {
            Ok(()) => {
                let old = self.snapshot_key.replace(key.as_str().to_owned());
                writer.set_snapshot(key, entries, old);
            }
            Err(error) => {
                warn!("[planner] A snapshot could not be stored: {}.", error);
                writer.postpone_snapshot();
            }
        }
    }
}
