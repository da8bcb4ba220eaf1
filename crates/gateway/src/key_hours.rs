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
const FRESH: Duration = Duration::from_secs(60);
/// One for the hour that has begun, one for a count that moved on since it was read.
const BEGUN_HOURS: u64 = 1;

#[derive(Clone, Copy, Debug)]
struct SeenHour {
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
pub(crate) struct KeyHours {
    table: Arc<dyn TableService>,
    clock: Arc<dyn ClockSource>,
    seen: Mutex<Option<SeenHour>>,
}

impl KeyHours {
    /// Creates the count over the table.
    pub(crate) fn new(table: Arc<dyn TableService>, clock: Arc<dyn ClockSource>) -> Self {
        Self {
            table,
            clock,
            seen: Mutex::new(None),
        }
    }

    /// Returns the hour after which a key that is reserved now may go.
    pub(crate) async fn expiry_after(&self, retention: Duration) -> Result<u64, TableError> {
        let hours = retention.as_secs().div_ceil(HOUR.as_secs());
        Ok(self.recent().await? + hours + BEGUN_HOURS)
    }

    /// Returns the count, moved on first if it has stood for an hour.
    pub(crate) async fn count(&self, source: &mut StdRng) -> Result<u64, TableError> {
        let seen = self.read().await?;
        if self.clock.monotonic().saturating_sub(seen.first_seen) < HOUR {
            return Ok(seen.hour);
        }
        let expected = seen
            .version
            .map_or(RowExpectation::Absent, RowExpectation::Version);
        let value = (seen.hour + 1).to_be_bytes().to_vec();
        let change = RowChange::put(HOURS_ROW, expected, value);
        self.table
            .commit(WriteId::new(source), vec![change])
            .await?;
        Ok(self.read().await?.hour)
    }

    async fn recent(&self) -> Result<u64, TableError> {
        let now = self.clock.monotonic();
        let seen = *self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        match seen.filter(|seen| now.saturating_sub(seen.read_at) < FRESH) {
            Some(seen) => Ok(seen.hour),
            None => Ok(self.read().await?.hour),
        }
    }

    async fn read(&self) -> Result<SeenHour, TableError> {
        let began = self.clock.monotonic();
        let row = self.table.read(&RowKey::from(HOURS_ROW)).await?;
        let now = self.clock.monotonic();
        let version = row.as_ref().map(|row| row.version);
        let value = row.and_then(|row| <[u8; 8]>::try_from(&row.value[..]).ok());
        let hour = value.map_or(0, u64::from_be_bytes);
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        let same = seen.filter(|seen| seen.version == version);
        let read = SeenHour {
            hour,
            version,
            first_seen: same.map_or(now, |seen| seen.first_seen),
            read_at: began,
        };
        *seen = Some(read);
        Ok(read)
    }
}
