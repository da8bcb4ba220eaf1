//! Access to the store that tracks its health and gives up calls while it is lost.

use std::{
    cell::Cell,
    future::Future,
    pin::pin,
    rc::Rc,
    time::Duration, //
};

use derive_more::Display;
use jasminebend_ports::ClockSource;
use serde::Serialize;
use tokio::{
    sync::Notify,
    time, //
};

use crate::{
    CommitOutcome,
    FleetLog,
    FleetStore,
    LogEvent,
    RowCommit,
    RowPage,
    StoreError,
    StoreHealth,
    StoreRow,
    StoreTable,
    fleet_log::whole_millis,
    part_reader::PartReader,
    shared_state::{
        OWNER_KEY,
        SHARD_PART, //
    }, //
};

/// How long calls must have failed before the store counts as lost: one lost answer is no outage.
const STORE_LOST_AFTER: Duration = Duration::from_millis(300);

/// How long a call may be left unanswered before the store is probed.
const SUSPECT_AFTER: Duration = Duration::from_millis(50);
/// How long a probe may be left unanswered before the store counts as silent. A slow store takes 60 times its usual
/// 4 ms.
const PROBE_TIMEOUT: Duration = Duration::from_millis(320);
/// The additional time for a probe's answer: after a stall of this process the timeout fires before an answer that has
/// already arrived is read.
const STALL_ALLOWANCE: Duration = Duration::from_millis(30);
// A single unanswered probe suffices to count the store as lost.
const _: () = assert!(PROBE_TIMEOUT.as_millis() >= STORE_LOST_AFTER.as_millis());
/// The least time to wait for a call while later calls are answered.
const LEAST_OVERDUE_TIME: Duration = Duration::from_millis(300);
/// A call is given up once later calls are answered and it has taken this many times as long as the latest of them.
const OVERDUE_LATENCY_FACTOR: u32 = 8;
/// The most rows of a page: a narrow link carries some pages a second.
const ROWS_PER_PAGE: usize = 64;
/// The pause after a failed call while other calls are answered.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// The longest pause after a failed call while the store is failing.
const LONGEST_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// The rows whose changes a daemon watches.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum WatchedRows {
    /// The operator's configuration and requests.
    Operator,
    /// The owner and the members.
    Members,
    /// Jobs and cancellations.
    Jobs,
    /// The registry of workers.
    Registry,
}

/// Access to the store that tracks its health and gives up calls while it is lost.
pub(crate) struct MonitoredStore {
    store: Rc<dyn FleetStore>,
    clock: Rc<dyn ClockSource>,
    log: FleetLog,
    health: Cell<StoreHealth>,
    /// Whether the store was lost at the last update; a change is logged.
    lost: Cell<bool>,
    /// When the store was last regained; zero if it was never lost.
    regained_at: Cell<Duration>,
    /// How long the latest answered call took, watches excluded.
    latency: Cell<Duration>,
    /// Signals that a call failed or was left unanswered, so that the store should be probed.
    suspected_notify: Notify,
    /// Signals that the store was lost, so that calls in progress are given up.
    lost_notify: Notify,
    /// Signals that the store is available again.
    available_notify: Notify,
}

impl MonitoredStore {
    pub(crate) fn new(
        store: Rc<dyn FleetStore>,
        clock: Rc<dyn ClockSource>,
        log: FleetLog,
    ) -> Self {
        Self {
            store,
            clock,
            log,
            health: Cell::new(StoreHealth::new()),
            lost: Cell::new(false),
            regained_at: Cell::new(Duration::ZERO),
            latency: Cell::new(Duration::ZERO),
            suspected_notify: Notify::new(),
            lost_notify: Notify::new(),
            available_notify: Notify::new(),
        }
    }

    /// Returns the store itself, to make calls that are then passed to [`MonitoredStore::call`] or
    /// [`MonitoredStore::watch`].
    pub(crate) fn port(&self) -> &dyn FleetStore {
        &*self.store
    }

    /// Returns how long calls have failed; zero while the store is available.
    pub(crate) fn failing_for(&self) -> Duration {
        self.health.get().failing_for(self.clock.monotonic())
    }

    /// Returns how long the store has been available; zero while calls fail.
    pub(crate) fn available_for(&self) -> Duration {
        self.health.get().available_for(self.clock.monotonic())
    }

    /// Returns when the store was last regained after it had been lost; zero if it was never lost.
    pub(crate) fn regained_at(&self) -> Duration {
        self.regained_at.get()
    }

    /// Returns whether calls have failed for at least [`STORE_LOST_AFTER`].
    pub(crate) fn is_lost(&self) -> bool {
        self.failing_for() >= STORE_LOST_AFTER
    }

    pub(crate) fn is_failing(&self) -> bool {
        self.health.get().is_failing()
    }

    /// Waits until a call fails or is left unanswered.
    pub(crate) async fn until_suspected(&self) {
        self.suspected_notify.notified().await;
    }

    /// Reads a row on a new connection; a read that is left unanswered shows that the store is silent.
    pub(crate) async fn probe(&self) {
        self.store.close_idle_connections();
        metrics::counter!("jasminebend_fleet_store_reads_total").increment(1);
        let sent = self.clock.monotonic();
        let read = self
            .store
            .read(StoreTable::Fleet, SHARD_PART, OWNER_KEY, None, 1);
        let mut read = pin!(read);
        let mut silence_limit = PROBE_TIMEOUT;
        while silence_limit > Duration::ZERO {
            for limit in [silence_limit, STALL_ALLOWANCE] {
                if let Ok(result) = time::timeout(limit, &mut read).await {
                    self.record_latency(sent);
                    self.record_outcome(sent, &result);
                    return;
                }
            }
            silence_limit = self.time_until_silent();
        }
        let mut health = self.health.get();
        health.record_silence(sent, self.clock.monotonic().saturating_sub(PROBE_TIMEOUT));
        self.health.set(health);
        self.update_lost();
        self.suspected_notify.notify_one();
        // A slow store may still answer.
        self.record_outcome(sent, &read.await);
    }

    /// Returns how long the store may go on sending nothing until it counts as silent. A large answer under way on a narrow
    /// link delays the others.
    fn time_until_silent(&self) -> Duration {
        let idle = self.store.data_age();
        idle.map_or(Duration::ZERO, |idle| PROBE_TIMEOUT.saturating_sub(idle))
    }

    /// Waits after a failed call; while the store is failing, until it is back or [`LONGEST_RETRY_PAUSE`] has passed.
    pub(crate) async fn wait_to_retry(&self) {
        let until_available = self.available_notify.notified();
        match self.is_failing() {
            true => drop(time::timeout(LONGEST_RETRY_PAUSE, until_available).await),
            false => time::sleep(RETRY_PAUSE).await,
        }
    }

    /// Makes a call and records its outcome. The call is given up if the store becomes lost meanwhile.
    pub(crate) async fn call<Answer, Call>(&self, call: Call) -> Result<Answer, StoreError>
    where
        Call: Future<Output = Result<Answer, StoreError>>,
    {
        let sent = self.clock.monotonic();
        let until_lost = self.lost_notify.notified();
        let mut call = pin!(self.call_and_record(call));
        let result = match time::timeout(SUSPECT_AFTER, &mut call).await {
            Ok(result) => result,
            Err(_) => {
                self.suspected_notify.notify_one();
                tokio::select! {
                    biased;
                    result = call => result,
                    () = until_lost => Err(StoreError::Unknown),
                }
            }
        };
        if result.is_ok() {
            self.record_latency(sent);
        }
        result
    }

    /// Waits until a call sent at `sent` can be given up: later calls were answered, and it has taken
    /// [`OVERDUE_LATENCY_FACTOR`] times as long as the latest of them and at least [`LEAST_OVERDUE_TIME`].
    async fn until_overdue(&self, sent: Duration) {
        loop {
            time::sleep(SUSPECT_AFTER).await;
            let waited = self.clock.monotonic().saturating_sub(sent);
            let limit = LEAST_OVERDUE_TIME.max(self.latency.get() * OVERDUE_LATENCY_FACTOR);
            if self.health.get().is_answered_since(sent) && waited >= limit {
                return;
            }
        }
    }

    fn record_latency(&self, sent: Duration) {
        self.latency
            .set(self.clock.monotonic().saturating_sub(sent));
    }

    async fn call_and_record<Answer, Call>(&self, call: Call) -> Result<Answer, StoreError>
    where
        Call: Future<Output = Result<Answer, StoreError>>,
    {
        let sent = self.clock.monotonic();
        let result = call.await;
        self.record_outcome(sent, &result);
        result
    }

    fn record_outcome<Answer>(&self, sent: Duration, result: &Result<Answer, StoreError>) {
        let mut health = self.health.get();
        match result {
            Err(StoreError::Refused | StoreError::Unknown) => {
                health.record_failure(sent, self.clock.monotonic());
                self.health.set(health);
                if health.is_failing() {
                    self.suspected_notify.notify_one();
                }
            }
            Ok(_) | Err(StoreError::HistoryDropped | StoreError::Malformed) => {
                let is_back = health.record_answer(sent);
                self.health.set(health);
                if is_back {
                    self.available_notify.notify_waiters();
                }
            }
        }
        self.update_lost();
    }

    /// Commits rows. Unlike a read, which may be large and take long, a commit is also given up once later calls were
    /// answered and it is overdue: its connection has probably gone silent.
    pub(crate) async fn commit(&self, commit: RowCommit) -> Result<CommitOutcome, StoreError> {
        metrics::counter!("jasminebend_fleet_store_writes_total").increment(1);
        let sent = self.clock.monotonic();
        tokio::select! {
            biased;
            result = self.call(self.store.commit(commit)) => result,
            () = self.until_overdue(sent) => Err(StoreError::Unknown),
        }
    }

    /// Reads few rows as [`MonitoredStore::read_all`] does, and repeats the read on another connection if it is
    /// overdue.
    pub(crate) async fn read_few(
        &self,
        table: StoreTable,
        part: &str,
        from: &str,
        to: Option<&str>,
    ) -> Result<(Vec<StoreRow>, u64), StoreError> {
        let sent = self.clock.monotonic();
        tokio::select! {
            biased;
            result = self.read_all(table, part, from, to) => return result,
            () = self.until_overdue(sent) => {}
        }
        self.read_all(table, part, from, to).await
    }

    /// Reads all rows of a part with keys from `from`, inclusive, to `to`, exclusive; also returns the store's
    /// version at the first page.
    pub(crate) async fn read_all(
        &self,
        table: StoreTable,
        part: &str,
        from: &str,
        to: Option<&str>,
    ) -> Result<(Vec<StoreRow>, u64), StoreError> {
        let mut reader = PartReader::new(table, part, from, to);
        reader.read(self).await?;
        let version = reader.first_version().unwrap_or_default();
        Ok((reader.into_rows(), version))
    }

    /// Reads a page of the rows with keys from `from`, inclusive, to `to`, exclusive.
    pub(crate) async fn read_page(
        &self,
        table: StoreTable,
        part: &str,
        from: &str,
        to: Option<&str>,
    ) -> Result<RowPage<StoreRow>, StoreError> {
        metrics::counter!("jasminebend_fleet_store_reads_total").increment(1);
        let read = self.store.read(table, part, from, to, ROWS_PER_PAGE);
        self.call(read).await
    }

    /// Waits for a watch's answer, and logs a watch that fails. A watch sent before the store came back is given up:
    /// the store may never have received it, or its answer may be lost.
    pub(crate) async fn watch<Page, Call>(
        &self,
        rows: WatchedRows,
        call: Call,
    ) -> Result<Page, StoreError>
    where
        Call: Future<Output = Result<Page, StoreError>>,
    {
        let sent = self.clock.monotonic();
        let until_available = self.available_notify.notified();
        let result = tokio::select! {
            biased;
            result = self.call_and_record(call) => result,
            () = until_available => Err(StoreError::Unknown),
        };
        if let Err(error) = &result {
            self.log.line(
                LogEvent::Watch,
                WatchLine {
                    rows,
                    outcome: error.to_string(),
                    waited_ms: whole_millis(self.clock.monotonic().saturating_sub(sent)),
                },
            );
        }
        result
    }

    fn update_lost(&self) {
        let lost = self.is_lost();
        if self.lost.replace(lost) != lost {
            match lost {
                true => self.lost_notify.notify_waiters(),
                false => self.regained_at.set(self.clock.monotonic()),
            }
            let without_ms = whole_millis(self.failing_for());
            self.log.line(
                LogEvent::Dependency,
                DependencyLine {
                    dependency: "store",
                    outcome: if lost { "lost" } else { "regained" },
                    without_ms,
                },
            );
        }
    }
}

/// A watch failed after `waited_ms`.
#[derive(Serialize)]
struct WatchLine {
    rows: WatchedRows,
    outcome: String,
    waited_ms: u64,
}

/// The store was lost or regained.
#[derive(Serialize)]
struct DependencyLine {
    dependency: &'static str,
    outcome: &'static str,
    without_ms: u64,
}
