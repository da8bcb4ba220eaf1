//! Owners that read jobs again, or for the first time, while parts of the store fail.

use std::{
    ops::Range,
    time::Duration, //
};

use jasminebend_dispatch::{
    JobKey,
    JobOutcome,
    JobProgress, //
};
use jasminebend_fleet::{
    CallerAnswer,
    CallerVerb,
    JobRecord,
    StoreRow,
    StoreTable,
    TOKENS_PER_TERM, //
};
use tokio::time;

use crate::test_fleet::{
    TestFleet,
    job,
    run_simulated,
    send_request,
    submit,
    wait_for_progress, //
};

const COMPLETED: JobProgress = JobProgress::Ended(JobOutcome::Completed);
/// The part that is read first.
const LAST_PART: &str = "j15";
/// Enough for the owner to read the jobs meanwhile, and to run a task; a call that takes 0.3 s is given up.
const SLOW_CLAIM_TIME: Duration = Duration::from_millis(290);
const SHORT_RUN_TIME: Duration = Duration::from_millis(10);
const SHORT_LATENCY: Duration = Duration::from_millis(2);

fn first_part(number: u64) -> String {
    format!("j{}", JobKey::new(number).partition(16))
}

/// Returns the number of starts of two jobs, of which the first has completed before. The owner reads all jobs again while the
/// store is partly away and slow to confirm it; the second job is accepted `offset` before that reading may end.
async fn starts_of_job_watched_while_reading(phase: Duration, offset: Duration) -> usize {
    let fleet = TestFleet::with_runtime_clock(2);
    let owner = fleet.daemon();
    submit(&owner.job_api, 99, &job(&[(1, &[])])).await;
    wait_for_progress(&owner.job_api, 99, COMPLETED).await;
    let client = &owner.store_client;
    client.failing_parts.borrow_mut().push("j0".to_owned());
    client.forget_history();
    time::sleep(Duration::from_secs(1)).await;
    client.failing_parts.borrow_mut().push("s0".to_owned());
    time::sleep(Duration::from_secs(3)).await;
    let only_owner_row = |part: &String| part == "s0";
    client.failing_parts.borrow_mut().retain(only_owner_row);
    time::sleep(Duration::from_secs(1) + phase).await;
    let slow = ("s0".to_owned(), Duration::from_millis(300));
    client.slow_parts.borrow_mut().push(slow);
    client.failing_parts.borrow_mut().clear();
    time::sleep(offset).await;
    write_jobs(&fleet, "j1", "queue", 5..6);
    time::sleep(Duration::from_secs(1)).await;
    client.slow_parts.borrow_mut().clear();
    time::sleep(Duration::from_secs(30)).await;
    fleet.workers.started_runs()
}

/// Guards against an accepted job that never starts: the watch brings it while the owner confirms its term, and the reading of
/// all jobs ends meanwhile.
#[test]
fn job_that_is_watched_as_the_reading_of_all_jobs_ends_is_started() {
    let mut lost = Vec::new();
    for phase_ms in [110, 220] {
        for offset_ms in (0..600).step_by(20) {
            let [phase, offset] = [phase_ms, offset_ms].map(Duration::from_millis);
            run_simulated(async {
                if starts_of_job_watched_while_reading(phase, offset).await != 2 {
                    lost.push((phase_ms, offset_ms));
                }
            });
        }
    }
    assert_eq!(lost, [], "milliseconds of the phase and the offset");
}

/// Guards against a cancelled job that runs: the owner watched its cancellation before it could read the job's row, and
/// had read the cancellation's part before that.
#[test]
fn a_job_cancelled_while_its_owner_reads_jobs_again_never_starts() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(2);
        fleet.workers.run_time.set(Duration::MAX);
        let owner = fleet.daemon();
        let other = fleet.daemon();
        submit(&owner.job_api, 99, &job(&[(1, &[])])).await;
        time::sleep(Duration::from_secs(2)).await;
        assert_eq!(fleet.workers.started_runs(), 1);
        assert_ne!(first_part(1), first_part(2));
        let failing = &owner.store_client.failing_parts;
        failing.borrow_mut().push(first_part(1));
        // A daemon that can read the part would replace the owner.
        let failing_at_other = &other.store_client.failing_parts;
        failing_at_other.borrow_mut().push(first_part(1));
        let record = JobRecord {
            queue: "queue".to_owned(),
            accepted_ms: 0,
            graph: job(&[(3, &[])]),
        };
        let value = postcard::to_stdvec(&record).expect("it can be encoded");
        let key = JobKey::new(2).to_string();
        let row = StoreRow::new(StoreTable::Jobs, &first_part(2), key, value);
        fleet.store.write(vec![row]);
        owner.store_client.forget_history();
        time::sleep(Duration::from_secs(3)).await;
        assert_eq!(fleet.workers.started_runs(), 1, "the job is not known");
        let slow = (first_part(1), Duration::from_millis(1000));
        owner.store_client.slow_parts.borrow_mut().push(slow);
        failing.borrow_mut().clear();
        time::sleep(Duration::from_millis(700)).await;
        assert_eq!(fleet.workers.started_runs(), 1, "the job is not known");
        let answer = send_request(&other.job_api, 2, CallerVerb::Cancel).await;
        assert_eq!(answer, CallerAnswer::Done);
        time::sleep(Duration::from_secs(5)).await;
        assert_eq!(fleet.workers.started_runs(), 1);
    });
}

/// Guards against jobs that stand still for longer than a part of the store is away: the only daemon left gives its
/// takeover up in favour of a peer that is gone.
#[test]
fn the_only_daemon_left_takes_over_once_it_can_read_all_jobs() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(2);
        let owner = fleet.daemon();
        submit(&owner.job_api, 99, &job(&[(1, &[])])).await;
        wait_for_progress(&owner.job_api, 99, COMPLETED).await;
        let successor = fleet.daemon();
        time::sleep(Duration::from_secs(2)).await;
        let failing = &successor.store_client.failing_parts;
        failing.borrow_mut().push(first_part(1));
        owner.kill();
        submit(&successor.job_api, 2, &job(&[(1, &[])])).await;
        let claimed = time::Instant::now();
        while fleet
            .store
            .owner()
            .is_none_or(|owner| owner.token < 2 * TOKENS_PER_TERM)
        {
            time::sleep(Duration::from_millis(50)).await;
        }
        eprintln!("claimed after {:?}", claimed.elapsed());
        time::sleep(Duration::from_millis(5500)).await;
        failing.borrow_mut().clear();
        let mended = time::Instant::now();
        wait_for_progress(&successor.job_api, 2, COMPLETED).await;
        let took = mended.elapsed();
        eprintln!("completed {took:?} after the part was back");
        assert!(took < Duration::from_secs(2), "{took:?}");
    });
}

/// Guards against a cancelled job that runs: a late copy of its row is in a part that the owner can read, while its
/// cancellation is in one that can't be read again.
#[test]
fn a_late_copy_of_a_cancelled_job_never_starts() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(2);
        fleet.workers.run_time.set(Duration::MAX);
        let owner = fleet.daemon();
        submit(&owner.job_api, 99, &job(&[(1, &[])])).await;
        time::sleep(Duration::from_secs(2)).await;
        assert_eq!(fleet.workers.started_runs(), 1);
        let key = JobKey::new(2);
        let first = key.partition(16);
        let second = format!("j{}", (first + 5) % 16);
        let failing = &owner.store_client.failing_parts;
        failing.borrow_mut().push(second.clone());
        let record = JobRecord {
            queue: "queue".to_owned(),
            accepted_ms: 0,
            graph: job(&[(3, &[])]),
        };
        let value = postcard::to_stdvec(&record).expect("it can be encoded");
        let table = StoreTable::Jobs;
        let job_row = StoreRow::new(table, &second, key.to_string(), value.clone());
        let cancellation = StoreRow::new(table, &second, format!("{key}.c"), Vec::new());
        fleet.store.write(vec![job_row]);
        fleet.store.write(vec![cancellation]);
        owner.store_client.forget_history();
        time::sleep(Duration::from_secs(3)).await;
        let copy = StoreRow::new(table, &first_part(2), key.to_string(), value);
        fleet.store.write(vec![copy]);
        time::sleep(Duration::from_secs(5)).await;
        assert_eq!(fleet.workers.started_runs(), 1);
    });
}

/// Writes jobs of one task into a part.
fn write_jobs(fleet: &TestFleet, part: &str, queue: &str, numbers: Range<u64>) {
    let record = JobRecord {
        queue: queue.to_owned(),
        accepted_ms: 0,
        graph: job(&[(1, &[])]),
    };
    let value = postcard::to_stdvec(&record).expect("it can be encoded");
    let rows = numbers.map(|number| {
        let key = JobKey::new(number).to_string();
        StoreRow::new(StoreTable::Jobs, part, key, value.clone())
    });
    fleet.store.write(rows.collect());
}

/// Guards against an accepted job that is never started: it was recorded behind the first page of its part, whose second page
/// could not be read, and before the other parts were read.
#[test]
fn a_job_recorded_between_the_pages_of_its_part_is_started() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(2);
        // Nobody knows this queue.
        write_jobs(&fleet, LAST_PART, "unknown", 1000..1100);
        let owner = fleet.daemon();
        submit(&owner.job_api, 99, &job(&[(1, &[])])).await;
        wait_for_progress(&owner.job_api, 99, COMPLETED).await;
        let client = &owner.store_client;
        client.job_read_latency.set(Duration::from_millis(200));
        let others = (0..15).map(|part| (format!("j{part}"), Duration::from_secs(1)));
        client.slow_parts.borrow_mut().extend(others);
        client.forget_history();
        // The owner has read the first page, and not the second.
        time::sleep(Duration::from_millis(350)).await;
        client.failing_parts.borrow_mut().push(LAST_PART.to_owned());
        write_jobs(&fleet, LAST_PART, "queue", 5..6);
        time::sleep(Duration::from_secs(9)).await;
        client.failing_parts.borrow_mut().clear();
        time::sleep(Duration::from_secs(5)).await;
        assert_eq!(fleet.workers.started_runs(), 2);
    });
}

/// Guards against an owner that begins to read the jobs again after each call that fails, and never gets to the end: no two
/// calls in a row are answered.
#[test]
fn an_owner_keeps_what_it_has_read_again_of_each_part() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(2);
        for part in 0..16 {
            let first = 1000 + part * 100;
            // Nobody knows this queue.
            write_jobs(&fleet, &format!("j{part}"), "unknown", first..first + 100);
        }
        let owner = fleet.daemon();
        submit(&owner.job_api, 99, &job(&[(1, &[])])).await;
        wait_for_progress(&owner.job_api, 99, COMPLETED).await;
        let client = &owner.store_client;
        client.job_read_latency.set(Duration::from_millis(200));
        write_jobs(&fleet, LAST_PART, "queue", 5..6);
        client.forget_history();
        for _ in 0..400 {
            client.lose_connections();
            time::sleep(Duration::from_millis(310)).await;
        }
        assert_eq!(fleet.workers.started_runs(), 2);
    });
}

/// Guards against a task that starts again after its end was acknowledged: the owner had read the jobs before its claim, and the
/// owner before it ran a task of a job that was accepted after that.
#[test]
fn progress_of_a_job_accepted_after_the_jobs_were_read_counts() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(1);
        let first = fleet.daemon();
        submit(&first.job_api, 99, &job(&[(1, &[])])).await;
        wait_for_progress(&first.job_api, 99, COMPLETED).await;
        let owner = fleet.daemon();
        time::sleep(Duration::from_secs(1)).await;
        let successor = fleet.daemon();
        time::sleep(Duration::from_secs(2)).await;
        let failing = &owner.store_client.failing_parts;
        failing.borrow_mut().push(first_part(1));
        successor.store_client.commit_latency.set(SLOW_CLAIM_TIME);
        first.kill();
        wait_for_owner(&fleet, 2 * TOKENS_PER_TERM).await;
        fleet.workers.run_time.set(SHORT_RUN_TIME);
        wait_until(|| successor.store_client.commits_under_way.get() == 1).await;
        failing.borrow_mut().clear();
        submit(&owner.job_api, 2, &job(&[(1, &[]), (1, &[0])])).await;
        wait_until(|| fleet.store.jobs_with_a_done_step() == 1).await;
        let token = fleet.store.owner().map(|owner| owner.token);
        let second = Some(2 * TOKENS_PER_TERM);
        assert_eq!(token, second, "the successor's claim is under way");
        wait_for_owner(&fleet, 3 * TOKENS_PER_TERM).await;
        successor.store_client.commit_latency.set(SHORT_LATENCY);
        time::sleep(Duration::from_secs(15)).await;
        assert_eq!(fleet.workers.started_runs(), 3);
    });
}

async fn wait_for_owner(fleet: &TestFleet, token: u64) {
    wait_until(|| {
        fleet
            .store
            .owner()
            .is_some_and(|owner| owner.token >= token)
    })
    .await;
}

async fn wait_until<Condition>(holds: Condition)
where
    Condition: Fn() -> bool,
{
    for _ in 0..4000 {
        if holds() {
            return;
        }
        time::sleep(Duration::from_millis(5)).await;
    }
    panic!("it took too long");
}
