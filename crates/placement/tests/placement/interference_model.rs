//! Tests of what is learned about classes that slow services.

use std::time::Duration;

use jasminebend_base::{
    ClassKind,
    DomainName,
    ResourceAmount, //
};
use jasminebend_placement::{
    ClassKey,
    InterferenceModel,
    PoolWorker,
    ServiceMeasurement, //
};

const QUOTES: ClassKey = ClassKey(0);
const NOISY: ClassKey = ClassKey(1);
const QUIET: ClassKey = ClassKey(2);
const TARGET: Duration = Duration::from_millis(100);

fn model_with_target() -> InterferenceModel {
    let mut model = InterferenceModel::new();
    model.set_target(QUOTES, TARGET);
    model
}

fn observe_at_start(
    model: &mut InterferenceModel,
    load: f64,
    latency_ratio: f64,
    task_counts: &[(ClassKey, f64)],
) {
    observe(model, 0, load, latency_ratio, task_counts);
}

fn observe(
    model: &mut InterferenceModel,
    seconds: u64,
    load: f64,
    latency_ratio: f64,
    task_counts: &[(ClassKey, f64)],
) {
    model.observe(&ServiceMeasurement {
        measured_at: Duration::from_secs(seconds),
        service: QUOTES,
        latency_p99: TARGET.mul_f64(latency_ratio),
        load,
        task_counts,
    });
}

fn worker(task_counts: &[(ClassKey, u16)]) -> PoolWorker {
    let capacity = ResourceAmount::new(32_000, 128_000);
    let mut worker = PoolWorker::new("worker".into(), DomainName::from("a"), capacity);
    worker.task_counts = task_counts.to_vec();
    worker
}

fn admits(model: &InterferenceModel, class: ClassKey, urgent: bool) -> bool {
    let worker = worker(&[(QUOTES, 1)]);
    model
        .added_interference(&worker, class, ClassKind::Batch, urgent)
        .is_some()
}

#[test]
fn a_harmful_pair_is_excluded_after_two_measurements_and_a_harmless_one_is_not() {
    let mut model = model_with_target();
    for _ in 0..5 {
        observe_at_start(&mut model, 1.0, 0.6, &[(QUOTES, 1.0)]);
    }
    assert!(admits(&model, NOISY, false));
    for _ in 0..2 {
        observe_at_start(&mut model, 1.0, 1.5, &[(QUOTES, 1.0), (NOISY, 1.0)]);
        observe_at_start(&mut model, 1.0, 0.6, &[(QUOTES, 1.0), (QUIET, 1.0)]);
    }
    assert!(!admits(&model, NOISY, false));
    assert!(!admits(&model, NOISY, true));
    assert!(admits(&model, QUIET, false));
}

#[test]
fn a_pair_harmful_at_high_load_is_admitted_once_the_load_stayed_low() {
    let mut model = model_with_target();
    for (load, ratio_alone, ratio_beside) in [(0.2, 0.3, 0.35), (1.0, 0.6, 1.5)] {
        for _ in 0..5 {
            observe_at_start(&mut model, load, ratio_alone, &[(QUOTES, 1.0)]);
            observe_at_start(
                &mut model,
                load,
                ratio_beside,
                &[(QUOTES, 1.0), (NOISY, 1.0)],
            );
        }
    }
    assert!(!admits(&model, NOISY, false));
    observe(&mut model, 30, 0.2, 0.3, &[(QUOTES, 1.0)]);
    assert!(!admits(&model, NOISY, false));
    observe(&mut model, 1800, 0.2, 0.3, &[(QUOTES, 1.0)]);
    assert!(admits(&model, NOISY, false));
}

#[test]
fn only_urgent_tasks_may_raise_the_latency_up_to_the_target() {
    let mut model = model_with_target();
    for _ in 0..10 {
        observe_at_start(&mut model, 1.0, 0.6, &[(QUOTES, 1.0)]);
        observe_at_start(&mut model, 1.0, 0.92, &[(QUOTES, 1.0), (NOISY, 1.0)]);
    }
    assert!(!admits(&model, NOISY, false));
    assert!(admits(&model, NOISY, true));
}

// Guards against a class that is excluded from half the cluster forever: a pair that is kept apart
// because of a wrong estimate is never measured again, so the estimate must decay.
#[test]
fn a_wrong_estimate_decays() {
    let mut model = model_with_target();
    for _ in 0..3 {
        observe_at_start(&mut model, 1.0, 0.6, &[(QUOTES, 1.0)]);
        observe_at_start(&mut model, 1.0, 1.5, &[(QUOTES, 1.0), (NOISY, 1.0)]);
    }
    assert!(!admits(&model, NOISY, false));
    let minutes = (1..240).find(|minutes| {
        model.decay(Duration::from_secs(60 * minutes));
        admits(&model, NOISY, false)
    });
    assert!((5..60).contains(&minutes.unwrap()), "{minutes:?}");
}
