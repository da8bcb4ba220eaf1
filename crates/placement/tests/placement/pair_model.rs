//! Classes that hurt each other.

use std::time::Duration;

use jasminebend_base::{
    ClassKind,
    DomainName,
    ResourceAmount, //
};
use jasminebend_placement::{
    ClassKey,
    PairModel,
    PoolWorker,
    ServiceReading, //
};

const QUOTES: ClassKey = ClassKey(0);
const NOISY: ClassKey = ClassKey(1);
const QUIET: ClassKey = ClassKey(2);
const TARGET: Duration = Duration::from_millis(100);

fn model() -> PairModel {
    let mut pairs = PairModel::new();
    pairs.set_target(QUOTES, TARGET);
    pairs
}

fn read(pairs: &mut PairModel, load: f64, share: f64, company: &[(ClassKey, f64)]) {
    read_at(pairs, 0, load, share, company);
}

fn read_at(
    pairs: &mut PairModel,
    seconds: u64,
    load: f64,
    share: f64,
    company: &[(ClassKey, f64)],
) {
    pairs.observe(&ServiceReading {
        measured: Duration::from_secs(seconds),
        service: QUOTES,
        latency_p99: TARGET.mul_f64(share),
        load,
        company,
    });
}

fn worker(company: &[(ClassKey, u16)]) -> PoolWorker {
    let capacity = ResourceAmount::new(32_000, 128_000);
    let mut worker = PoolWorker::new("worker".into(), DomainName::from("a"), capacity);
    worker.company = company.to_vec();
    worker
}

fn admits(pairs: &PairModel, class: ClassKey, urgent: bool) -> bool {
    let worker = worker(&[(QUOTES, 1)]);
    pairs
        .harm(&worker, class, ClassKind::Batch, urgent)
        .is_some()
}

#[test]
fn a_bad_pair_is_learned_in_two_late_measurements_and_a_good_one_is_not() {
    let mut pairs = model();
    for _ in 0..5 {
        read(&mut pairs, 1.0, 0.6, &[(QUOTES, 1.0)]);
    }
    assert!(admits(&pairs, NOISY, false));
    for _ in 0..2 {
        read(&mut pairs, 1.0, 1.5, &[(QUOTES, 1.0), (NOISY, 1.0)]);
        read(&mut pairs, 1.0, 0.6, &[(QUOTES, 1.0), (QUIET, 1.0)]);
    }
    assert!(!admits(&pairs, NOISY, false));
    assert!(!admits(&pairs, NOISY, true));
    assert!(admits(&pairs, QUIET, false));
}

#[test]
fn a_pair_that_hurts_at_high_load_is_admitted_once_the_load_stayed_low() {
    let mut pairs = model();
    for (load, alone, beside) in [(0.2, 0.3, 0.35), (1.0, 0.6, 1.5)] {
        for _ in 0..5 {
            read(&mut pairs, load, alone, &[(QUOTES, 1.0)]);
            read(&mut pairs, load, beside, &[(QUOTES, 1.0), (NOISY, 1.0)]);
        }
    }
    assert!(!admits(&pairs, NOISY, false));
    read_at(&mut pairs, 30, 0.2, 0.3, &[(QUOTES, 1.0)]);
    assert!(!admits(&pairs, NOISY, false));
    read_at(&mut pairs, 1800, 0.2, 0.3, &[(QUOTES, 1.0)]);
    assert!(admits(&pairs, NOISY, false));
}

#[test]
fn only_urgent_work_goes_up_to_the_target_itself() {
    let mut pairs = model();
    for _ in 0..10 {
        read(&mut pairs, 1.0, 0.6, &[(QUOTES, 1.0)]);
        read(&mut pairs, 1.0, 0.92, &[(QUOTES, 1.0), (NOISY, 1.0)]);
    }
    assert!(!admits(&pairs, NOISY, false));
    assert!(admits(&pairs, NOISY, true));
}

// A pair kept apart by a wrong belief is never measured again, and half the cluster stays closed to
// a class for good.
#[test]
fn a_wrong_belief_is_forgotten() {
    let mut pairs = model();
    for _ in 0..3 {
        read(&mut pairs, 1.0, 0.6, &[(QUOTES, 1.0)]);
        read(&mut pairs, 1.0, 1.5, &[(QUOTES, 1.0), (NOISY, 1.0)]);
    }
    assert!(!admits(&pairs, NOISY, false));
    let minutes = (1..240).find(|minutes| {
        pairs.forget(Duration::from_secs(60 * minutes));
        admits(&pairs, NOISY, false)
    });
    assert!((5..60).contains(&minutes.unwrap()), "{minutes:?}");
}
