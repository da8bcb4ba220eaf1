//! [`KeyStore`]: reserves idempotency keys and records the outcomes of their requests.

use std::{
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::Duration,
};

use jasminebend_ports::{
    ClockSource,
    RowExpectation,
    RowKey,
    RowVersion,
    TableService, //
};
use ractor::{
    Actor,
    ActorRef,
    ActorStatus,
    rpc::CallResult, //
};
use rand::{
    RngExt,
    rngs::StdRng, //
};
use spdlog::{
    error,
    warn, //
};
use tokio::{
    sync::{
        oneshot,
        watch, //
    },
    time::timeout,
};

use crate::{
    hour_counter::HourCounter,
    key_record::{
        KeyRecord,
        KeyState, //
        StoredResponse,
    },
    key_write::{
        KeyWrite,
        ReserveOutcome, //
        WritePurpose,
    },
    key_writer::{
        KeyWriter,
        WriterMessage,
        WriterState, //
    },
    refusal::Refusal,
};

/// How long writing the pending outcomes may take when the gateway drains.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// Reserves idempotency keys and records the outcomes of their requests.
pub(crate) struct KeyStore {
    /// The table with the rows of the keys.
    pub(crate) table: Arc<dyn TableService>,
    /// The clock by which all deadlines are computed.
    pub(crate) clock: Arc<dyn ClockSource>,
    /// The hours by which the retention of keys is measured.
    pub(crate) hour_counter: HourCounter,
    retention: Duration,
    running_requests: Arc<watch::Sender<usize>>,
    writer: Mutex<Option<ActorRef<WriterMessage>>>,
    rng: Mutex<StdRng>,
}

/// How to process a request with a key.
pub(crate) enum KeyDecision {
    /// Run the request: the key is reserved for it.
    Run(KeyReservation),
    /// Return the stored response of the earlier request.
    Replay(StoredResponse),
}

/// A key that is reserved for a request. Dropping it records the outcome as unknown, so that no
/// code path frees a key whose request may have run.
pub(crate) struct KeyReservation {
    writer: ActorRef<WriterMessage>,
    row: RowKey,
    record: KeyRecord,
    version: RowVersion,
    outcome_recorded: bool,
    running_requests: Arc<watch::Sender<usize>>,
}

impl KeyStore {
    /// Creates a store over the table.
    ///
    /// Reservation numbers are drawn from the entropy of the machine and not from the seed of the
    /// daemon: two daemons with the same seed would mistake the reservations of each other for
    /// their own, and both would run the request.
    pub(crate) fn new(
        table: Arc<dyn TableService>,
        clock: Arc<dyn ClockSource>,
        retention: Duration,
    ) -> Self {
        let hour_counter = HourCounter::new(Arc::clone(&table), Arc::clone(&clock));
        Self {
            hour_counter,
            table,
            clock,
            retention,
            running_requests: Arc::new(watch::Sender::new(0)),
            writer: Mutex::new(None),
            rng: Mutex::new(rand::make_rng()),
        }
    }

    /// Reserves a key for a request, or returns why the request must not be run.
    pub(crate) async fn reserve(
        &self,
        row: RowKey,
        fingerprint: [u8; 16],
        give_up_at: Duration,
    ) -> Result<KeyDecision, Refusal> {
        let writer = self.writer().await?;
        let record = KeyRecord {
            fingerprint,
            reservation: self.new_reservation_id(),
            expiry_hour: self.expiry_hour(give_up_at).await?,
            state: KeyState::Reserved,
        };
        let (reply, outcome) = oneshot::channel();
        let write = KeyWrite {
            row: row.clone(),
            record: record.clone(),
            expected: RowExpectation::Absent,
            purpose: WritePurpose::Reserve { reply, give_up_at },
        };
        writer
            .cast(WriterMessage::Write(write))
            .map_err(|_| Refusal::KeyUnreserved)?;
        let remaining = give_up_at.saturating_sub(self.clock.monotonic());
        let outcome = timeout(remaining, outcome)
            .await
            .map_err(|_| Refusal::KeyUnreserved)?
            .map_err(|_| Refusal::KeyUnreserved)?;
        match outcome {
            ReserveOutcome::Refused(refusal) => Err(refusal),
            ReserveOutcome::Replay(stored_response) => Ok(KeyDecision::Replay(stored_response)),
            ReserveOutcome::Granted(version) => {
                self.running_requests.send_modify(|count| *count += 1);
                Ok(KeyDecision::Run(KeyReservation {
                    writer,
                    row,
                    record,
                    version,
                    outcome_recorded: false,
                    running_requests: Arc::clone(&self.running_requests),
                }))
            }
        }
    }

    /// Waits until every request with a key is complete, even if its caller disconnected, and until
    /// the known outcomes are written. Both waits are limited, because the table may be
    /// unavailable.
    pub(crate) async fn flush(&self, longest_request: Duration) {
        let mut running_requests = self.running_requests.subscribe();
        let all_complete = running_requests.wait_for(|count| *count == 0);
        if timeout(longest_request, all_complete).await.is_err() {
            warn!("[gateway] Requests with idempotency keys are still running at the end.");
        }
        let Some(writer) = self.live_writer() else {
            return;
        };
        let flush_result = writer.call(WriterMessage::Flush, Some(FLUSH_TIMEOUT)).await;
        if !matches!(flush_result, Ok(CallResult::Success(()))) {
            error!("[gateway] Some requests' outcomes were not kept before the end.");
        }
    }

    /// Stops the writer.
    pub(crate) fn stop_writer(&self) {
        if let Some(writer) = self.live_writer() {
            writer.stop(None);
        }
    }

    /// Returns the writer, which is started on first use and after it stopped early. Keys whose
    /// outcomes it had not written stay reserved, and so their requests never run twice.
    async fn writer(&self) -> Result<ActorRef<WriterMessage>, Refusal> {
        if let Some(writer) = self.live_writer() {
            return Ok(writer);
        }
        let state = WriterState::new(Arc::clone(&self.table), Arc::clone(&self.clock));
        let spawned = Actor::spawn(None, KeyWriter, state).await;
        let (writer, _) = spawned.map_err(|_| Refusal::KeyUnreserved)?;
        let mut current = self.writer.lock().unwrap_or_else(PoisonError::into_inner);
        // Two tasks may have started a writer concurrently: the first one is kept.
        match current.as_ref().filter(|current| is_live(current)) {
            Some(first) => {
                writer.stop(None);
                Ok(first.clone())
            }
            None => {
                *current = Some(writer.clone());
                Ok(writer)
            }
        }
    }

    async fn expiry_hour(&self, give_up_at: Duration) -> Result<u64, Refusal> {
        let remaining = give_up_at.saturating_sub(self.clock.monotonic());
        timeout(remaining, self.hour_counter.expiry_hour_for(self.retention))
            .await
            .map_err(|_| Refusal::KeyUnreserved)?
            .map_err(|_| Refusal::KeyUnreserved)
    }

    /// Returns the writer if it is running.
    fn live_writer(&self) -> Option<ActorRef<WriterMessage>> {
        let writer = self.writer.lock().unwrap_or_else(PoisonError::into_inner);
        writer.as_ref().filter(|writer| is_live(writer)).cloned()
    }

    fn new_reservation_id(&self) -> u64 {
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        rng.random()
    }
}

fn is_live(writer: &ActorRef<WriterMessage>) -> bool {
    writer.get_status() <= ActorStatus::Running
}

impl KeyReservation {
    /// Records the outcome of the request.
    pub(crate) fn complete(mut self, state: KeyState) {
        self.write(state);
    }

    fn write(&mut self, state: KeyState) {
        self.outcome_recorded = true;
        let write = KeyWrite {
            row: self.row.clone(),
            record: self.record.clone().with_state(state),
            expected: RowExpectation::Version(self.version),
            purpose: WritePurpose::RecordOutcome,
        };
        // Without a writer the key stays reserved, and so its request never runs twice.
        self.writer.cast(WriterMessage::Write(write)).ok();
    }
}

impl Drop for KeyReservation {
    fn drop(&mut self) {
        if !self.outcome_recorded {
            self.write(KeyState::Unknown);
        }
        self.running_requests.send_modify(|count| *count -= 1);
    }
}
