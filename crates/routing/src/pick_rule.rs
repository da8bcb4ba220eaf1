//! Picks one of the free slots.

use std::time::Duration;

use rand::{
    Rng,
    RngExt, //
};

use crate::EndpointScore;

const EXPLORE_ONE_IN: u32 = 50;

/// A free slot that a request may take, by its endpoint's score.
pub trait PickCandidate {
    /// Returns the score of the candidate at this place.
    fn score(&self, index: usize) -> &EndpointScore;
}

impl PickCandidate for [EndpointScore] {
    fn score(&self, index: usize) -> &EndpointScore {
        &self[index]
    }
}

/// How one of the free slots is picked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PickRule {
    /// Any.
    Random,
    /// In turn.
    RoundRobin,
    /// The endpoint with the fewest requests outstanding of all.
    LeastOutstanding,
    /// The endpoint of the least cost of so many drawn at random; now and then any, without which
    /// an endpoint that once failed or was slow would never be seen to have recovered.
    LeastCost {
        /// The candidates that are drawn; at least one.
        samples: usize,
    },
}

impl PickRule {
    /// Returns the place of the pick among `count` candidates, or `None` if there are none; `turn`
    /// is the number of picks made so far.
    pub fn pick<Candidates, Source>(
        self,
        candidates: &Candidates,
        count: usize,
        turn: u64,
        mean: Duration,
        source: &mut Source,
    ) -> Option<usize>
    where
        Candidates: PickCandidate + ?Sized,
        Source: Rng + ?Sized,
    {
        if count == 0 {
            return None;
        }
        match self {
            Self::Random => Some(source.random_range(0..count)),
            Self::RoundRobin => usize::try_from(turn).ok().map(|turn| turn % count),
            Self::LeastOutstanding => {
                (0..count).min_by_key(|index| candidates.score(*index).outstanding())
            }
            Self::LeastCost { .. } if source.random_ratio(1, EXPLORE_ONE_IN) => {
                Some(source.random_range(0..count))
            }
            Self::LeastCost { samples } => (0..samples.max(1))
                .map(|_| source.random_range(0..count))
                .min_by(|left, right| {
                    let left = candidates.score(*left).cost(mean);
                    left.total_cmp(&candidates.score(*right).cost(mean))
                }),
        }
    }
}
