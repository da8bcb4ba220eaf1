//! How a shard's actor writes its ledger whole.

use std::time::Duration;

use bytes::Bytes;
use jasminebend_ports::{
    ObjectError,
    ObjectKey, //
};
use spdlog::warn;

use crate::{
    record_codec,
    row_names,
    shard_state::ShardState, //
};

/// A snapshot also holds what was learned, which a successor would have to learn again.
pub(crate) const SNAPSHOT_EVERY: Duration = Duration::from_secs(300);
/// A snapshot waits until no more than this many entries have to be committed with it.
const MOST_WITH_SNAPSHOT: usize = 256;

impl ShardState {
    pub(crate) fn snapshot_is_due(&self, now: Duration) -> bool {
        let Some(writer) = &self.writer else {
            return false;
        };
        let rows = writer.rows_since_snapshot();
        let full = rows >= self.settings.rows_per_snapshot;
        let old = rows > 0 && now >= self.next_snapshot;
        writer.in_flight.is_none() && writer.waiting() <= MOST_WITH_SNAPSHOT && (full || old)
    }

    pub(crate) fn take_snapshot(&mut self, now: Duration) {
        let Some(writer) = &self.writer else { return };
        let permit = &self.calls.permit;
        let key = row_names::snapshot(permit.shard, permit.epoch.0, writer.next_sequence());
        let entries = writer.waiting();
        let learned = record_codec::encode(&self.learned).unwrap_or_default();
        match record_codec::encode(&(&self.ledger, learned)) {
            Ok(body) => {
                self.snapshotting = true;
                self.next_snapshot = now + SNAPSHOT_EVERY;
                self.calls.keep_snapshot(key, entries, Bytes::from(body));
            }
            Err(error) => self.fault(error.into()),
        }
    }

    /// A snapshot that may not have been written is not named; the log goes on, and the next one has
    /// another key.
    pub(crate) fn on_snapshot(
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
                warn!("[planner] A snapshot was not kept: {}.", error);
                writer.put_snapshot_off();
            }
        }
    }
}
