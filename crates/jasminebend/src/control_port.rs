//! The interface between the administration API and the daemon.

use std::sync::Arc;

use async_trait::async_trait;
use jasminebend_base::{
    Configuration,
    ConfigurationVersion,
    DomainName,
    DomainState, //
};

use crate::{
    ControlError,
    DaemonStatus, //
};

/// The operations of a daemon that the administration API calls.
#[async_trait]
pub trait ControlPort: Send + Sync {
    /// Returns the daemon's status.
    fn status(&self) -> DaemonStatus;

    /// Returns whether the balancer may send callers to this daemon.
    fn ready(&self) -> bool;

    /// Returns the configuration that the daemon currently applies.
    fn configuration(&self) -> Arc<Configuration>;

    /// Replaces the configuration if its version is still `expected`, and returns the new version.
    ///
    /// # Errors
    ///
    /// Returns a [`ControlError`] if the change was not accepted or its outcome is unknown.
    async fn replace(
        &self,
        configuration: Configuration,
        expected: ConfigurationVersion,
    ) -> Result<ConfigurationVersion, ControlError>;

    /// Sets the state of a failure domain and returns the new configuration version; `force` allows the last failure
    /// domain to be taken out.
    ///
    /// # Errors
    ///
    /// Returns a [`ControlError`] if the change was not accepted or its outcome is unknown.
    async fn set_domain(
        &self,
        name: DomainName,
        state: DomainState,
        force: bool,
    ) -> Result<ConfigurationVersion, ControlError>;

    /// Submits a job specification in JSON, and returns the job's identifier.
    ///
    /// # Errors
    ///
    /// Returns a [`ControlError`] if the job was not accepted or the outcome is unknown.
    async fn submit(&self, job: &[u8]) -> Result<String, ControlError>;

    /// Cancels a job.
    ///
    /// # Errors
    ///
    /// Returns a [`ControlError`] if the cancellation was not accepted or its outcome is unknown.
    async fn cancel(&self, job: &str) -> Result<(), ControlError>;

    /// Returns the status of a job, in JSON.
    ///
    /// # Errors
    ///
    /// Returns a [`ControlError`] if the job does not exist or its status cannot be read.
    async fn job(&self, job: &str) -> Result<serde_json::Value, ControlError>;

    /// Returns the status of every job, in JSON, in any order.
    ///
    /// # Errors
    ///
    /// Returns a [`ControlError`] if the jobs cannot be read.
    async fn jobs(&self) -> Result<Vec<serde_json::Value>, ControlError>;
}
