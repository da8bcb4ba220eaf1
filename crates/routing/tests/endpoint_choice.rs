//! Choice of the endpoint that serves a request: picks by cost, latency estimates and backoff.
#![expect(clippy::unwrap_used, reason = "test helpers may panic on failure")]

use std::time::Duration;

use jasminebend_routing::{
    EndpointScore,
    HoldBackoff,
    LatencyEstimate,
    PickRule, //
};
use rand::{
    SeedableRng,
    rngs::SmallRng, //
};

const MEAN_LATENCY: Duration = Duration::from_millis(20);
const SECOND: Duration = Duration::from_secs(1);

/// Returns the score of an endpoint with one successful response.
fn score_with_latency(latency: Duration) -> EndpointScore {
    let mut score = EndpointScore::new();
    score.succeeded(latency);
    score
}

/// Returns how often each endpoint is picked in 1000 picks.
fn pick_counts(scores: &[EndpointScore], rule: PickRule) -> Vec<usize> {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut counts = vec![0; scores.len()];
    for previous_picks in 0..1000 {
        let index = rule.pick(scores, scores.len(), previous_picks, MEAN_LATENCY, &mut rng);
        counts[index.unwrap()] += 1;
    }
    counts
}

// One endpoint fails every request within a millisecond, so that its slot is always the first to be
// free again. Judged by latency alone, it would be the best one, and most callers would get errors.
#[test]
fn fast_failing_endpoint_is_rarely_picked() {
    let mut failing = score_with_latency(Duration::from_millis(1));
    (0..20).for_each(|_| failing.failed());
    let scores = [
        score_with_latency(MEAN_LATENCY),
        failing,
        score_with_latency(MEAN_LATENCY),
        score_with_latency(MEAN_LATENCY),
    ];
    let counts = pick_counts(&scores, PickRule::LeastCost { samples: 8 });
    assert!(counts[1] < 20, "{counts:?}");
    // A few requests must still go to it, or its recovery would never be noticed.
    assert!(counts[1] > 0, "{counts:?}");
}

#[test]
fn slow_busy_and_distant_endpoints_get_fewer_requests() {
    let mut busy = score_with_latency(MEAN_LATENCY);
    (0..3).for_each(|_| busy.started());
    let distant = score_with_latency(MEAN_LATENCY).with_distance(MEAN_LATENCY);
    let scores = [
        score_with_latency(MEAN_LATENCY),
        score_with_latency(5 * MEAN_LATENCY),
        busy,
        distant,
    ];
    let counts = pick_counts(&scores, PickRule::LeastCost { samples: 8 });
    assert!(
        counts[1..].iter().all(|count| *count < counts[0] / 2),
        "{counts:?}"
    );
}

// A new endpoint has no latency samples yet. If its latency counted as zero, it would get every
// request at once.
#[test]
fn new_endpoint_costs_as_much_as_an_average_one() {
    assert!(
        (EndpointScore::new().cost(MEAN_LATENCY)
            - score_with_latency(MEAN_LATENCY).cost(MEAN_LATENCY))
        .abs()
            < 1e-9
    );
}

#[test]
fn nothing_is_picked_without_a_free_slot() {
    for rule in [
        PickRule::Random,
        PickRule::RoundRobin,
        PickRule::LeastOutstanding,
    ] {
        let no_scores: &[EndpointScore] = &[];
        assert_eq!(
            rule.pick(
                no_scores,
                0,
                0,
                MEAN_LATENCY,
                &mut SmallRng::seed_from_u64(0)
            ),
            None
        );
    }
}

#[test]
fn latency_estimate_tracks_mean_and_quantile() {
    let mut estimate = LatencyEstimate::new(0.95);
    (0..20_000_u32)
        .for_each(|number| estimate.observe(Duration::from_millis(u64::from(number * 37 % 100))));
    assert!((40..60).contains(&estimate.mean().as_millis()));
    assert!((85..=100).contains(&estimate.quantile().as_millis()));
}

#[test]
fn backoff_doubles_until_a_success_and_lasts_for_the_requested_minimum() {
    let mut backoff = HoldBackoff::new();
    backoff.hold(Duration::ZERO, SECOND, Duration::ZERO);
    assert!(backoff.holds(Duration::from_millis(999)) && !backoff.holds(SECOND));
    backoff.hold(SECOND, SECOND, Duration::ZERO);
    assert!(backoff.holds(2 * SECOND) && !backoff.holds(3 * SECOND));
    backoff.succeeded();
    backoff.hold(3 * SECOND, SECOND, 9 * SECOND);
    assert!(backoff.holds(11 * SECOND) && !backoff.holds(12 * SECOND));
}
