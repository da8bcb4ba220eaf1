//! The port that the administration API drives.

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

/// The port that the administration API drives: what operators can ask of a daemon.
#[async_trait]
pub trait ControlPort: Send + Sync {
    /// Tells what the daemon knows of itself.
    fn status(&self) -> DaemonStatus;

    /// Tells whether the balancer may send callers here.
    fn ready(&self) -> bool;

    /// Returns the configuration that the daemon follows.
    fn configuration(&self) -> Arc<Configuration>;

    /// Replaces the configuration if its version is still `expected`.
    ///
    /// # Errors
    ///
    /// Any [`ControlError`].
    async fn replace(
        &self,
        configuration: Configuration,
        expected: ConfigurationVersion,
    ) -> Result<ConfigurationVersion, ControlError>;

    /// Takes a failure domain out or in; `force` takes out the last one.
    ///
    /// # Errors
    ///
    /// Any [`ControlError`].
    async fn set_domain(
        &self,
        name: DomainName,
        state: DomainState,
        force: bool,
    ) -> Result<ConfigurationVersion, ControlError>;

    /// Submits a job that is described in JSON, and returns its identity.
    ///
    /// # Errors
    ///
    /// Any [`ControlError`].
    async fn submit(&self, job: &[u8]) -> Result<String, ControlError>;

    /// Cancels a job.
    ///
    /// # Errors
    ///
    /// Any [`ControlError`].
    async fn cancel(&self, job: &str) -> Result<(), ControlError>;

    /// Tells how a job stands, in JSON.
    ///
    /// # Errors
    ///
    /// Any [`ControlError`].
    async fn job(&self, job: &str) -> Result<serde_json::Value, ControlError>;

    /// Tells how all jobs stand, in JSON, in any order.
    ///
    /// # Errors
    ///
    /// Any [`ControlError`].
    async fn jobs(&self) -> Result<Vec<serde_json::Value>, ControlError>;
}
