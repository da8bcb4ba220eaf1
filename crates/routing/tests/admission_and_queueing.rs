//! Admission control, the order of the request queue, and the retry budget.
#![expect(clippy::unwrap_used, reason = "test helpers may panic on failure")]

use std::time::Duration;

use arbtest::arbtest;
use jasminebend_routing::{
    AdmissionControl,
    AdmissionDecision,
    QueueOrder,
    RequestQueue,
    RetryBudget, //
};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns the items of three requests in the order in which the queue returns them at `now`.
fn pop_order(order: QueueOrder, now: Duration) -> Vec<u32> {
    let mut queue = RequestQueue::new(order, 10);
    for (item, arrival, deadline) in [(1, 0, 400), (2, 1, 101), (3, 2, 102)] {
        queue.push(item, ms(arrival), ms(deadline)).unwrap();
    }
    std::iter::from_fn(|| queue.pop(now)).collect()
}

#[test]
fn queue_orders_return_requests_as_documented() {
    assert_eq!(pop_order(QueueOrder::Fifo, ms(5)), [1, 2, 3]);
    assert_eq!(
        pop_order(QueueOrder::EarliestDeadlineFirst, ms(5)),
        [2, 3, 1]
    );
    assert_eq!(pop_order(QueueOrder::AdaptiveLifo, ms(5)), [1, 2, 3]);
    assert_eq!(pop_order(QueueOrder::AdaptiveLifo, ms(300)), [3, 2, 1]);
}

// For any sequence of pushes, pops and removals, the queue must stay within its capacity, lose no
// request, and return the request with the earliest deadline first.
#[test]
fn queue_is_bounded_and_returns_earliest_deadline_first() {
    arbtest(|source| {
        let mut queue = RequestQueue::new(QueueOrder::EarliestDeadlineFirst, 8);
        let mut model: Vec<(u64, u32)> = Vec::new();
        let mut keys = Vec::new();
        for item in 0..source.int_in_range(0..=40)? {
            let deadline = source.int_in_range(0..=9)?;
            match source.int_in_range(0..=3)? {
                0 => {
                    let earliest = model.iter().min().copied();
                    model.retain(|entry| Some(*entry) != earliest);
                    assert_eq!(queue.pop(ms(0)), earliest.map(|(_, item)| item));
                }
                1 if !keys.is_empty() => {
                    let (key, item) = keys.swap_remove(0);
                    let present = model.iter().any(|(_, queued)| *queued == item);
                    model.retain(|(_, queued)| *queued != item);
                    assert_eq!(queue.remove(key), present.then_some(item));
                }
                _ => match queue.push(item, ms(0), ms(deadline)) {
                    Ok(key) => {
                        keys.push((key, item));
                        model.push((deadline, item));
                    }
                    Err(rejected) => assert_eq!((rejected, model.len()), (item, 8)),
                },
            }
            assert_eq!(queue.len(), model.len());
        }
        Ok(())
    });
}

#[test]
fn request_that_would_miss_its_target_is_refused_with_retry_after() {
    let admission = |slot_count, queue_length| AdmissionControl {
        slot_count,
        queue_length,
        service_time: ms(20),
    };
    assert_eq!(admission(10, 0).decide(ms(22)), AdmissionDecision::Queue);
    assert_eq!(admission(10, 40).decide(ms(102)), AdmissionDecision::Queue);
    let retry_after = ms(82);
    assert_eq!(
        admission(10, 40).decide(ms(101)),
        AdmissionDecision::Refuse { retry_after }
    );
    assert!(matches!(
        admission(0, 0).decide(ms(1000)),
        AdmissionDecision::Refuse { .. }
    ));
}

// If a third of the endpoints fail, every request may ask for another attempt. The budget must allow
// further attempts for only a tenth of the first attempts, and no more than its burst size at once.
#[test]
fn further_attempts_stay_within_budget() {
    let mut budget = RetryBudget::new(0.1, 10.0);
    let spent: u32 = (0..10_000)
        .map(|_| {
            budget.deposit();
            u32::from(budget.try_withdraw())
        })
        .sum();
    assert!((990..=1011).contains(&spent), "{spent}");
    (0..10_000).for_each(|_| budget.deposit());
    assert_eq!((0..100).filter(|_| budget.try_withdraw()).count(), 10);
}
