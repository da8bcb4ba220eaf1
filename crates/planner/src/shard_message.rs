//! What a shard's actor is told.

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
    call_error::CallError,
    journal_store::OpenJournal, //
};

/// What a shard's actor is told: the time, the answers to its calls, and questions.
#[derive(Debug)]
pub(crate) enum ShardMessage {
    /// Look at what is due.
    Tick,
    /// The journal was read.
    Opened(Box<Result<OpenJournal, JournalError>>),
    /// A commit was answered.
    Committed(Result<CommitOutcome, TableError>),
    /// A snapshot that holds the first `entries` waiting entries was written.
    SnapshotKept {
        key: ObjectKey,
        entries: usize,
        result: Result<(), ObjectError>,
    },
    /// A job's results were written to the object store.
    ResultsKept {
        job: JobId,
        body: Bytes,
        result: Result<(), ObjectError>,
    },
    /// The inbox was read.
    Scanned {
        started: Duration,
        submissions: Result<Vec<TableRow>, TableError>,
        cancels: Result<Vec<TableRow>, TableError>,
    },
    /// Some rows of jobs were read.
    Swept(Result<Vec<TableRow>, TableError>),
    /// A worker answered an adoption.
    Adopted {
        worker: WorkerKey,
        sent: Duration,
        result: Result<WorkerInventory, CallError>,
    },
    /// A worker answered a renewal.
    Renewed {
        worker: WorkerKey,
        sent: Duration,
        acknowledged: Vec<TaskAttempt>,
        result: Result<WorkerReport, CallError>,
    },
    /// A worker answered a start.
    Started {
        task: TaskId,
        attempt: u32,
        result: Result<(), CallError>,
    },
    /// A worker answered a checkpoint.
    Checkpointed {
        task: TaskId,
        attempt: u32,
        result: Result<CheckpointId, CallError>,
    },
    /// A worker answered a stop.
    Stopped {
        task: TaskId,
        attempt: u32,
        result: Result<(), CallError>,
    },
    /// A worker answered the stop of a run that belongs nowhere.
    StrayStopped {
        worker: WorkerKey,
        run: TaskAttempt,
        result: Result<(), CallError>,
    },
    /// A call whose answer changes nothing was answered.
    Noted,
    /// What is known of a job?
    Status {
        job: JobId,
        reply: RpcReplyPort<Option<JobStatus>>,
    },
    /// What is known of all jobs?
    Statuses { reply: RpcReplyPort<Vec<JobStatus>> },
}
