//! What is learned of the demand for a pool.

use std::time::Duration;

use crate::{
    decaying_sum::DecayingSum,
    short_demand::ShortDemand, //
};

/// After how long the end of a long-running job counts half.
const RELEASE_HALF_LIFE: Duration = Duration::from_secs(60);

/// What is learned of the demand for a pool.
#[derive(Debug)]
pub(crate) struct PoolDemand {
    pub(crate) short: ShortDemand,
    /// The processors of long-running jobs that ended, in thousandths.
    pub(crate) released: DecayingSum,
}

impl Default for PoolDemand {
    fn default() -> Self {
        Self {
            short: ShortDemand::default(),
            released: DecayingSum::new(RELEASE_HALF_LIFE),
        }
    }
}
