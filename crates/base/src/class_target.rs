//! What operators ask of a class.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

/// What operators ask of a class: a target, never a weight.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ClassTarget {
    /// 99 of 100 requests are answered within this time from their arrival.
    #[serde(with = "humantime_serde")]
    AnswerWithin(Duration),
    /// A job is finished within this time from its submission.
    #[serde(with = "humantime_serde")]
    FinishWithin(Duration),
}
