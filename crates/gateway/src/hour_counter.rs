//! [`HourCounter`]: a count of hours that all daemons share in the table.

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
    RowChange,
    RowExpectation,
    RowKey,
    RowVersion,
    TableError,
    TableService,
    WriteId, //
};
use rand::rngs::StdRng;

/// The row of the count, as a big-endian `u64`.
const HOURS_ROW: &str = "request-keys/hours";
/// How long the count must be unchanged before a daemon advances it.
const HOUR: Duration = Duration::from_secs(60 * 60);
/// For how long a count that was read may be used without reading it again.
const HOUR_CACHE_TTL: Duration = Duration::from_secs(60);
/// One for the hour that has already begun, and one for a count that has advanced since it was
/// read.
const EXPIRY_MARGIN_HOURS: u64 = 1;

/// The count as last read, and since when this version of its row is known.
#[derive(Clone, Copy, Debug)]
struct ObservedHour {
    hour: u64,
    /// The version of the row, or `None` if there is no row yet.
    version: Option<RowVersion>,
    /// When this version was first read, on the monotonic clock.
    first_seen: Duration,
    /// When the last read of the row began, on the monotonic clock.
    read_at: Duration,
}

/// A count of hours that all daemons share in the table, by which the retention of idempotency keys
/// is measured.
///
/// A wall clock that is wrong by years would remove a key whose request is still running, and a
/// repeated booking would run a second time. The count therefore advances by at most one after a
/// daemon has seen it unchanged for a whole hour of its own monotonic clock: it never runs faster
/// than the clock of any daemon, however many of them count. While no daemon counts it stands
/// still, and keys are kept for longer.
pub(crate) struct HourCounter {
    table: Arc<dyn TableService>,
    clock: Arc<dyn ClockSource>,
    last_observed: Mutex<Option<ObservedHour>>,
}

impl HourCounter {
    /// Creates a counter over the table.
    pub(crate) fn new(table: Arc<dyn TableService>, clock: Arc<dyn ClockSource>) -> Self {
        Self {
            table,
            clock,
            last_observed: Mutex::new(None),
        }
    }

    /// Returns the hour after which a key that is reserved now may be removed.
    pub(crate) async fn expiry_hour_for(&self, retention: Duration) -> Result<u64, TableError> {
        let hours = retention.as_secs().div_ceil(HOUR.as_secs());
        Ok(self.cached_hour().await? + hours + EXPIRY_MARGIN_HOURS)
    }

    /// Returns the count, after advancing it if it was unchanged for an hour.
    pub(crate) async fn advance(&self, rng: &mut StdRng) -> Result<u64, TableError> {
        let observed = self.read().await?;
        if self.clock.monotonic().saturating_sub(observed.first_seen) < HOUR {
            return Ok(observed.hour);
        }
        let expected = observed
            .version
            .map_or(RowExpectation::Absent, RowExpectation::Version);
        let value = (observed.hour + 1).to_be_bytes().to_vec();
        let change = RowChange::put(HOURS_ROW, expected, value);
        self.table.commit(WriteId::new(rng), vec![change]).await?;
        Ok(self.read().await?.hour)
    }

    /// Returns the count; one that was read recently is reused.
    async fn cached_hour(&self) -> Result<u64, TableError> {
        let now = self.clock.monotonic();
        let last_observed = *self
            .last_observed
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match last_observed.filter(|observed| now.saturating_sub(observed.read_at) < HOUR_CACHE_TTL)
        {
            Some(observed) => Ok(observed.hour),
            None => Ok(self.read().await?.hour),
        }
    }

    /// Reads the count, and keeps the time at which its version was first seen.
    async fn read(&self) -> Result<ObservedHour, TableError> {
        let read_started_at = self.clock.monotonic();
        let row = self.table.read(&RowKey::from(HOURS_ROW)).await?;
        let now = self.clock.monotonic();
        let version = row.as_ref().map(|row| row.version);
        let value = row.and_then(|row| <[u8; 8]>::try_from(&row.value[..]).ok());
        let hour = value.map_or(0, u64::from_be_bytes);
        let mut last_observed = self
            .last_observed
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let unchanged = last_observed.filter(|observed| observed.version == version);
        let observed = ObservedHour {
            hour,
            version,
            first_seen: unchanged.map_or(now, |observed| observed.first_seen),
            read_at: read_started_at,
        };
        *last_observed = Some(observed);
        Ok(observed)
    }
}
