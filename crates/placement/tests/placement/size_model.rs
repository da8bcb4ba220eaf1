//! Declared sizes that are off.

use jasminebend_base::ResourceAmount;
use jasminebend_placement::{
    ClassKey,
    SizeModel, //
};

const CLASS: ClassKey = ClassKey(3);

fn learn(declared: ResourceAmount, used: ResourceAmount, runs: usize) -> ResourceAmount {
    let mut sizes = SizeModel::new();
    for _ in 0..runs {
        sizes.observe(CLASS, declared, used);
    }
    sizes.reservation(CLASS, declared)
}

#[test]
fn an_underdeclared_class_grows_at_the_first_measurement() {
    let declared = ResourceAmount::new(1000, 1000);
    let used = ResourceAmount::new(10_000, 5000);
    let learned = learn(declared, used, 1);
    assert!(used.fits_in(learned), "{learned:?}");
    assert!(learned.cpu_millis < 15_000, "{learned:?}");
}

#[test]
fn an_overdeclared_class_shrinks_its_processors_late_and_its_memory_later_and_less() {
    let declared = ResourceAmount::new(10_000, 10_000);
    let used = ResourceAmount::new(1000, 1000);
    assert_eq!(learn(declared, used, 3), declared);
    let learned = learn(declared, used, 20);
    assert!((1000..2000).contains(&learned.cpu_millis), "{learned:?}");
    assert_eq!(learned.memory_mib, 10_000);
    let learned = learn(declared, used, 60);
    assert_eq!(learned.memory_mib, 2_500);
}

#[test]
fn a_class_that_declares_rightly_keeps_its_size() {
    let declared = ResourceAmount::new(1000, 1000);
    assert_eq!(learn(declared, declared, 100), declared);
}

// A class that grew, on a few odd runs, must not stay large for good.
#[test]
fn what_was_learned_is_forgotten() {
    let declared = ResourceAmount::new(1000, 1000);
    let mut sizes = SizeModel::new();
    for _ in 0..10 {
        sizes.observe(CLASS, declared, ResourceAmount::new(8000, 1000));
    }
    assert!(sizes.reservation(CLASS, declared).cpu_millis > 8000);
    for _ in 0..150 {
        sizes.observe(CLASS, declared, declared);
    }
    assert_eq!(sizes.reservation(CLASS, declared), declared);
}
