//! What an operator asks for.

use std::path::PathBuf;

use jasminebend_base::DomainState;

use crate::JobListing;

/// What an operator asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OperatorCommand {
    /// How the daemon stands.
    Status,
    /// Print the configuration.
    ConfigGet,
    /// Replace the configuration.
    ConfigPut(PathBuf),
    /// Check a configuration file here, without a daemon.
    ConfigCheck(PathBuf),
    /// Take a failure domain out or in.
    Domain {
        /// The failure domain.
        name: String,
        /// Out or in.
        state: DomainState,
        /// Whether the last one may be taken out.
        force: bool,
    },
    /// Submit a job.
    JobSubmit(PathBuf),
    /// How a job stands.
    JobStatus(String),
    /// Cancel a job.
    JobCancel(String),
    /// List the jobs.
    JobList(JobListing),
    /// List the classes.
    ClassList,
    /// Tell the story of a job from daemons' log lines on the standard input.
    Explain(String),
    /// Sum up where the work's time goes, from daemons' log lines on the standard input.
    Summary {
        /// Where to draw who held the pools' processors.
        plot: Option<PathBuf>,
    },
    /// Print the digest of a token, for the daemons' tokens file.
    TokenHash(PathBuf),
}
