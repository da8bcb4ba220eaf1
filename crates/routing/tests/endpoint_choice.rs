//! Choice of the endpoint that serves a request: picks by cost, latency estimates and backoff.
#![expect(clippy::unwrap_used, reason = "test helpers may panic on failure")]

use std::time::Duration;

use jasminebend_routing::{
    EndpointBackoff,
    EndpointScore,
    LatencyEstimate,
    LoadBalancingPolicy, //
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
    score.record_success(latency);
    score
}

/// Returns how often each endpoint is picked in 1000 picks.
fn pick_counts(scores: &[EndpointScore], rule: LoadBalancingPolicy) -> Vec<usize> {
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
    (0..20).for_each(|_| failing.record_error());
    let scores = [
        score_with_latency(MEAN_LATENCY),
        failing,
        score_with_latency(MEAN_LATENCY),
        score_with_latency(MEAN_LATENCY),
    ];
    let counts = pick_counts(&scores, LoadBalancingPolicy::LeastCost { samples: 8 });
    assert!(counts[1] < 20, "{counts:?}");
    // A few requests must still go to it, or its recovery would never be noticed.
    assert!(counts[1] > 0, "{counts:?}");
}

#[test]
fn slow_busy_and_distant_endpoints_get_fewer_requests() {
    let mut busy = score_with_latency(MEAN_LATENCY);
    (0..3).for_each(|_| busy.record_start());
    let distant = score_with_latency(MEAN_LATENCY).with_round_trip_time(MEAN_LATENCY);
    let scores = [
        score_with_latency(MEAN_LATENCY),
        score_with_latency(5 * MEAN_LATENCY),
        busy,
        distant,
    ];
    let counts = pick_counts(&scores, LoadBalancingPolicy::LeastCost { samples: 8 });
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
        LoadBalancingPolicy::Random,
        LoadBalancingPolicy::RoundRobin,
        LoadBalancingPolicy::LeastOutstanding,
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
    let mut backoff = EndpointBackoff::new();
    backoff.back_off(Duration::ZERO, SECOND, Duration::ZERO);
    assert!(backoff.is_active(Duration::from_millis(999)) && !backoff.is_active(SECOND));
    backoff.back_off(SECOND, SECOND, Duration::ZERO);
    assert!(backoff.is_active(2 * SECOND) && !backoff.is_active(3 * SECOND));
    backoff.record_success();
    backoff.back_off(3 * SECOND, SECOND, 9 * SECOND);
    assert!(backoff.is_active(11 * SECOND) && !backoff.is_active(12 * SECOND));
}
