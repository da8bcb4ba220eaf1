//! What was learned of services and fillers, as it is kept.

use serde::{
    Deserialize,
    Serialize, //
};

/// What an owner has learned of how fillers slow services, kept for its successor: to learn it anew costs every
/// service some seconds above its target. It binds nobody; an old one is better than none.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LearnedRecord {
    /// The images that serve.
    pub services: Vec<LearnedService>,
}

/// What was learned of one image that serves.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LearnedService {
    /// The image.
    pub image: String,
    /// The least tail seen, as a share of the target.
    pub least: f32,
    /// The variance of one observation of its load.
    #[serde(default)]
    pub noise: f32,
    /// What each image that fills beside it adds.
    pub fillers: Vec<(String, LearnedEffect)>,
}

/// A figure and how sure it is.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct LearnedEffect {
    /// The figure, as a share of a load.
    pub mean: f32,
    /// Its variance.
    pub variance: f32,
}
