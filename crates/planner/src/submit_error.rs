//! Why a job was not accepted.

use derive_more::{
    Display,
    Error, //
};
use jasminebend_base::{
    ClassName,
    TeamName, //
};
use jasminebend_placement::JobId;

/// Why a job was not accepted, or is not known to be.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum SubmitError {
    /// The class is not declared.
    #[display("the configuration declares no class `{class}`; declare it, or name another")]
    UnknownClass {
        /// The class.
        class: ClassName,
    },
    /// The team is not declared.
    #[display("the configuration declares no team `{team}`; declare it with its quota")]
    UnknownTeam {
        /// The team.
        team: TeamName,
    },
    /// The number of tasks is zero or too large.
    #[display("a job has from 1 to {most} tasks, not {found}")]
    TaskCount {
        /// The most.
        most: u32,
        /// As submitted.
        found: u32,
    },
    /// The tasks need no processors or no memory.
    #[display("a task needs some processors and some memory")]
    ZeroSize,
    /// The payload or the key is too long.
    #[display("payload, names and key together have at most {most} bytes, not {found}")]
    TooLong {
        /// The most.
        most: usize,
        /// As submitted.
        found: usize,
    },
    /// No worker could ever hold one of its tasks.
    #[display("no worker is large enough for one of its tasks, even if empty; declare less")]
    NeverFits,
    /// A shard's part of the team's quota is smaller than one of its tasks.
    #[display(
        "one of its tasks needs more than the quota of team `{team}` allows; the quota is divided among {shards} shard(s)"
    )]
    BeyondQuota {
        /// The team.
        team: TeamName,
        /// The number of shards.
        shards: u16,
    },
    /// The key was used for another job.
    #[display("the key was used for job {job}, which is not the same; use a new key")]
    KeyReused {
        /// The earlier job.
        job: JobId,
    },
    /// The table service took nothing in.
    #[display("the job was not accepted: the table service cannot be reached; submit it again")]
    TableUnavailable,
    /// The table service's answer was lost.
    #[display(
        "job {job} may or may not have been accepted: the table service's answer was lost; ask for its status, or submit it again with the same key"
    )]
    Unknown {
        /// The job's identity if it was.
        job: JobId,
    },
    /// The record could not be encoded.
    #[display("the job was not accepted: it cannot be encoded")]
    Encoding,
}
