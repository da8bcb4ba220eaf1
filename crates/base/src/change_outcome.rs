//! The outcome of an operator's change, as the administration API returns it.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::ConfigurationVersion;

/// The outcome of an operator's change, as the administration API returns it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum ChangeOutcome {
    /// The change is accepted and durable.
    Accepted {
        /// The configuration version that contains the change; `None` unless the configuration
        /// was changed.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        version: Option<ConfigurationVersion>,
        /// The id of the job that was submitted or cancelled; `None` for any other change.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        job: Option<String>,
    },
    /// The change is rejected and has no effect.
    NotAccepted {
        /// The reason, as a sentence for the operator.
        reason: String,
    },
    /// The outcome is unknown: the change may or may not take effect.
    Unknown {
        /// How the operator can find out whether it took effect, as a sentence.
        find_out: String,
    },
}
