//! Messages to a shard's actor.

use std::time::Duration;

use bytes::Bytes;
use jasminebend_placement::{
    JobId,
    TaskId,
    WorkerKey, //
};
use jasminebend_ports::{
    CheckpointId,
    CommitOutcome,
    ObjectError,
    ObjectKey,
    TableError,
    TableRow,
    TaskAttempt,
    WorkerInventory,
    WorkerReport, //
};
use ractor::RpcReplyPort;

use crate::{
    JobStatus,
    JournalError,
    journal_store::OpenJournal,
    worker_call_error::WorkerCallError, //
};

/// Messages to a shard's actor: ticks, results of its calls, and queries.
#[derive(Debug)]
pub(crate) enum ShardMessage {
    /// Do the work that is due.
    Tick,
    /// The journal was read, or could not be read.
    Opened(Box<Result<OpenJournal, JournalError>>),
    /// The table answered a commit, or did not.
    Committed(Result<CommitOutcome, TableError>),
    /// A snapshot that contains the first `entries` pending entries was written, or could not be.
    SnapshotStored {
        key: ObjectKey,
        entries: usize,
        result: Result<(), ObjectError>,
    },
    /// A job's results were written to the object store, or could not be.
    ResultsStored {
        job: JobId,
        body: Bytes,
        result: Result<(), ObjectError>,
    },
    /// Submissions and cancellations were read; `started` is when the scan began.
    InboxScanned {
        started: Duration,
        submissions: Result<Vec<TableRow>, TableError>,
        cancellations: Result<Vec<TableRow>, TableError>,
    },
    /// A page of job rows was read.
    JobRowsScanned(Result<Vec<TableRow>, TableError>),
    /// An adoption was answered or failed; `sent` is when it was sent.
    Adopted {
        worker: WorkerKey,
        sent: Duration,
        result: Result<WorkerInventory, WorkerCallError>,
    },
    /// A lease renewal was answered or failed; `sent` is when it was sent, and `acknowledged` the
    /// completions that it confirmed.
    Renewed {
        worker: WorkerKey,
        sent: Duration,
        acknowledged: Vec<TaskAttempt>,
        result: Result<WorkerReport, WorkerCallError>,
    },
    /// A start was answered or failed.
    Started {
        task: TaskId,
        attempt: u32,
        result: Result<(), WorkerCallError>,
    },
    /// A checkpoint was answered or failed.
    Checkpointed {
        task: TaskId,
        attempt: u32,
        result: Result<CheckpointId, WorkerCallError>,
    },
    /// A stop was answered or failed.
    Stopped {
        task: TaskId,
        attempt: u32,
        result: Result<(), WorkerCallError>,
    },
    /// The stop of an orphaned run was answered or failed.
    OrphanStopped {
        worker: WorkerKey,
        run: TaskAttempt,
        result: Result<(), WorkerCallError>,
    },
    /// A call whose result has no effect ended.
    CallCompleted,
    /// Query for the status of one job; answered with `None` if the shard does not have it.
    Status {
        job: JobId,
        reply: RpcReplyPort<Option<JobStatus>>,
    },
    /// Query for the status of all jobs of the shard.
    Statuses { reply: RpcReplyPort<Vec<JobStatus>> },
}
