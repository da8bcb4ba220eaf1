//! Which endpoint takes a request.
#![expect(
    clippy::unwrap_used,
    reason = "a test's helpers panic as the test does"
)]

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

const MEAN: Duration = Duration::from_millis(20);
const SECOND: Duration = Duration::from_secs(1);

fn known(latency: Duration) -> EndpointScore {
    let mut score = EndpointScore::new();
    score.succeeded(latency);
    score
}

fn picks(scores: &[EndpointScore], rule: PickRule) -> Vec<usize> {
    let mut source = SmallRng::seed_from_u64(1);
    let mut counts = vec![0; scores.len()];
    for turn in 0..1000 {
        let place = rule.pick(scores, scores.len(), turn, MEAN, &mut source);
        counts[place.unwrap()] += 1;
    }
    counts
}

// One endpoint fails every request within a millisecond. It is always the first to be free again,
// and by latency alone would look like the best: most callers would see its errors.
#[test]
fn an_endpoint_that_fails_fast_draws_no_requests() {
    let mut failing = known(Duration::from_millis(1));
    (0..20).for_each(|_| failing.failed());
    let scores = [known(MEAN), failing, known(MEAN), known(MEAN)];
    let counts = picks(&scores, PickRule::LeastCost { samples: 8 });
    assert!(counts[1] < 20, "{counts:?}");
    // It still gets the odd request, by which its recovery is noticed.
    assert!(counts[1] > 0, "{counts:?}");
}

#[test]
fn slow_busy_and_distant_endpoints_get_less() {
    let mut busy = known(MEAN);
    (0..3).for_each(|_| busy.started());
    let distant = known(MEAN).with_distance(MEAN);
    let scores = [known(MEAN), known(5 * MEAN), busy, distant];
    let counts = picks(&scores, PickRule::LeastCost { samples: 8 });
    assert!(
        counts[1..].iter().all(|count| *count < counts[0] / 2),
        "{counts:?}"
    );
}

// A new endpoint has no latency yet. Taken for zero, it would get every request at once.
#[test]
fn an_unknown_endpoint_counts_as_an_average_one() {
    assert!((EndpointScore::new().cost(MEAN) - known(MEAN).cost(MEAN)).abs() < 1e-9);
}

#[test]
fn without_a_free_slot_nothing_is_picked() {
    for rule in [
        PickRule::Random,
        PickRule::RoundRobin,
        PickRule::LeastOutstanding,
    ] {
        let none: &[EndpointScore] = &[];
        assert_eq!(
            rule.pick(none, 0, 0, MEAN, &mut SmallRng::seed_from_u64(0)),
            None
        );
    }
}

#[test]
fn the_estimate_follows_the_mean_and_the_quantile() {
    let mut estimate = LatencyEstimate::new(0.95);
    (0..20_000_u32)
        .for_each(|number| estimate.observe(Duration::from_millis(u64::from(number * 37 % 100))));
    assert!((40..60).contains(&estimate.mean().as_millis()));
    assert!((85..=100).contains(&estimate.quantile().as_millis()));
}

#[test]
fn an_endpoint_that_refuses_is_left_alone_for_longer_each_time() {
    let mut hold = HoldBackoff::new();
    hold.hold(Duration::ZERO, SECOND, Duration::ZERO);
    assert!(hold.holds(Duration::from_millis(999)) && !hold.holds(SECOND));
    hold.hold(SECOND, SECOND, Duration::ZERO);
    assert!(hold.holds(2 * SECOND) && !hold.holds(3 * SECOND));
    hold.succeeded();
    hold.hold(3 * SECOND, SECOND, 9 * SECOND);
    assert!(hold.holds(11 * SECOND) && !hold.holds(12 * SECOND));
}
