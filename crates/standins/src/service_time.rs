//! The distribution of an endpoint's service times.

use std::time::Duration;

use rand::{
    RngExt,
    rngs::SmallRng, //
};

/// The distribution of an endpoint's service times, at normal speed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServiceTime {
    /// Every request takes this time.
    Fixed(Duration),
    /// Uniformly distributed between the minimum and the maximum.
    Uniform(Duration, Duration),
    /// Exponentially distributed with this mean.
    Exponential(Duration),
}

impl ServiceTime {
    pub(crate) fn draw(self, rng: &mut SmallRng) -> Duration {
        match self {
            Self::Fixed(time) => time,
            Self::Uniform(least, most) => rng.random_range(least..=most.max(least)),
            Self::Exponential(mean) => {
                let share: f64 = rng.random();
                mean.mul_f64(-(1.0 - share).ln())
            }
        }
    }
}
