//! [`KeyWriter`]: writes the rows of idempotency keys in batches.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::Duration, //
};

use indexmap::IndexSet;
use jasminebend_ports::{
    ClockSource,
    CommitOutcome,
    RowChange,
    RowExpectation,
    RowKey,
    TableError,
    TableService,
    WriteId, //
};
use ractor::{
    Actor,
    ActorProcessingErr,
    ActorRef,
    RpcReplyPort, //
};
use rand::rngs::StdRng;
use spdlog::{
    error,
    warn, //
};

use crate::{
    key_row::expiry_index_row,
    key_write::{
        KeyWrite, //
        WritePurpose,
    },
};

/// The most writes in one transaction.
const MAX_BATCH_WRITES: usize = 64;
/// The size in bytes of the values at which a transaction is full: the table may reject larger
/// ones.
const MAX_BATCH_BYTES: usize = 128 * 1024;
/// The most writes that wait. Outcomes come from requests that occupied a slot, so that an outage
/// of the table causes far fewer.
const MAX_PENDING_WRITES: usize = 4_000;
/// The pause after a failed transaction.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// A message to the [`KeyWriter`].
pub(crate) enum WriterMessage {
    /// Write a row.
    Write(KeyWrite),
    /// A transaction completed or failed.
    Finished {
        /// The writes of the transaction.
        batch: Vec<KeyWrite>,
        /// The result of the transaction.
        outcome: Result<CommitOutcome, TableError>,
    },
    /// The pause after a failed transaction has passed.
    Resume,
    /// Reply when nothing is left to be written.
    Flush(RpcReplyPort<()>),
}

/// An actor that writes the rows of idempotency keys to the table. While one transaction is in
/// progress the next batch is collected, so that a busy table gets few large transactions.
pub(crate) struct KeyWriter;

/// The state of the [`KeyWriter`].
pub(crate) struct WriterState {
    table: Arc<dyn TableService>,
    clock: Arc<dyn ClockSource>,
    rng: StdRng,
    /// The writes that are not part of a transaction yet.
    pending: VecDeque<KeyWrite>,
    /// Whether a transaction is in progress, or the pause after a failed one.
    in_flight: bool,
    /// Flush requests that have not been answered.
    flushes: Vec<RpcReplyPort<()>>,
}

impl WriterState {
    /// Creates the state of a writer with nothing to write.
    pub(crate) fn new(table: Arc<dyn TableService>, clock: Arc<dyn ClockSource>) -> Self {
        Self {
            table,
            clock,
            rng: rand::make_rng(),
            pending: VecDeque::new(),
            in_flight: false,
            flushes: Vec::new(),
        }
    }

    /// Adds a write, or gives it up if too many are waiting.
    fn enqueue(&mut self, write: KeyWrite) {
        if self.pending.len() < MAX_PENDING_WRITES {
            self.pending.push_back(write);
            return;
        }
        // The table has been unavailable for long: reservations are refused, and outcomes beyond
        // the limit are dropped, which leaves their keys reserved and so never runs their requests
        // twice.
        match write.purpose {
            WritePurpose::Reserve { .. } => {
                drop(write.on_error(TableError::Refused, Duration::MAX))
            }
            WritePurpose::RecordOutcome => error!("[gateway] Gave up keeping a request's outcome."),
        }
    }

    /// Removes the next batch from the queue, with at most one write for each row.
    fn next_batch(&mut self) -> Vec<KeyWrite> {
        let mut rows = IndexSet::new();
        let mut batch = Vec::new();
        let mut later = VecDeque::new();
        let mut bytes = 0;
        while let Some(write) = self.pending.pop_front() {
            if !rows.insert(write.row.clone()) {
                later.push_back(write);
                continue;
            }
            bytes += write.encoded_size_estimate();
            batch.push(write);
            if batch.len() >= MAX_BATCH_WRITES || bytes >= MAX_BATCH_BYTES {
                break;
            }
        }
        later.append(&mut self.pending);
        self.pending = later;
        batch
    }

    /// Starts the next transaction unless one is in progress.
    fn start_next_batch(&mut self, myself: &ActorRef<WriterMessage>) {
        if self.in_flight {
            return;
        }
        if self.pending.is_empty() {
            return self.reply_to_flushes();
        }
        self.in_flight = true;
        let batch = self.next_batch();
        let write = WriteId::new(&mut self.rng);
        let mut changes: Vec<_> = batch.iter().map(KeyWrite::change).collect();
        changes.extend(expiry_index_change(&batch, write));
        let table = Arc::clone(&self.table);
        let myself = myself.clone();
        tokio::spawn(async move {
            let outcome = table.commit(write, changes).await;
            // Best effort: the writer may have stopped.
            myself.cast(WriterMessage::Finished { batch, outcome }).ok();
        });
    }

    /// Handles the result of a transaction and starts the next one.
    fn on_batch_finished(
        &mut self,
        batch: Vec<KeyWrite>,
        outcome: Result<CommitOutcome, TableError>,
        myself: &ActorRef<WriterMessage>,
    ) {
        match outcome {
            Ok(CommitOutcome::Committed(version)) => {
                self.requeue(batch, |write| write.on_committed(version));
            }
            Ok(CommitOutcome::Conflict { key, found }) => {
                let mut found = Some(found);
                self.requeue(batch, |write| match write.row == key {
                    true => write.on_conflict(found.take().flatten()),
                    false => Some(write),
                });
            }
            Err(error) => {
                warn!("[gateway] Idempotency keys were not written: {}.", error);
                let now = self.clock.monotonic();
                self.requeue(batch, |write| write.on_error(error, now));
                myself.send_after(RETRY_DELAY, || WriterMessage::Resume);
                return;
            }
        }
        self.in_flight = false;
        self.start_next_batch(myself);
    }

    /// Puts the writes that are still needed at the front of the queue.
    fn requeue<Handle>(&mut self, batch: Vec<KeyWrite>, handle: Handle)
    where
        Handle: FnMut(KeyWrite) -> Option<KeyWrite>,
    {
        let still_needed: Vec<_> = batch.into_iter().filter_map(handle).collect();
        for write in still_needed.into_iter().rev() {
            self.pending.push_front(write);
        }
    }

    fn reply_to_flushes(&mut self) {
        for flush in self.flushes.drain(..) {
            // Best effort: the sender may have stopped waiting.
            flush.send(()).ok();
        }
    }
}

/// Returns the change that lists the new rows of a batch under their hour of expiry. It is part of
/// the same transaction, so that the rows are found later without a scan of all keys.
fn expiry_index_change(batch: &[KeyWrite], write: WriteId) -> Option<RowChange> {
    let rows: Vec<&RowKey> = batch
        .iter()
        .filter(|write| matches!(write.purpose, WritePurpose::Reserve { .. }))
        .map(|write| &write.row)
        .collect();
    let hour = batch.iter().map(|write| write.record.expiry_hour).max()?;
    if rows.is_empty() {
        return None;
    }
    let value = postcard::to_allocvec(&rows).unwrap_or_default();
    let row = expiry_index_row(hour, write);
    Some(RowChange::put(row, RowExpectation::Any, value))
}

impl Actor for KeyWriter {
    type Msg = WriterMessage;
    type State = WriterState;
    type Arguments = WriterState;

    async fn pre_start(
        &self,
        _myself: ActorRef<WriterMessage>,
        state: WriterState,
    ) -> Result<WriterState, ActorProcessingErr> {
        Ok(state)
    }

    async fn handle(
        &self,
        myself: ActorRef<WriterMessage>,
        message: WriterMessage,
        state: &mut WriterState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            WriterMessage::Write(write) => state.enqueue(write),
            WriterMessage::Finished { batch, outcome } => {
                state.on_batch_finished(batch, outcome, &myself);
            }
            WriterMessage::Resume => state.in_flight = false,
            WriterMessage::Flush(reply) => state.flushes.push(reply),
        }
        state.start_next_batch(&myself);
        Ok(())
    }
}
