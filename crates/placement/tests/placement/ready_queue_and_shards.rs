//! Tests of the order of the ready queue, of the latest start, and of the assignment to shards.

use std::time::Duration;

use jasminebend_placement::{
    JobId,
    LatestStart,
    ReadyQueue,
    TaskId,
    shard_of_job,
    shard_of_rack, //
};

fn task(job: u64, index: u32) -> TaskId {
    let job = JobId(job);
    TaskId { job, index }
}

fn latest_start(target: u64, run_time: u64) -> LatestStart {
    let hour = Duration::from_secs(3600);
    let seconds = Duration::from_secs;
    LatestStart::new(hour, Duration::ZERO, seconds(target), seconds(run_time))
}

#[test]
fn the_job_with_the_least_laxity_comes_first() {
    let mut queue = ReadyQueue::new();
    queue.push(task(1, 0), latest_start(1000, 10));
    queue.push(task(2, 0), latest_start(2000, 1900));
    queue.push(task(3, 0), latest_start(500, 10));
    queue.push(task(3, 1), latest_start(500, 10));
    let mut order = Vec::new();
    let mut last = None;
    while let Some((latest_start, job)) = queue.next_after(last) {
        last = Some((latest_start, job));
        order.push(job.0);
    }
    assert_eq!(order, [2, 3, 1]);
    assert_eq!(queue.len(), 4);
    queue.pop(JobId(3));
    queue.remove(JobId(2));
    assert_eq!((queue.len(), queue.peek(JobId(3))), (2, Some(task(3, 0))));
}

#[test]
fn an_overdue_job_has_negative_laxity() {
    let overdue = LatestStart::new(
        Duration::from_secs(10),
        Duration::from_secs(9000),
        Duration::from_secs(60),
        Duration::from_secs(60),
    );
    assert!(overdue.laxity_ms(Duration::from_secs(10)) < 0);
}

// Guards against a hash that differs between daemons or releases: two daemons that disagree about a
// rack's shard would both start tasks on it.
#[test]
fn racks_and_jobs_are_assigned_to_fixed_shards() {
    assert_eq!(shard_of_rack("rack-17", 16), 7);
    assert_eq!(shard_of_job(JobId(0x1234_5678_9abc_def0), 16), 8);
    let mut counts = [0; 16];
    for rack in 0..1600 {
        counts[usize::from(shard_of_rack(&format!("rack-{rack}"), 16))] += 1;
    }
    assert!(
        counts.iter().all(|count| (50..160).contains(count)),
        "{counts:?}"
    );
}
