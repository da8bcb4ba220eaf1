//! Takeover from a former owner that does not know yet that it was replaced. Time is simulated: it advances only while
//! all tasks wait.

use std::{
    net::{
        SocketAddr,
        TcpListener, //
    },
    time::Duration, //
};

use jasminebend_base::ResourceAmount;
use jasminebend_dispatch::{
    DispatchSettings,
    Dispatcher,
    JobOutcome,
    JobProgress,
    OrderOutcome,
    RunNumber,
    StartOrder, //
};
use jasminebend_fleet::{
    JobRecord,
    StoreRow,
    StoreTable,
    TOKENS_PER_TERM, //
};
use jasminebend_standins::{
    TaskWork,
    WorkerEvent, //
};
use tokio::time;

use crate::{
    memory_store::StoreClient,
    test_fleet::{
        TestDaemon,
        TestFleet,
        free_address,
        job,
        run_simulated,
        wait_for_progress, //
    }, //
};

const PARTITIONED_WORKER: &str = "worker-0";
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long the task's run takes.
const RUN_TIME: Duration = Duration::from_secs(4);
/// Within this time after a claim the successor knows all jobs that former owners may have started: they add none for longer than
/// 2 s, and a watch answers within 1 s.
const UNKNOWN_JOB_BOUND: Duration = Duration::from_secs(5);
/// How long a run takes that ends before the successor knows its job.
const SHORT_RUN_TIME: Duration = Duration::from_millis(500);
/// After this time the successor knows the job, and the lease of a partitioned worker has not lapsed yet.
const JOB_KNOWN_AFTER: Duration = Duration::from_secs(3);
/// After this time the run has ended, or the lease of a partitioned worker has lapsed.
const RUN_ENDED_AFTER: Duration = Duration::from_secs(10);

/// Starts the only task of job 7 on the partitioned worker, as the former owner would.
fn start_as_former_owner(fleet: &TestFleet, run_time: Duration) {
    let started = fleet
        .workers
        .with_worker(PARTITIONED_WORKER, |worker, now| {
            let mut former = Dispatcher::new(1, DispatchSettings::default());
            let order = StartOrder {
                worker: former.upsert_worker(worker.record().clone(), None),
                task: "0000000000000007.0.0.0".parse().expect("a task"),
                run: RunNumber::new(1),
                payload: "payload".into(),
                checkpoint: None,
                ticket: None,
            };
            let work = TaskWork {
                run_time,
                fails: false,
                size: ResourceAmount::new(1000, 100),
            };
            worker.start(now, 1, &order, now * 2, work)
        });
    assert_eq!(started, Some(OrderOutcome::Taken));
}

/// Lets a successor take over from a silent owner, with `silent_members` further silent members. One of the two workers
/// is partitioned from all daemons.
async fn fleet_after_takeover(silent_members: u32) -> (TestFleet, TestDaemon, TcpListener) {
    // This listener accepts connections and answers nothing.
    let silent = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = silent.local_addr().expect("it is bound");
    let (fleet, successor) = fleet_after_takeover_from(address, silent_members).await;
    (fleet, successor, silent)
}

/// Lets a successor take over as [`fleet_after_takeover`] does, with the owner and the further members at `address`.
async fn fleet_after_takeover_from(address: SocketAddr, members: u32) -> (TestFleet, TestDaemon) {
    let fleet = TestFleet::with_runtime_clock(2);
    fleet.set_owner(address, members);
    fleet.workers.partition(PARTITIONED_WORKER);
    let successor = fleet.daemon();
    while fleet.store.owner().is_none_or(|owner| owner.token < 2) {
        time::sleep(POLL_INTERVAL).await;
    }
    (fleet, successor)
}

/// Starts a successor of an owner with token 2 that gave up the ownership before it wrote a set of members; two daemons are silent.
async fn fleet_after_vacancy(silent: &TcpListener) -> (TestFleet, TestDaemon) {
    let fleet = TestFleet::with_runtime_clock(2);
    fleet.set_vacant_owner(2);
    fleet.enroll(silent.local_addr().expect("it is bound"), 2);
    fleet.workers.partition(PARTITIONED_WORKER);
    let successor = fleet.daemon();
    while fleet.store.owner().is_none_or(|owner| owner.token < 3) {
        time::sleep(POLL_INTERVAL).await;
    }
    (fleet, successor)
}

/// Lets a successor take over as [`fleet_after_takeover`] does, but its first claim is applied without an answer.
async fn fleet_after_repeated_claim() -> (TestFleet, TestDaemon, TcpListener) {
    let fleet = TestFleet::with_runtime_clock(2);
    let silent = TcpListener::bind("127.0.0.1:0").expect("a free port");
    fleet.set_owner(silent.local_addr().expect("it is bound"), 1);
    fleet.workers.partition(PARTITIONED_WORKER);
    let successor = fleet.daemon();
    // The daemon has enrolled by then, so that its next write is the claim.
    time::sleep(Duration::from_secs(1)).await;
    successor.store_client.lost_answers.set(1);
    while (fleet.store.owner()).is_none_or(|owner| owner.token < 1 + 2 * TOKENS_PER_TERM) {
        time::sleep(POLL_INTERVAL).await;
    }
    assert_eq!(successor.store_client.lost_answers.get(), 0);
    (fleet, successor, silent)
}

/// Records job 7, which has one task, as another daemon would.
fn record_job(fleet: &TestFleet) {
    let record = JobRecord {
        queue: "queue".to_owned(),
        accepted_ms: 0,
        graph: job(&[(1, &[])]),
    };
    let value = postcard::to_stdvec(&record).expect("a record can be encoded");
    let row = StoreRow::new(StoreTable::Jobs, "j0", "0000000000000007", value);
    fleet.store.write(vec![row]);
}

/// Runs a takeover from a silent owner that acts for another 2 s. `after` the takeover, the former owner starts a
/// task on a worker that the successor can't reach; then the task's job is recorded, while `disturb` delays the
/// successor's watch of the jobs.
fn run_takeover<Disturb>(after: Duration, disturb: Disturb)
where
    Disturb: Fn(&StoreClient),
{
    run_simulated(async {
        let (fleet, successor, _silent) = fleet_after_takeover(1).await;
        time::sleep(after).await;
        disturb(&successor.store_client);
        start_as_former_owner(&fleet, RUN_TIME);
        record_job(&fleet);
        time::sleep(JOB_KNOWN_AFTER).await;
        assert_eq!(fleet.workers.started_runs(), 1, "the task runs twice");
        fleet.workers.heal();
        time::sleep(RUN_ENDED_AFTER).await;
        assert_eq!(
            fleet.workers.started_runs(),
            1,
            "the task ran and was started again"
        );
    });
}

/// Guards against a task that runs twice: the former owner had started it, and the successor learned of its job only by
/// reading all jobs again, because the store had dropped its history.
#[test]
fn a_job_read_again_after_a_takeover_may_already_run() {
    run_takeover(Duration::from_millis(200), StoreClient::forget_history);
}

/// Guards against a task that runs twice: the former owner had started it just before it stopped acting, and the
/// successor learned of its job after that, because the connection of its watch had gone silent.
#[test]
fn a_job_learned_late_after_a_takeover_may_already_run() {
    run_takeover(Duration::from_millis(1800), StoreClient::lose_connections);
}

/// Guards against a task that runs twice: the successor's first claim was applied without an answer, and with the second it
/// counted the owner before the first as gone.
#[test]
fn an_owner_before_a_claim_without_an_answer_may_still_have_started_a_job() {
    run_simulated(async {
        let (fleet, _successor, _silent) = fleet_after_repeated_claim().await;
        time::sleep(Duration::from_millis(200)).await;
        start_as_former_owner(&fleet, RUN_TIME);
        record_job(&fleet);
        time::sleep(JOB_KNOWN_AFTER).await;
        assert_eq!(fleet.workers.started_runs(), 1, "the task runs twice");
        fleet.workers.heal();
        time::sleep(RUN_ENDED_AFTER).await;
        assert_eq!(
            fleet.workers.started_runs(),
            1,
            "the task ran and was started again"
        );
    });
}

/// Guards against a task that runs twice: without the store the former owner was confirmed by most daemons, which the
/// successor could not reach, and renewed the lease of a worker for longer than the successor waited.
#[test]
fn a_worker_is_not_given_up_while_most_daemons_may_confirm_the_former_owner() {
    run_simulated(async {
        let (fleet, _successor, _silent) = fleet_after_takeover(4).await;
        start_as_former_owner(&fleet, Duration::from_secs(60));
        record_job(&fleet);
        for _ in 0..20 {
            time::sleep(Duration::from_secs(1)).await;
            fleet.workers.renew(PARTITIONED_WORKER, 1);
        }
        assert_eq!(fleet.workers.started_runs(), 1, "the task runs twice");
        fleet.workers.heal();
        time::sleep(RUN_ENDED_AFTER).await;
        assert_eq!(
            fleet.workers.started_runs(),
            1,
            "the task ran and was started again"
        );
    });
}

/// Guards against a task that runs twice: no set of members was recorded yet, and the successor of an owner that had ended took
/// the owner before that one for stopped too.
#[test]
fn an_owner_before_one_that_recorded_no_member_set_may_still_start_a_job() {
    run_simulated(async {
        let silent = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let (fleet, _successor) = fleet_after_vacancy(&silent).await;
        time::sleep(Duration::from_millis(1800)).await;
        start_as_former_owner(&fleet, RUN_TIME);
        record_job(&fleet);
        time::sleep(JOB_KNOWN_AFTER).await;
        assert_eq!(fleet.workers.started_runs(), 1, "the task runs twice");
    });
}

/// Guards against a task that runs twice: a partition refused the successor's connections to the former owner, which acted on.
#[test]
fn a_former_owner_that_refuses_connections_may_still_start_a_job() {
    run_simulated(async {
        let (fleet, _successor) = fleet_after_takeover_from(free_address(), 1).await;
        time::sleep(Duration::from_millis(1800)).await;
        start_as_former_owner(&fleet, RUN_TIME);
        record_job(&fleet);
        time::sleep(JOB_KNOWN_AFTER).await;
        assert_eq!(fleet.workers.started_runs(), 1, "the task runs twice");
        fleet.workers.heal();
        time::sleep(RUN_ENDED_AFTER).await;
        assert_eq!(
            fleet.workers.started_runs(),
            1,
            "the task ran and was started again"
        );
    });
}

/// Guards against a task that runs twice: a partition refused the successor's connections to most daemons, which confirmed the
/// former owner without the store.
#[test]
fn a_worker_is_not_given_up_while_daemons_that_refuse_connections_may_confirm_the_former_owner() {
    run_simulated(async {
        let (fleet, _successor) = fleet_after_takeover_from(free_address(), 4).await;
        start_as_former_owner(&fleet, Duration::from_secs(60));
        record_job(&fleet);
        for _ in 0..20 {
            time::sleep(Duration::from_secs(1)).await;
            fleet.workers.renew(PARTITIONED_WORKER, 1);
        }
        assert_eq!(fleet.workers.started_runs(), 1, "the task runs twice");
    });
}

/// Guards against tasks that wait forever: once half of the daemons know the successor, no majority can confirm the
/// former owner.
#[test]
fn a_worker_is_given_up_once_half_of_the_daemons_know_the_successor() {
    run_simulated(async {
        let (fleet, _successor, _silent) = fleet_after_takeover(2).await;
        let _other = fleet.daemon();
        start_as_former_owner(&fleet, Duration::from_secs(60));
        record_job(&fleet);
        time::sleep(RUN_ENDED_AFTER).await;
        assert_eq!(fleet.workers.started_runs(), 2);
    });
}

/// Guards against two owners at a time: a daemon that had known the successor was restarted while the store was lost,
/// and confirmed the former owner.
#[test]
fn a_daemon_that_never_reached_the_store_confirms_no_owner() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(0);
        fleet.set_unreachable_owner();
        let daemon = fleet.daemon();
        daemon.store_client.refuses_calls.set(true);
        time::sleep(RUN_ENDED_AFTER).await;
        assert_eq!(daemon.known_token(1).await, 0);
        assert_eq!(daemon.known_token(1).await, 0);
        daemon.store_client.refuses_calls.set(false);
        time::sleep(RUN_ENDED_AFTER).await;
        assert_eq!(daemon.known_token(1).await, 1);
    });
}

/// Lets a former owner start and finish a task of a job beside its successor, `after` the claim, while `disturb` keeps the job from
/// the successor; returns how often the task was started, once the job has completed.
async fn starts_of_late_job<Disturb>(after: Duration, outage: Duration, disturb: Disturb) -> usize
where
    Disturb: Fn(&StoreClient),
{
    let (fleet, successor, _silent) = fleet_after_takeover(1).await;
    time::sleep(after).await;
    disturb(&successor.store_client);
    start_as_former_owner(&fleet, SHORT_RUN_TIME);
    record_job(&fleet);
    fleet.workers.heal();
    time::sleep(outage).await;
    successor.store_client.refuses_calls.set(false);
    time::sleep(RUN_ENDED_AFTER).await;
    wait_for_progress(
        &successor.job_api,
        7,
        JobProgress::Ended(JobOutcome::Completed),
    )
    .await;
    fleet.workers.started_runs()
}

/// Guards against a run that goes on for good, and an end that stays with its worker: no job that the successor may learn has such a
/// task.
#[test]
fn runs_and_ends_of_a_job_that_never_becomes_known_do_not_stay() {
    run_simulated(async {
        let (fleet, _successor, _silent) = fleet_after_takeover(1).await;
        start_as_former_owner(&fleet, Duration::from_secs(60));
        fleet.workers.heal();
        time::sleep(UNKNOWN_JOB_BOUND).await;
        assert!(fleet.workers.is_idle(PARTITIONED_WORKER));
        let acknowledged = fleet.workers.with_worker(PARTITIONED_WORKER, |worker, _| {
            let mut events = worker.events().iter();
            events.any(|(_, event)| matches!(event, WorkerEvent::Acknowledged(..)))
        });
        assert_eq!(acknowledged, Some(true));
    });
}

/// Guards against a task that starts again after its end was acknowledged: the successor learned of the job only after a worker had
/// listed the end, as the store was away or a connection to it was silent.
#[test]
fn task_that_ended_before_its_successor_knew_the_job_is_not_started_again() {
    let mut starts = Vec::new();
    for (after_ms, outage_ms) in [
        (200, 0),
        (200, 1500),
        (200, 2500),
        (200, 5000),
        (1500, 0),
        (1500, 1500),
        (1500, 5000),
    ] {
        run_simulated(async {
            let [after, outage] = [after_ms, outage_ms].map(Duration::from_millis);
            let count = starts_of_late_job(after, outage, |store| match outage.is_zero() {
                true => store.lose_connections(),
                false => store.refuses_calls.set(true),
            });
            starts.push((after_ms, outage_ms, count.await));
        });
    }
    assert!(
        starts.iter().all(|(_, _, count)| *count == 1),
        "{starts:?}: milliseconds after the claim, of the outage (0: a silent connection), and starts"
    );
}
