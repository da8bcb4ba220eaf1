//! Keys of the planner's table rows and objects.

use jasminebend_placement::JobId;
use jasminebend_ports::{
    ObjectKey,
    RowKey,
    WriteId, //
};

/// Prefix of the rows that store job statuses.
pub(crate) const JOBS_PREFIX: &str = "planner/job/";

/// Returns the key of a job's status row.
pub(crate) fn job_row(job: JobId) -> RowKey {
    RowKey::from(format!("{JOBS_PREFIX}{job}"))
}

/// Returns the prefix of the submissions that a shard has not accepted yet.
pub(crate) fn inbox_prefix(shard: u16) -> RowKey {
    RowKey::from(format!("planner/inbox/{shard:05}/"))
}

/// Returns the key of a submission in a shard's inbox.
pub(crate) fn inbox_entry(shard: u16, job: JobId) -> RowKey {
    RowKey::from(format!("planner/inbox/{shard:05}/{job}"))
}

/// Returns the prefix of a shard's unread cancellations.
pub(crate) fn cancellations_prefix(shard: u16) -> RowKey {
    RowKey::from(format!("planner/cancel/{shard:05}/"))
}

/// Returns the key of one batch of cancellations.
pub(crate) fn cancellation_batch(shard: u16, write: WriteId) -> RowKey {
    RowKey::from(format!("planner/cancel/{shard:05}/{write}"))
}

/// Returns the key of the head row of a shard's journal.
pub(crate) fn journal_head(shard: u16) -> RowKey {
    RowKey::from(format!("planner/shard/{shard:05}/head"))
}

/// Returns the prefix of the log rows of a shard's journal.
pub(crate) fn log_prefix(shard: u16) -> RowKey {
    RowKey::from(format!("planner/shard/{shard:05}/log/"))
}

/// Returns the key of a log row.
pub(crate) fn log_row(shard: u16, sequence: u64) -> RowKey {
    RowKey::from(format!("planner/shard/{shard:05}/log/{sequence:016x}"))
}

/// Returns the key of the object with a job's results.
pub(crate) fn results_object(job: JobId) -> ObjectKey {
    ObjectKey::from(format!("planner/results/{job}"))
}

/// Returns the key of a snapshot. It contains epoch and sequence number, so that no snapshot
/// overwrites another.
pub(crate) fn snapshot_object(shard: u16, epoch: u64, sequence: u64) -> ObjectKey {
    ObjectKey::from(format!(
        "planner/shard/{shard:05}/snapshot/{epoch:016x}-{sequence:016x}"
    ))
}
