//! The order in which tasks wait, and the homes of jobs.

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

fn start(target: u64, run: u64) -> LatestStart {
    let hour = Duration::from_secs(3600);
    let seconds = Duration::from_secs;
    LatestStart::new(hour, Duration::ZERO, seconds(target), seconds(run))
}

#[test]
fn the_job_with_the_least_laxity_comes_first() {
    let mut queue = ReadyQueue::new();
    queue.push(task(1, 0), start(1000, 10));
    queue.push(task(2, 0), start(2000, 1900));
    queue.push(task(3, 0), start(500, 10));
    queue.push(task(3, 1), start(500, 10));
    let mut order = Vec::new();
    let mut at = None;
    while let Some((start, job)) = queue.next_after(at) {
        at = Some((start, job));
        order.push(job.0);
    }
    assert_eq!(order, [2, 3, 1]);
    assert_eq!(queue.len(), 4);
    queue.pop(JobId(3));
    queue.remove(JobId(2));
    assert_eq!((queue.len(), queue.peek(JobId(3))), (2, Some(task(3, 0))));
}

#[test]
fn a_job_past_its_time_has_negative_laxity_and_still_an_order() {
    let late = LatestStart::new(
        Duration::from_secs(10),
        Duration::from_secs(9000),
        Duration::from_secs(60),
        Duration::from_secs(60),
    );
    assert!(late.laxity_ms(Duration::from_secs(10)) < 0);
}

// Two daemons, or two releases, that disagreed on a rack's shard would both start tasks there.
#[test]
fn racks_and_jobs_keep_their_shards() {
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
