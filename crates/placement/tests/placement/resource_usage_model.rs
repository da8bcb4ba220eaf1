//! Tests of the reservations that are learned for classes whose declared sizes are wrong.

use jasminebend_base::ResourceAmount;
use jasminebend_placement::{
    ClassKey,
    ResourceUsageModel, //
};

const CLASS: ClassKey = ClassKey(3);

fn reservation_after(
    declared: ResourceAmount,
    used: ResourceAmount,
    measurements: usize,
) -> ResourceAmount {
    let mut model = ResourceUsageModel::new();
    for _ in 0..measurements {
        model.observe(CLASS, declared, used);
    }
    model.reservation(CLASS, declared)
}

#[test]
fn an_underdeclared_class_grows_at_the_first_measurement() {
    let declared = ResourceAmount::new(1000, 1000);
    let used = ResourceAmount::new(10_000, 5000);
    let learned = reservation_after(declared, used, 1);
    assert!(used.fits_in(learned), "{learned:?}");
    assert!(learned.cpu_millis < 15_000, "{learned:?}");
}

#[test]
fn an_overdeclared_class_shrinks_its_cpu_first_and_its_memory_later_and_less() {
    let declared = ResourceAmount::new(10_000, 10_000);
    let used = ResourceAmount::new(1000, 1000);
    assert_eq!(reservation_after(declared, used, 3), declared);
    let learned = reservation_after(declared, used, 20);
    assert!((1000..2000).contains(&learned.cpu_millis), "{learned:?}");
    assert_eq!(learned.memory_mib, 10_000);
    let learned = reservation_after(declared, used, 60);
    assert_eq!(learned.memory_mib, 2_500);
}

#[test]
fn a_correctly_declared_class_keeps_its_size() {
    let declared = ResourceAmount::new(1000, 1000);
    assert_eq!(reservation_after(declared, declared, 100), declared);
}

// Guards against a class whose reservation stays large forever because a few runs used much more
// than the others.
#[test]
fn old_measurements_decay() {
    let declared = ResourceAmount::new(1000, 1000);
    let mut model = ResourceUsageModel::new();
    for _ in 0..10 {
        model.observe(CLASS, declared, ResourceAmount::new(8000, 1000));
    }
    assert!(model.reservation(CLASS, declared).cpu_millis > 8000);
    for _ in 0..150 {
        model.observe(CLASS, declared, declared);
    }
    assert_eq!(model.reservation(CLASS, declared), declared);
}
