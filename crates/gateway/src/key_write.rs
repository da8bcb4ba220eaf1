//! One write of an idempotency key's row, and what the table's answer means for it.

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

/// About what a row takes without an answer.
const ROW_OVERHEAD_BYTES: usize = 200;

/// What became of a reservation.
pub(crate) enum ReserveOutcome {
    /// The key is this request's; its row has this version.
    Granted(RowVersion),
    /// The request was answered before.
    Replay(StoredResponse),
    /// The request is not to be run.
    Refused(Refusal),
}

/// Why a row is written.
pub(crate) enum WritePurpose {
    /// To reserve the key.
    Reserve {
        /// Where the outcome goes.
        reply: oneshot::Sender<ReserveOutcome>,
        /// When the request is given up.
        give_up_at: Duration,
    },
    /// To keep what became of the request.
    RecordOutcome,
}

/// One write of an idempotency key's row.
pub(crate) struct KeyWrite {
    /// The row.
    pub(crate) row: RowKey,
    /// What it is to hold.
    pub(crate) record: KeyRecord,
    /// What must hold beforehand.
    pub(crate) expected: RowExpectation,
    /// Why it is written.
    pub(crate) purpose: WritePurpose,
}

impl KeyWrite {
    /// Returns the write as a part of a transaction.
    pub(crate) fn change(&self) -> RowChange {
        // A record of plain data always encodes.
        let value = postcard::to_allocvec(&self.record).unwrap_or_default();
        RowChange::put(self.row.clone(), self.expected, value)
    }

    /// Returns about how many bytes the write takes.
    pub(crate) fn encoded_size_estimate(&self) -> usize {
        match &self.record.state {
            KeyState::Answered(answer) => ROW_OVERHEAD_BYTES + answer.encoded_size_estimate(),
            _ => ROW_OVERHEAD_BYTES,
        }
    }

    /// Takes in that the write took effect. What comes back is still to be written: the release of
    /// a key whose request is gone.
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

    /// Takes in that the row was not as expected. What comes back is to be written again.
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

    /// The row holds this reservation: an earlier write whose answer was lost took effect.
    fn on_own_row_found(mut self, present: &KeyRecord, version: RowVersion) -> Option<Self> {
        if *present == self.record {
            return self.on_committed(version);
        }
        self.expected = RowExpectation::Version(version);
        Some(self)
    }

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
            KeyState::Answered(answer) => self.reply(ReserveOutcome::Replay(answer)),
            KeyState::AnsweredLarge => self.refuse(Refusal::KeyAnswered),
            _ => self.refuse(Refusal::KeyInUse),
        }
    }

    /// Takes in that the table gave no answer. What comes back is to be written again.
    ///
    /// A reservation whose fate is unknown is written again under the same reservation number: the
    /// lost write, should it arrive late, and this one exclude each other, and the number tells
    /// that the row found is its own. When its request's time is over the key is released in the
    /// same way, so that a repetition is not refused for a request that never ran.
    pub(crate) fn on_error(mut self, error: TableError, now: Duration) -> Option<Self> {
        let surely_not_run = error.surely_not_run();
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
        // A caller that left needs no answer.
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
            // A caller that left needs no answer.
            reply.send(outcome).ok();
        }
        None
    }
}
