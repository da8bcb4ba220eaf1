//! The reason why a job was not accepted.

use derive_more::{
    Display,
    Error, //
};
use jasminebend_base::{
    ClassName,
    TeamName, //
};
use jasminebend_placement::JobId;

/// The reason why a job was not accepted, or may not have been.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum SubmitError {
    /// The configuration does not declare the class.
    #[display("the configuration declares no class `{class}`; declare it, or name another")]
    UnknownClass {
        /// Class of the submission.
        class: ClassName,
    },
    /// The configuration does not declare the team.
    #[display("the configuration declares no team `{team}`; declare it with its quota")]
    UnknownTeam {
        /// Team of the submission.
        team: TeamName,
    },
    /// The number of tasks is zero or too large.
    #[display("a job has from 1 to {limit} tasks, not {found}")]
    TaskCount {
        /// Largest accepted number of tasks.
        limit: u32,
        /// Number of tasks of the submission.
        found: u32,
    },
    /// The declared task size has no processors or no memory.
    #[display("a task needs some processors and some memory")]
    ZeroSize,
    /// The payload, the key and the names together are too long.
    #[display("payload, names and key together have at most {limit} bytes, not {found}")]
    TooLong {
        /// Largest accepted length in bytes.
        limit: usize,
        /// Length of the submission in bytes.
        found: usize,
    },
    /// No listed worker can hold one of the tasks, even if empty.
    #[display("no worker is large enough for one of its tasks, even if empty; declare less")]
    NeverFits,
    /// One task exceeds a shard's part of the team's quota.
    #[display(
        "one of its tasks needs more than the quota of team `{team}` allows; the quota is divided among {shards} shard(s)"
    )]
    BeyondQuota {
        /// Team of the submission.
        team: TeamName,
        /// Number of shards among which the quota is divided.
        shards: u16,
    },
    /// The idempotency key belongs to a different job.
    #[display("the key was used for job {job}, which is not the same; use a new key")]
    KeyReused {
        /// The job that was submitted with the key before.
        job: JobId,
    },
    /// The table service did not store the job.
    #[display("the job was not accepted: the table service cannot be reached; submit it again")]
    TableUnavailable,
    /// The answer of the table service was lost, so the job may have been stored.
    #[display(
        "job {job} may or may not have been accepted: the table service's answer was lost; ask for its status, or submit it again with the same key"
    )]
    Unknown {
        /// Identifier of the job if it was stored.
        job: JobId,
    },
    /// The job's record could not be encoded.
    #[display("the job was not accepted: it cannot be encoded")]
    Encoding,
}
