//! Stored record of the learned interference model.

use serde::{
    Deserialize,
    Serialize, //
};

/// Stored record of the learned interference model, kept for the owner's successor: learning it
/// again costs every service some seconds above its target. Nothing depends on its being current:
/// an outdated record is better than none.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LearnedRecord {
    /// The service images.
    pub services: Vec<LearnedService>,
}

/// Learned parameters of one service image.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LearnedService {
    /// The image's name.
    pub image: String,
    /// The lowest observed tail latency, as a share of the target.
    #[serde(rename = "least")]
    pub min_tail_ratio: f32,
    /// The variance of one observation of the service's load.
    #[serde(default)]
    pub noise: f32,
    /// The effect of each filler image observed beside the service.
    pub fillers: Vec<(String, LearnedEffect)>,
}

/// Estimated effect of a filler image on a service's load.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct LearnedEffect {
    /// The mean: the load that a filler on all of a worker's CPU adds.
    pub mean: f32,
    /// The variance of the mean.
    pub variance: f32,
}
