//! Changes that operators request, and their audit log lines.

use bytes::Bytes;
use jasminebend_base::{
    ChangeOutcome,
    Configuration,
    ConfigurationVersion,
    DomainName,
    DomainState, //
};
use spdlog::{
    info,
    warn, //
};

use crate::{
    ConfigurationDiff,
    ControlError,
    ControlPort,
    OperatorIdentity, //
};

/// A change that an operator requests.
#[derive(Clone, Debug)]
pub(crate) enum AdminChange {
    Replace {
        configuration: Box<Configuration>,
        expected: ConfigurationVersion,
    },
    SetDomain {
        name: DomainName,
        state: DomainState,
        force: bool,
    },
    SubmitJob(Bytes),
    CancelJob(String),
}

impl AdminChange {
    /// Parses and validates the configuration in a request body.
    pub(crate) fn replace(
        body: &[u8],
        expected: ConfigurationVersion,
    ) -> Result<Self, ControlError> {
        let malformed = |reason| ControlError::Malformed { reason };
        let configuration: Configuration =
            serde_json::from_slice(body).map_err(|error| malformed(error.to_string()))?;
        configuration
            .validate()
            .map_err(|error| malformed(error.to_string()))?;
        Ok(Self::Replace {
            configuration: Box::new(configuration),
            expected,
        })
    }

    /// Applies the change and logs the operator, the change, the outcome, and the values before and after.
    pub(crate) async fn run(
        self,
        control: &dyn ControlPort,
        operator: &OperatorIdentity,
    ) -> Result<ChangeOutcome, ControlError> {
        let description = self.description();
        let before = control.configuration();
        let details = self.details(&before);
        let outcome = self.apply(control).await;
        match &outcome {
            Ok(_) => info!("[administration] {operator} {description}: accepted.{details}"),
            Err(error @ ControlError::Unknown { .. }) => {
                warn!("[administration] {operator} {description}: unknown, {error}.{details}");
            }
            Err(error) => {
                warn!("[administration] {operator} {description}: not accepted, {error}.{details}");
            }
        }
        outcome
    }

    async fn apply(self, control: &dyn ControlPort) -> Result<ChangeOutcome, ControlError> {
        match self {
            Self::Replace {
                configuration,
                expected,
            } => control
                .replace(*configuration, expected)
                .await
                .map(accepted_version),
            Self::SetDomain { name, state, force } => control
                .set_domain(name, state, force)
                .await
                .map(accepted_version),
            Self::SubmitJob(body) => control.submit(&body).await.map(accepted_job),
            Self::CancelJob(job) => control.cancel(&job).await.map(|()| accepted_job(job)),
        }
    }

    /// Describes the change for the log, such as `cancelled the job ...`.
    fn description(&self) -> String {
        match self {
            Self::Replace { expected, .. } => {
                format!("replaced the configuration of version {expected}")
            }
            Self::SetDomain { name, state, force } => {
                let force = if *force { " by force" } else { "" };
                format!("took the failure domain {name} {state}{force}")
            }
            Self::SubmitJob(body) => format!("submitted a job of {} bytes", body.len()),
            Self::CancelJob(job) => format!("cancelled the job {job}"),
        }
    }

    /// Describes what the change replaces in the configuration `before`; empty for jobs.
    fn details(&self, before: &Configuration) -> String {
        match self {
            Self::Replace { configuration, .. } => {
                let differences = ConfigurationDiff::between(before, configuration);
                let lines: Vec<String> = differences.iter().map(ToString::to_string).collect();
                format!(" Change: {}.", lines.join("; "))
            }
            Self::SetDomain { name, state, .. } => {
                format!(" Change: {name}: {} -> {state}.", before.domain_state(name))
            }
            Self::SubmitJob(_) | Self::CancelJob(_) => String::new(),
        }
    }
}

fn accepted_version(version: ConfigurationVersion) -> ChangeOutcome {
    ChangeOutcome::Accepted {
        version: Some(version),
        job: None,
    }
}

fn accepted_job(job: String) -> ChangeOutcome {
    ChangeOutcome::Accepted {
        version: None,
        job: Some(job),
    }
}
