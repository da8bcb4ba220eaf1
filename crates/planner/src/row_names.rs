//! The keys of the planner's rows and objects.

use jasminebend_placement::JobId;
use jasminebend_ports::{
    ObjectKey,
    RowKey,
    WriteId, //
};

/// The prefix of the rows that say what became of jobs.
pub(crate) const JOBS: &str = "planner/job/";

pub(crate) fn job(job: JobId) -> RowKey {
    RowKey::from(format!("{JOBS}{job}"))
}

pub(crate) fn inbox(shard: u16) -> RowKey {
    RowKey::from(format!("planner/inbox/{shard:05}/"))
}

pub(crate) fn inbox_entry(shard: u16, job: JobId) -> RowKey {
    RowKey::from(format!("planner/inbox/{shard:05}/{job}"))
}

pub(crate) fn cancels(shard: u16) -> RowKey {
    RowKey::from(format!("planner/cancel/{shard:05}/"))
}

pub(crate) fn cancel_entry(shard: u16, write: WriteId) -> RowKey {
    RowKey::from(format!("planner/cancel/{shard:05}/{write}"))
}

pub(crate) fn head(shard: u16) -> RowKey {
    RowKey::from(format!("planner/shard/{shard:05}/head"))
}

pub(crate) fn log(shard: u16) -> RowKey {
    RowKey::from(format!("planner/shard/{shard:05}/log/"))
}

pub(crate) fn log_row(shard: u16, sequence: u64) -> RowKey {
    RowKey::from(format!("planner/shard/{shard:05}/log/{sequence:016x}"))
}

pub(crate) fn results(job: JobId) -> ObjectKey {
    ObjectKey::from(format!("planner/results/{job}"))
}

pub(crate) fn snapshot(shard: u16, epoch: u64, sequence: u64) -> ObjectKey {
    ObjectKey::from(format!(
        "planner/shard/{shard:05}/snapshot/{epoch:016x}-{sequence:016x}"
    ))
}
