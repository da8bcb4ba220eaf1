//! How long an endpoint works on a request.

use std::time::Duration;

use rand::{
    RngExt,
    rngs::SmallRng, //
};

/// How long an endpoint works on a request, at its normal speed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServiceTime {
    /// Always so long.
    Fixed(Duration),
    /// Anything between both, each as likely as the other.
    Uniform(Duration, Duration),
    /// Exponentially distributed with this mean.
    Exponential(Duration),
}

impl ServiceTime {
    pub(crate) fn draw(self, source: &mut SmallRng) -> Duration {
        match self {
            Self::Fixed(time) => time,
            Self::Uniform(least, most) => source.random_range(least..=most.max(least)),
            Self::Exponential(mean) => {
                let share: f64 = source.random();
                mean.mul_f64(-(1.0 - share).ln())
            }
        }
    }
}
