//! Demand statistics of a pool.

use std::time::Duration;

use crate::{
    decaying_sum::DecayingSum,
    short_demand::ShortDemand, //
};

/// The time after which the end of a long-running job counts half.
const RELEASE_HALF_LIFE: Duration = Duration::from_secs(60);

/// Demand statistics of a pool, used for admission control.
#[derive(Debug)]
pub(crate) struct PoolDemand {
    pub(crate) short: ShortDemand,
    /// The CPU of long-running jobs that ended, in millicores.
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
