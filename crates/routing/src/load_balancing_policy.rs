//! Load balancing: picks one of the free slots.

use std::time::Duration;

use rand::{
    Rng,
    RngExt, //
};

use crate::EndpointScore;

/// One in this many [`LoadBalancingPolicy::LeastCost`] picks, on average, is uniformly random.
const PICKS_PER_EXPLORATION: u32 = 50;

/// List of the free slots that a request may take, each with the score of its endpoint.
pub trait CandidateScores {
    /// Returns the score of the endpoint whose slot is at `index` in the list.
    fn score(&self, index: usize) -> &EndpointScore;
}

impl CandidateScores for [EndpointScore] {
    fn score(&self, index: usize) -> &EndpointScore {
        &self[index]
    }
}

/// Load balancing policy by which one of the free slots is picked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadBalancingPolicy {
    /// Picks uniformly at random.
    Random,
    /// Picks the candidates in turn.
    RoundRobin,
    /// Picks the candidate whose endpoint has the fewest outstanding requests.
    LeastOutstanding,
    /// Draws some candidates at random and picks the one with the lowest
    /// [`EndpointScore::cost`].
    ///
    /// One pick in 50, on average, is uniformly random instead. Without these, the recovery of an
    /// endpoint that once failed or was slow would never be noticed.
    LeastCost {
        /// Number of candidates to draw, with replacement; zero counts as one.
        samples: usize,
    },
}

impl LoadBalancingPolicy {
    /// Returns the index of the picked candidate, or `None` if `count` is zero.
    ///
    /// `count` is the number of candidates, `previous_picks` the number of picks made before this
    /// one, and `mean` the mean latency of the service, which replaces the latency of an endpoint
    /// without samples.
    pub fn pick<Candidates, Generator>(
        self,
        candidates: &Candidates,
        count: usize,
        previous_picks: u64,
        mean: Duration,
        rng: &mut Generator,
    ) -> Option<usize>
    where
        Candidates: CandidateScores + ?Sized,
        Generator: Rng + ?Sized,
    {
        if count == 0 {
            return None;
        }
        match self {
            Self::Random => Some(rng.random_range(0..count)),
            Self::RoundRobin => usize::try_from(previous_picks)
                .ok()
                .map(|picks| picks % count),
            Self::LeastOutstanding => {
                (0..count).min_by_key(|index| candidates.score(*index).outstanding())
            }
            Self::LeastCost { .. } if rng.random_ratio(1, PICKS_PER_EXPLORATION) => {
                Some(rng.random_range(0..count))
            }
            Self::LeastCost { samples } => (0..samples.max(1))
                .map(|_| rng.random_range(0..count))
                .min_by(|left, right| {
                    let left = candidates.score(*left).cost(mean);
                    left.total_cmp(&candidates.score(*right).cost(mean))
                }),
        }
    }
}
