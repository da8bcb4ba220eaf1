//! What a planner is told.

use std::time::Duration;

use jasminebend_placement::PlacementPolicy;

const TICK: Duration = Duration::from_millis(100);
const SCAN_EVERY: Duration = Duration::from_secs(1);
const HEARTBEAT: Duration = Duration::from_secs(5);
const LEASE: Duration = Duration::from_secs(15);
const KEEP_ENDED: Duration = Duration::from_secs(7 * 24 * 3600);
/// With the ends beside it, this keeps reports below 20 KB a second at 371 workers of 23 runs each.
const USAGE_BYTES_PER_SECOND: u32 = 15_000;
/// A measurement in postcard, by the capacity bench.
const BYTES_PER_USAGE: f64 = 32.0;
const ROWS_PER_SNAPSHOT: u64 = 256;

/// What a planner is told.
#[derive(Clone, Copy, Debug)]
pub struct PlannerSettings {
    pub(crate) shards: u16,
    pub(crate) tick: Duration,
    pub(crate) scan_every: Duration,
    pub(crate) heartbeat: Duration,
    pub(crate) lease: Duration,
    pub(crate) usage_bytes: u32,
    pub(crate) rows_per_snapshot: u64,
    pub(crate) keep_ended: Duration,
    pub(crate) policy: PlacementPolicy,
}

impl PlannerSettings {
    /// Creates the settings of a planner among whose daemons this many shards are divided. All
    /// daemons must be told the same number.
    pub fn new(shards: u16) -> Self {
        Self {
            shards: shards.max(1),
            tick: TICK,
            scan_every: SCAN_EVERY,
            heartbeat: HEARTBEAT,
            lease: LEASE,
            usage_bytes: USAGE_BYTES_PER_SECOND,
            rows_per_snapshot: ROWS_PER_SNAPSHOT,
            keep_ended: KEEP_ENDED,
            policy: PlacementPolicy::new(),
        }
    }

    /// Sets how often the planner decides and commits.
    pub fn with_tick(mut self, tick: Duration) -> Self {
        self.tick = tick;
        self
    }

    /// Sets how often a shard's owner looks for submissions.
    pub fn with_scan_every(mut self, scan_every: Duration) -> Self {
        self.scan_every = scan_every;
        self
    }

    /// Sets how often a worker is heard.
    pub fn with_heartbeat(mut self, heartbeat: Duration) -> Self {
        self.heartbeat = heartbeat;
        self
    }

    /// Sets how long a worker goes on with its runs unheard; at least twice the heartbeat.
    pub fn with_lease(mut self, lease: Duration) -> Self {
        self.lease = lease;
        self
    }

    /// Sets how many bytes a second the measurements of this daemon's workers may cost; beyond it,
    /// they are sampled.
    pub fn with_usage_bytes(mut self, bytes_per_second: u32) -> Self {
        self.usage_bytes = bytes_per_second;
        self
    }

    /// Sets after how many journal rows the ledger is written whole to the object store.
    pub fn with_rows_per_snapshot(mut self, rows: u64) -> Self {
        self.rows_per_snapshot = rows.max(1);
        self
    }

    /// Sets how long an ended job can be asked for.
    pub fn with_keep_ended(mut self, time: Duration) -> Self {
        self.keep_ended = time;
        self
    }

    /// Sets how places are chosen.
    pub fn with_policy(mut self, policy: PlacementPolicy) -> Self {
        self.policy = policy;
        self
    }

    /// Returns how many measurements a report may carry on a daemon that hears this many workers.
    pub(crate) fn usage_limit(&self, workers: usize) -> u32 {
        let bytes = f64::from(self.usage_bytes) * self.heartbeat.as_secs_f64();
        // CAST: the quotient is not negative; what is beyond u32 saturates.
        (bytes / BYTES_PER_USAGE / workers.max(1) as f64) as u32
    }

    /// Returns a time on this clock after which a lease of some length, counted on another clock,
    /// has surely lapsed: clocks that drift 5% apart, and a second for rounding and timers.
    pub(crate) fn with_drift(&self, time: Duration) -> Duration {
        time + time / 20 + Duration::from_secs(1)
    }
}
