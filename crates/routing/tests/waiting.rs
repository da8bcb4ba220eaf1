//! Who waits, in which order, and who is refused.
#![expect(
    clippy::unwrap_used,
    reason = "a test's helpers panic as the test does"
)]

use std::time::Duration;

use arbtest::arbtest;
use jasminebend_routing::{
    Admission,
    AdmissionRule,
    QueueOrder,
    RequestQueue,
    RetryBudget, //
};

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn order_of(order: QueueOrder, now: Duration) -> Vec<u32> {
    let mut queue = RequestQueue::new(order, 10);
    for (item, arrival, deadline) in [(1, 0, 400), (2, 1, 101), (3, 2, 102)] {
        queue.push(item, ms(arrival), ms(deadline)).unwrap();
    }
    std::iter::from_fn(|| queue.pop(now)).collect()
}

#[test]
fn each_order_is_as_named() {
    assert_eq!(order_of(QueueOrder::FirstInFirstOut, ms(5)), [1, 2, 3]);
    assert_eq!(order_of(QueueOrder::EarliestDeadline, ms(5)), [2, 3, 1]);
    assert_eq!(order_of(QueueOrder::AdaptiveLastIn, ms(5)), [1, 2, 3]);
    assert_eq!(order_of(QueueOrder::AdaptiveLastIn, ms(300)), [3, 2, 1]);
}

// Whatever comes and goes, the queue stays within its bound, loses nobody, and always gives the
// earliest deadline.
#[test]
fn the_queue_is_bounded_and_gives_the_earliest_deadline() {
    arbtest(|source| {
        let mut queue = RequestQueue::new(QueueOrder::EarliestDeadline, 8);
        let mut model: Vec<(u64, u32)> = Vec::new();
        let mut keys = Vec::new();
        for item in 0..source.int_in_range(0..=40)? {
            let deadline = source.int_in_range(0..=9)?;
            match source.int_in_range(0..=3)? {
                0 => {
                    let least = model.iter().min().copied();
                    model.retain(|entry| Some(*entry) != least);
                    assert_eq!(queue.pop(ms(0)), least.map(|(_, item)| item));
                }
                1 if !keys.is_empty() => {
                    let (key, item) = keys.swap_remove(0);
                    let present = model.iter().any(|(_, own)| *own == item);
                    model.retain(|(_, own)| *own != item);
                    assert_eq!(queue.remove(key), present.then_some(item));
                }
                _ => match queue.push(item, ms(0), ms(deadline)) {
                    Ok(key) => {
                        keys.push((key, item));
                        model.push((deadline, item));
                    }
                    Err(back) => assert_eq!((back, model.len()), (item, 8)),
                },
            }
            assert_eq!(queue.len(), model.len());
        }
        Ok(())
    });
}

#[test]
fn who_would_miss_its_target_is_refused_with_the_time_to_come_back() {
    let rule = |slots, waiting| AdmissionRule {
        slots,
        waiting,
        service_time: ms(20),
    };
    assert_eq!(rule(10, 0).decide(ms(22)), Admission::Wait);
    assert_eq!(rule(10, 40).decide(ms(102)), Admission::Wait);
    let retry_after = ms(82);
    assert_eq!(
        rule(10, 40).decide(ms(101)),
        Admission::Refuse { retry_after }
    );
    assert!(matches!(
        rule(0, 0).decide(ms(1000)),
        Admission::Refuse { .. }
    ));
}

// A third of the endpoints fail and every request would like to try again: what the budget lets
// through is a tenth of the first attempts, and no more than its burst at once.
#[test]
fn further_attempts_stay_within_the_budget() {
    let mut budget = RetryBudget::new(0.1, 10.0);
    let spent: u32 = (0..10_000)
        .map(|_| {
            budget.earn();
            u32::from(budget.spend())
        })
        .sum();
    assert!((990..=1011).contains(&spent), "{spent}");
    (0..10_000).for_each(|_| budget.earn());
    assert_eq!((0..100).filter(|_| budget.spend()).count(), 10);
}
