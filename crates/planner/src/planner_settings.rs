//! Settings of a planner.

use std::time::Duration;

use jasminebend_placement::PlacementPolicy;

/// How often the planner decides and commits, by default.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// How often a shard's owner reads its inbox, by default.
const INBOX_SCAN_INTERVAL: Duration = Duration::from_secs(1);
/// How often a worker's lease is renewed, by default.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(5);
/// How long a worker keeps its tasks running without a renewal, by default.
const LEASE_DURATION: Duration = Duration::from_secs(15);
/// How long an ended job's status is kept, by default.
const ENDED_JOB_RETENTION: Duration = Duration::from_secs(7 * 24 * 3600);
/// Limit of the bytes of usage measurements per second, by default. Together with completion
/// reports, it keeps reports below 20 KB/s at 371 workers with 23 tasks each.
const USAGE_BYTES_PER_SECOND: u32 = 15_000;
/// Size of one usage measurement encoded with postcard, in bytes.
const BYTES_PER_MEASUREMENT: f64 = 32.0;
/// Log rows after which a snapshot is written, by default.
const ROWS_PER_SNAPSHOT: u64 = 256;

/// Settings of a planner.
#[derive(Clone, Copy, Debug)]
pub struct PlannerSettings {
    /// Number of shards in the cluster.
    pub(crate) shards: u16,
    /// Interval of decisions and commits.
    pub(crate) tick_interval: Duration,
    /// Interval of inbox scans.
    pub(crate) scan_interval: Duration,
    /// Interval of lease renewals.
    pub(crate) heartbeat_interval: Duration,
    /// Length of a worker's lease.
    pub(crate) lease: Duration,
    /// Limit of the measurements that this daemon's workers report, in bytes per second.
    pub(crate) usage_bytes_per_second: u32,
    /// Log rows after which a snapshot is written.
    pub(crate) rows_per_snapshot: u64,
    /// How long an ended job's status is kept.
    pub(crate) ended_job_retention: Duration,
    /// Chooses the workers of tasks.
    pub(crate) policy: PlacementPolicy,
}

impl PlannerSettings {
    /// Creates default settings for a cluster with this many shards; zero counts as one. All
    /// daemons must use the same number.
    pub fn new(shards: u16) -> Self {
        Self {
            shards: shards.max(1),
            tick_interval: TICK_INTERVAL,
            scan_interval: INBOX_SCAN_INTERVAL,
            heartbeat_interval: HEARTBEAT_INTERVAL,
            lease: LEASE_DURATION,
            usage_bytes_per_second: USAGE_BYTES_PER_SECOND,
            rows_per_snapshot: ROWS_PER_SNAPSHOT,
            ended_job_retention: ENDED_JOB_RETENTION,
            policy: PlacementPolicy::new(),
        }
    }

    /// Sets the interval of decisions and commits.
    pub fn with_tick_interval(mut self, tick_interval: Duration) -> Self {
        self.tick_interval = tick_interval;
        self
    }

    /// Sets the interval at which a shard's owner reads new submissions and cancellations.
    pub fn with_scan_interval(mut self, scan_interval: Duration) -> Self {
        self.scan_interval = scan_interval;
        self
    }

    /// Sets the interval of lease renewals.
    pub fn with_heartbeat_interval(mut self, heartbeat_interval: Duration) -> Self {
        self.heartbeat_interval = heartbeat_interval;
        self
    }

    /// Sets how long a worker keeps its tasks running without a renewal; must be at least
    /// twice the heartbeat interval.
    pub fn with_lease(mut self, lease: Duration) -> Self {
        self.lease = lease;
        self
    }

    /// Sets the limit of the usage measurements that all workers of this daemon report, in bytes
    /// per second. Beyond it, measurements are sampled.
    pub fn with_usage_bytes_per_second(mut self, bytes_per_second: u32) -> Self {
        self.usage_bytes_per_second = bytes_per_second;
        self
    }

    /// Sets the number of log rows after which a snapshot of the ledger is written to the object
    /// store; zero counts as one.
    pub fn with_rows_per_snapshot(mut self, rows: u64) -> Self {
        self.rows_per_snapshot = rows.max(1);
        self
    }

    /// Sets how long the status of an ended job is kept.
    pub fn with_ended_job_retention(mut self, time: Duration) -> Self {
        self.ended_job_retention = time;
        self
    }

    /// Sets the policy that chooses the workers of tasks.
    pub fn with_policy(mut self, policy: PlacementPolicy) -> Self {
        self.policy = policy;
        self
    }

    /// Returns how many measurements one report may contain on a daemon that calls this many
    /// workers.
    pub(crate) fn usage_limit(&self, workers: usize) -> u32 {
        let bytes = f64::from(self.usage_bytes_per_second) * self.heartbeat_interval.as_secs_f64();
        // CAST: the quotient is not negative; what is beyond u32 saturates.
        (bytes / BYTES_PER_MEASUREMENT / workers.max(1) as f64) as u32
    }

    /// Returns a time on this daemon's clock in which a lease of the given length, counted on a
    /// worker's clock, is certain to lapse. Allows for clocks that drift apart by 5%, and one
    /// second for rounding and timers.
    pub(crate) fn add_clock_drift(&self, time: Duration) -> Duration {
        time + time / 20 + Duration::from_secs(1)
    }
}
