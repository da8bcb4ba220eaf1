//! A quantile sketch of ratios in which older measurements decay.

use serde::{
    Deserialize,
    Serialize, //
};

const BIN_COUNT: usize = 64;
const BINS_PER_DOUBLING: f32 = 4.0;
/// The bin whose upper edge is the ratio 1.
const UNIT_RATIO_BIN: f32 = 32.0;
/// The factor by which each measurement scales the weight of the earlier ones.
const DECAY_FACTOR: f32 = 0.98;

/// A quantile sketch of the ratios of measured to declared use: 64 bins from 1/256 to 256, each a
/// factor of 1.19 wide. Each measurement reduces the weight of the earlier ones by 2%.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct RatioSketch {
    /// The decayed weight of the measurements in each bin.
    bins: Vec<f32>,
    /// The sum of the weights of all measurements.
    weight: f32,
}

impl Default for RatioSketch {
    fn default() -> Self {
        Self {
            bins: vec![0.0; BIN_COUNT],
            weight: 0.0,
        }
    }
}

impl RatioSketch {
    pub(crate) fn observe(&mut self, declared: u64, used: u64) {
        let ratio = used as f32 / declared.max(1) as f32;
        for weight in &mut self.bins {
            *weight *= DECAY_FACTOR;
        }
        self.bins[bin_of(ratio)] += 1.0;
        self.weight = self.weight * DECAY_FACTOR + 1.0;
    }

    pub(crate) fn weight(&self) -> f32 {
        self.weight
    }

    /// Returns the upper edge of the bin that contains a quantile (`share` from 0 to 1), or `None`
    /// without measurements.
    pub(crate) fn quantile(&self, share: f32) -> Option<f32> {
        if self.weight == 0.0 {
            return None;
        }
        let mut remaining_weight = self.weight * share;
        let bin = self.bins.iter().position(|weight| {
            remaining_weight -= weight;
            remaining_weight <= 0.0
        });
        let last_bin = self.bins.iter().rposition(|weight| *weight > 0.0);
        bin.or(last_bin).map(upper_edge)
    }
}

fn bin_of(ratio: f32) -> usize {
    if ratio <= 0.0 {
        return 0;
    }
    let bin = ratio.log2() * BINS_PER_DOUBLING + UNIT_RATIO_BIN;
    // CAST: The value is clamped to the range of bin indices.
    bin.ceil().clamp(0.0, (BIN_COUNT - 1) as f32) as usize
}

fn upper_edge(bin: usize) -> f32 {
    ((bin as f32 - UNIT_RATIO_BIN) / BINS_PER_DOUBLING).exp2()
}
