//! Commands of `jbctl`.

use std::path::PathBuf;

use jasminebend_base::DomainState;

use crate::JobListQuery;

/// A command of `jbctl` with its arguments.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OperatorCommand {
    /// Print the status of the daemon.
    Status,
    /// Print the configuration.
    ConfigGet,
    /// Replace the configuration by the one in this file.
    ConfigPut(PathBuf),
    /// Check this configuration file locally, without a daemon.
    ConfigCheck(PathBuf),
    /// Take a failure domain out or in.
    Domain {
        /// The name of the failure domain.
        name: String,
        /// The state that it gets.
        state: DomainState,
        /// Whether the last failure domain that is in may be taken out.
        force: bool,
    },
    /// Submit the job that this file describes.
    JobSubmit(PathBuf),
    /// Print the status of the job with this identifier.
    JobStatus(String),
    /// Cancel the job with this identifier.
    JobCancel(String),
    /// Print a page of the jobs.
    JobList(JobListQuery),
    /// Print the classes and their targets.
    ClassList,
    /// Print the timeline of the job with this identifier, from daemons' log lines on standard input.
    Explain(String),
    /// Print counts and times of requests, runs and jobs, from daemons' log lines on standard input.
    Summary {
        /// The SVG file in which the usage of the pools is drawn; `None` draws nothing.
        plot: Option<PathBuf>,
    },
    /// Print the digest of the token in this file, for the daemons' tokens file.
    TokenHash(PathBuf),
}
