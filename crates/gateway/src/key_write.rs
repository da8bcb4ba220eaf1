//! [`KeyWrite`]: a write of the row of an idempotency key, and how the response of the table is
//! handled.

use std::time::Duration;

use jasminebend_ports::{
    RowChange,
    RowExpectation,
    RowKey,
    RowVersion,
    TableError,
    TableRow, //
};
use tokio::sync::oneshot;

use crate::{
    key_record::{
        KeyRecord,
        KeyState, //
        StoredResponse,
    },
    refusal::Refusal,
};

/// The approximate size in bytes of a row without a response.
const ROW_OVERHEAD_BYTES: usize = 200;

/// The outcome of a reservation.
pub(crate) enum ReserveOutcome {
    /// The key is reserved for this request; its row has this version.
    Granted(RowVersion),
    /// The request was answered before, with this response.
    Replay(StoredResponse),
    /// The request must not be run.
    Refused(Refusal),
}

/// Why a row is written.
pub(crate) enum WritePurpose {
    /// To reserve the key.
    Reserve {
        /// Receives the outcome.
        reply: oneshot::Sender<ReserveOutcome>,
        /// The deadline of the request, on the monotonic clock.
        give_up_at: Duration,
    },
    /// To record the outcome of the request.
    RecordOutcome,
}

/// A write of the row of an idempotency key.
pub(crate) struct KeyWrite {
    /// The key of the row.
    pub(crate) row: RowKey,
    /// The new content of the row.
    pub(crate) record: KeyRecord,
    /// The condition for the write.
    pub(crate) expected: RowExpectation,
    /// The purpose of the write.
    pub(crate) purpose: WritePurpose,
}

impl KeyWrite {
    /// Returns the change of the row for a transaction.
    pub(crate) fn change(&self) -> RowChange {
        // Encoding a record of plain data cannot fail.
        let value = postcard::to_allocvec(&self.record).unwrap_or_default();
        RowChange::put(self.row.clone(), self.expected, value)
    }

    /// Returns the approximate size of the write in bytes.
    pub(crate) fn encoded_size_estimate(&self) -> usize {
        match &self.record.state {
            KeyState::Answered(stored_response) => {
                ROW_OVERHEAD_BYTES + stored_response.encoded_size_estimate()
            }
            _ => ROW_OVERHEAD_BYTES,
        }
    }

    /// Handles a committed write. Returns a write that is still needed: the release of a key whose
    /// request no longer waits for it.
    pub(crate) fn on_committed(self, version: RowVersion) -> Option<Self> {
        let WritePurpose::Reserve { reply, .. } = self.purpose else {
            return None;
        };
        match reply.send(ReserveOutcome::Granted(version)) {
            Ok(()) => None,
            Err(_) => Some(Self {
                row: self.row,
                record: self.record.with_state(KeyState::NotRun),
                expected: RowExpectation::Version(version),
                purpose: WritePurpose::RecordOutcome,
            }),
        }
    }

    /// Handles a row that was not as expected. Returns the write if it must be retried.
    pub(crate) fn on_conflict(mut self, found: Option<TableRow>) -> Option<Self> {
        let Some(row) = found else {
            self.expected = RowExpectation::Absent;
            return Some(self);
        };
        let Ok(present) = postcard::from_bytes::<KeyRecord>(&row.value) else {
            return self.refuse(Refusal::KeyInUse);
        };
        if present.reservation == self.record.reservation {
            return self.on_own_row_found(&present, row.version);
        }
        self.on_other_row_found(present, row.version)
    }

    /// Handles a row that contains this reservation: an earlier write whose response was lost took
    /// effect.
    fn on_own_row_found(mut self, present: &KeyRecord, version: RowVersion) -> Option<Self> {
        if *present == self.record {
            return self.on_committed(version);
        }
        self.expected = RowExpectation::Version(version);
        Some(self)
    }

    /// Handles a row that contains the reservation of another request.
    fn on_other_row_found(mut self, present: KeyRecord, version: RowVersion) -> Option<Self> {
        if matches!(self.purpose, WritePurpose::RecordOutcome) {
            return None;
        }
        if present.state == KeyState::NotRun {
            self.expected = RowExpectation::Version(version);
            return Some(self);
        }
        if present.fingerprint != self.record.fingerprint {
            return self.refuse(Refusal::KeyMismatch);
        }
        match present.state {
            KeyState::Answered(stored_response) => {
                self.reply(ReserveOutcome::Replay(stored_response))
            }
            KeyState::AnsweredLarge => self.refuse(Refusal::KeyAnswered),
            _ => self.refuse(Refusal::KeyInUse),
        }
    }

    /// Handles an error of the table. Returns the write that must be made next, if any.
    ///
    /// A reservation with an unknown outcome is written again with the same reservation number: the
    /// lost write, if it arrives late, and this one exclude each other, and the number identifies
    /// the row as its own. When the deadline of its request has passed, the key is released in the
    /// same way, so that a repetition is not refused because of a request that never ran.
    pub(crate) fn on_error(mut self, error: TableError, now: Duration) -> Option<Self> {
        let surely_not_run = error.certainly_had_no_effect();
        let WritePurpose::Reserve { reply, give_up_at } = self.purpose else {
            if error == TableError::TooLarge {
                self.record.state = self.record.state.without_response();
            }
            return Some(self);
        };
        if !surely_not_run && now < give_up_at && !reply.is_closed() {
            let purpose = WritePurpose::Reserve { reply, give_up_at };
            return Some(Self { purpose, ..self });
        }
        // Best effort: the caller may have disconnected.
        reply
            .send(ReserveOutcome::Refused(Refusal::KeyUnreserved))
            .ok();
        (!surely_not_run).then(|| Self {
            row: self.row,
            record: self.record.with_state(KeyState::NotRun),
            expected: self.expected,
            purpose: WritePurpose::RecordOutcome,
        })
    }

    fn refuse(self, refusal: Refusal) -> Option<Self> {
        self.reply(ReserveOutcome::Refused(refusal))
    }

    fn reply(self, outcome: ReserveOutcome) -> Option<Self> {
        if let WritePurpose::Reserve { reply, .. } = self.purpose {
            // Best effort: the caller may have disconnected.
            reply.send(outcome).ok();
        }
        None
    }
}
