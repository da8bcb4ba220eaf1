//! The target time of a class.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

/// The target time that operators set for a class. A class has no priority or weight besides it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ClassTarget {
    /// For a service class: 99 of 100 requests are answered within this time after their arrival.
    #[serde(with = "humantime_serde")]
    AnswerWithin(Duration),
    /// For a batch class: a job is finished within this time after its submission.
    #[serde(with = "humantime_serde")]
    FinishWithin(Duration),
}
