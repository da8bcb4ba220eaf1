//! The store as the daemon's parts use it: with what is known of its health.

use std::{
    cell::Cell,
    future::Future,
    rc::Rc,
    time::Duration, //
};

use derive_more::Display;
use jasminebend_ports::ClockSource;
use serde::Serialize;

use crate::{
    CommitAnswer,
    FleetLog,
    FleetRow,
    FleetStore,
    FleetTable,
    LogEvent,
    RowCommit,
    StoreError,
    fleet_log::whole_millis, //
};

/// How long calls must have failed until the store counts as lost: one lost answer is no outage.
const LOST_AFTER: Duration = Duration::from_millis(300);

/// The rows whose changes a daemon watches.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum WatchedRows {
    /// What the operator asks for.
    Operator,
    /// The owner and the members.
    Members,
    /// Jobs and cancellations.
    Jobs,
    /// The workers that are listed.
    Registry,
}

/// The store as the daemon's parts use it: with what is known of its health.
pub(crate) struct StoreLink {
    store: Rc<dyn FleetStore>,
    clock: Rc<dyn ClockSource>,
    log: FleetLog,
    failing_since: Cell<Option<Duration>>,
    lost: Cell<bool>,
}

impl StoreLink {
    pub(crate) fn new(
        store: Rc<dyn FleetStore>,
        clock: Rc<dyn ClockSource>,
        log: FleetLog,
    ) -> Self {
        Self {
            store,
            clock,
            log,
            failing_since: Cell::new(None),
            lost: Cell::new(false),
        }
    }

    pub(crate) fn raw(&self) -> &dyn FleetStore {
        &*self.store
    }

    /// Returns for how long every call has failed.
    pub(crate) fn without(&self) -> Duration {
        let now = self.clock.monotonic();
        self.failing_since
            .get()
            .map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    pub(crate) fn is_lost(&self) -> bool {
        self.without() >= LOST_AFTER
    }

    /// Takes note of how a call went, and hands its result on.
    pub(crate) fn note<Answer>(
        &self,
        result: Result<Answer, StoreError>,
    ) -> Result<Answer, StoreError> {
        match &result {
            Err(StoreError::Refused | StoreError::Unknown) => {
                let now = self.clock.monotonic();
                self.failing_since
                    .set(Some(self.failing_since.get().unwrap_or(now)));
            }
            Ok(_) | Err(StoreError::Forgotten | StoreError::Malformed) => {
                self.failing_since.set(None);
            }
        }
        self.tell();
        result
    }

    pub(crate) async fn commit(&self, commit: RowCommit) -> Result<CommitAnswer, StoreError> {
        metrics::counter!("jasminebend_fleet_store_writes_total").increment(1);
        let result = self.store.commit(commit).await;
        self.note(result)
    }

    /// Reads all rows of a part from `from` up to `to`, and the store's version at the first page.
    pub(crate) async fn read_all(
        &self,
        table: FleetTable,
        part: &str,
        from: &str,
        to: Option<&str>,
    ) -> Result<(Vec<FleetRow>, u64), StoreError> {
        let mut rows: Vec<FleetRow> = Vec::new();
        let mut version = None;
        let mut next = from.to_owned();
        loop {
            metrics::counter!("jasminebend_fleet_store_reads_total").increment(1);
            let result = self.store.read(table, part, &next, to).await;
            let page = self.note(result)?;
            version.get_or_insert(page.version);
            if let Some(last) = page.items.last() {
                // The least key after the last.
                next = format!("{}\0", last.key);
            }
            let more = page.more && !page.items.is_empty();
            rows.extend(page.items);
            if !more {
                return Ok((rows, version.unwrap_or_default()));
            }
        }
    }

    /// Watches rows, and logs a watch that got no answer.
    pub(crate) async fn watch<Page, Call>(
        &self,
        rows: WatchedRows,
        call: Call,
    ) -> Result<Page, StoreError>
    where
        Call: Future<Output = Result<Page, StoreError>>,
    {
        let sent = self.clock.monotonic();
        let result = self.note(call.await);
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

    fn tell(&self) {
        let lost = self.is_lost();
        if self.lost.replace(lost) != lost {
            let without_ms = whole_millis(self.without());
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

#[derive(Serialize)]
struct WatchLine {
    rows: WatchedRows,
    outcome: String,
    waited_ms: u64,
}

#[derive(Serialize)]
struct DependencyLine {
    dependency: &'static str,
    outcome: &'static str,
    without_ms: u64,
}
