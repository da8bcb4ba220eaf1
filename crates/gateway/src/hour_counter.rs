//! The hours that the daemons count together in the table.

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

const HOURS_ROW: &str = "request-keys/hours";
const HOUR: Duration = Duration::from_secs(60 * 60);
const HOUR_CACHE_TTL: Duration = Duration::from_secs(60);
/// One for the hour that has begun, one for a count that moved on since it was read.
const EXPIRY_MARGIN_HOURS: u64 = 1;

#[derive(Clone, Copy, Debug)]
struct ObservedHour {
    hour: u64,
    version: Option<RowVersion>,
    first_seen: Duration,
    read_at: Duration,
}

/// The hours that the daemons count together in the table, by which keys are kept.
///
/// A wall clock that is wrong by years would have a key forgotten whose request still runs, and the
/// repetition booked a second time. So the count moves on by one at the most after a daemon saw it
/// unchanged for a whole hour of its own monotonic clock: it never runs faster than any daemon's
/// hours, however many count. While nobody counts it stands, and keys are kept longer.
pub(crate) struct HourCounter {
    table: Arc<dyn TableService>,
    clock: Arc<dyn ClockSource>,
    last_observed: Mutex<Option<ObservedHour>>,
}

impl HourCounter {
    /// Creates the count over the table.
    pub(crate) fn new(table: Arc<dyn TableService>, clock: Arc<dyn ClockSource>) -> Self {
        Self {
            table,
            clock,
            last_observed: Mutex::new(None),
        }
    }

    /// Returns the hour after which a key that is reserved now may go.
    pub(crate) async fn expiry_hour_for(&self, retention: Duration) -> Result<u64, TableError> {
        let hours = retention.as_secs().div_ceil(HOUR.as_secs());
        Ok(self.cached_hour().await? + hours + EXPIRY_MARGIN_HOURS)
    }

    /// Returns the count, moved on first if it has stood for an hour.
    pub(crate) async fn advance(&self, rng: &mut StdRng) -> Result<u64, TableError> {
        let last_observed = self.read().await?;
        if self
            .clock
            .monotonic()
            .saturating_sub(last_observed.first_seen)
            < HOUR
        {
            return Ok(last_observed.hour);
        }
        let expected = last_observed
            .version
            .map_or(RowExpectation::Absent, RowExpectation::Version);
        let value = (last_observed.hour + 1).to_be_bytes().to_vec();
        let change = RowChange::put(HOURS_ROW, expected, value);
        self.table.commit(WriteId::new(rng), vec![change]).await?;
        Ok(self.read().await?.hour)
    }

    async fn cached_hour(&self) -> Result<u64, TableError> {
        let now = self.clock.monotonic();
        let last_observed = *self
            .last_observed
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match last_observed
            .filter(|last_observed| now.saturating_sub(last_observed.read_at) < HOUR_CACHE_TTL)
        {
            Some(last_observed) => Ok(last_observed.hour),
            None => Ok(self.read().await?.hour),
        }
    }

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
        let unchanged = last_observed.filter(|last_observed| last_observed.version == version);
        let read = ObservedHour {
            hour,
            version,
            first_seen: unchanged.map_or(now, |last_observed| last_observed.first_seen),
            read_at: read_started_at,
        };
        *last_observed = Some(read);
        Ok(read)
    }
}
