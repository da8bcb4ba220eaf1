//! Reserves idempotency keys and keeps what became of their requests.

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

const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// Reserves idempotency keys and keeps what became of their requests.
pub(crate) struct KeyStore {
    /// The table.
    pub(crate) table: Arc<dyn TableService>,
    /// The clock.
    pub(crate) clock: Arc<dyn ClockSource>,
    /// The hours by which keys are kept.
    pub(crate) hour_counter: HourCounter,
    retention: Duration,
    running_requests: Arc<watch::Sender<usize>>,
    writer: Mutex<Option<ActorRef<WriterMessage>>>,
    rng: Mutex<StdRng>,
}

/// What a request with a key is to do.
pub(crate) enum KeyDecision {
    /// Run: the key is its own.
    Run(KeyReservation),
    /// Answer as before.
    Replay(StoredResponse),
}

/// A key that is reserved for a request. Dropping it keeps the outcome as unknown, so that no way
/// out of the code frees a key whose request may have run.
pub(crate) struct KeyReservation {
    writer: ActorRef<WriterMessage>,
    row: RowKey,
    record: KeyRecord,
    version: RowVersion,
    settled: bool,
    running_requests: Arc<watch::Sender<usize>>,
}

impl KeyStore {
    /// Creates a store over the table.
    ///
    /// Its numbers are drawn from the machine's entropy and not from the daemon's seed: two daemons
    /// that were given the same seed would take each other's reservations for their own, and both
    /// would run the request.
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

    /// Reserves a key for a request, or tells why it must not be run.
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
        let left = give_up_at.saturating_sub(self.clock.monotonic());
        let outcome = timeout(left, outcome)
            .await
            .map_err(|_| Refusal::KeyUnreserved)?
            .map_err(|_| Refusal::KeyUnreserved)?;
        match outcome {
            ReserveOutcome::Refused(refusal) => Err(refusal),
            ReserveOutcome::Replay(answer) => Ok(KeyDecision::Replay(answer)),
            ReserveOutcome::Granted(version) => {
                self.running_requests.send_modify(|count| *count += 1);
                Ok(KeyDecision::Run(KeyReservation {
                    writer,
                    row,
                    record,
                    version,
                    settled: false,
                    running_requests: Arc::clone(&self.running_requests),
                }))
            }
        }
    }

    /// Waits until every request with a key is over, its caller's presence or not, and until what is
    /// known is written, within bounds: the table may be away.
    pub(crate) async fn flush(&self, longest: Duration) {
        let mut running_requests = self.running_requests.subscribe();
        let over = running_requests.wait_for(|count| *count == 0);
        if timeout(longest, over).await.is_err() {
            warn!("[gateway] Requests with idempotency keys are still running at the end.");
        }
        let Some(writer) = self.live_writer() else {
            return;
        };
        let flushed = writer.call(WriterMessage::Flush, Some(FLUSH_TIMEOUT)).await;
        if !matches!(flushed, Ok(CallResult::Success(()))) {
            error!("[gateway] Some requests' outcomes were not kept before the end.");
        }
    }

    /// Ends the writer.
    pub(crate) fn stop_writer(&self) {
        if let Some(writer) = self.live_writer() {
            writer.stop(None);
        }
    }

    /// Returns the writer, started at the first need, and anew if it ended before its time: what it
    /// had not written stays reserved, and so is never run twice.
    async fn writer(&self) -> Result<ActorRef<WriterMessage>, Refusal> {
        if let Some(writer) = self.live_writer() {
            return Ok(writer);
        }
        let state = WriterState::new(Arc::clone(&self.table), Arc::clone(&self.clock));
        let started = Actor::spawn(None, KeyWriter, state).await;
        let (writer, _) = started.map_err(|_| Refusal::KeyUnreserved)?;
        let mut current = self.writer.lock().unwrap_or_else(PoisonError::into_inner);
        // Two may have started one at once: the first to get here stays.
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
        let left = give_up_at.saturating_sub(self.clock.monotonic());
        timeout(left, self.hour_counter.expiry_hour_for(self.retention))
            .await
            .map_err(|_| Refusal::KeyUnreserved)?
            .map_err(|_| Refusal::KeyUnreserved)
    }

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
    /// Keeps what became of the request.
    pub(crate) fn complete(mut self, state: KeyState) {
        self.write(state);
    }

    fn write(&mut self, state: KeyState) {
        self.settled = true;
        let write = KeyWrite {
            row: self.row.clone(),
            record: self.record.clone().with_state(state),
            expected: RowExpectation::Version(self.version),
            purpose: WritePurpose::RecordOutcome,
        };
        // Without a writer the key stays reserved, which never runs its request twice.
        self.writer.cast(WriterMessage::Write(write)).ok();
    }
}

impl Drop for KeyReservation {
    fn drop(&mut self) {
        if !self.settled {
            self.write(KeyState::Unknown);
        }
        self.running_requests.send_modify(|count| *count -= 1);
    }
}
