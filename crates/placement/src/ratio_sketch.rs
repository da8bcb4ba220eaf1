//! A quantile sketch of ratios that forgets.

use serde::{
    Deserialize,
    Serialize, //
};

const BINS: usize = 64;
const BINS_PER_DOUBLING: f32 = 4.0;
const MIDDLE: f32 = 32.0;
const KEPT: f32 = 0.98;

/// A quantile sketch of the ratios of measured to declared: 64 bins from 1/256 to 256, each a
/// factor of 1.19 wide. Each measurement makes the earlier ones count 2% less.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct RatioSketch {
    bins: Vec<f32>,
    weight: f32,
}

impl Default for RatioSketch {
    fn default() -> Self {
        Self {
            bins: vec![0.0; BINS],
            weight: 0.0,
        }
    }
}

impl RatioSketch {
    pub(crate) fn observe(&mut self, declared: u64, used: u64) {
        let ratio = used as f32 / declared.max(1) as f32;
        for bin in &mut self.bins {
            *bin *= KEPT;
        }
        self.bins[bin_of(ratio)] += 1.0;
        self.weight = self.weight * KEPT + 1.0;
    }

    pub(crate) fn weight(&self) -> f32 {
        self.weight
    }

    /// Returns the upper edge of the bin that holds a quantile.
    pub(crate) fn quantile(&self, share: f32) -> Option<f32> {
        if self.weight == 0.0 {
            return None;
        }
        let mut left = self.weight * share;
        let full = self.bins.iter().position(|bin| {
            left -= bin;
            left <= 0.0
        });
        let last = self.bins.iter().rposition(|bin| *bin > 0.0);
        full.or(last).map(upper_edge)
    }
}

fn bin_of(ratio: f32) -> usize {
    if ratio <= 0.0 {
        return 0;
    }
    let bin = ratio.log2() * BINS_PER_DOUBLING + MIDDLE;
    // CAST: Clamped to the bins.
    bin.ceil().clamp(0.0, (BINS - 1) as f32) as usize
}

fn upper_edge(bin: usize) -> f32 {
    ((bin as f32 - MIDDLE) / BINS_PER_DOUBLING).exp2()
}
