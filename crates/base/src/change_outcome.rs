//! What became of an operator's change, as the administration API tells it.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::ConfigurationVersion;

/// What became of an operator's change, as the administration API tells it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum ChangeOutcome {
    /// The change is accepted and stays.
    Accepted {
        /// The configuration's version that holds it, for a change of the configuration.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        version: Option<ConfigurationVersion>,
        /// The job, for a submission or a cancellation.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        job: Option<String>,
    },
    /// Nothing was changed.
    NotAccepted {
        /// Why, as a sentence.
        reason: String,
    },
    /// The change may or may not take effect.
    Unknown {
        /// How to find out, as a sentence.
        find_out: String,
    },
}
