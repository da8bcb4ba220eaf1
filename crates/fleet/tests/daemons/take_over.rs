//! What a successor does beside a former owner that does not know yet that it was replaced. Time is the runtime's and
//! stands still while anything runs.

use std::{
    net::TcpListener,
    time::Duration, //
};

use jasminebend_base::ResourceAmount;
use jasminebend_dispatch::{
    DispatchSettings,
    Dispatcher,
    OrderEnd,
    RunNumber,
    StartOrder, //
};
use jasminebend_fleet::{
    FleetRow,
    FleetTable,
    JobRecord, //
};
use jasminebend_standins::TaskWork;
use tokio::time;

use crate::{
    memory_store::StoreWay,
    test_fleet::{
        TestDaemon,
        TestFleet,
        job,
        play_paused, //
    }, //
};

const PARTITIONED: &str = "worker-0";
const LOOK_EVERY: Duration = Duration::from_millis(10);
/// How long the task works.
const WORKS: Duration = Duration::from_secs(4);
/// After it the successor was told of the job, and the lease of a partitioned worker has not ended.
const TOLD: Duration = Duration::from_secs(3);
const ENDED: Duration = Duration::from_secs(10);

/// Starts the only task of job 7 on a worker, as the first owner would.
fn start_as_former(fleet: &TestFleet, lasts: Duration) {
    let started = fleet.workers.act_on(PARTITIONED, |worker, now| {
        let mut former = Dispatcher::new(1, DispatchSettings::default());
        let order = StartOrder {
            worker: former.list_worker(worker.record().clone(), None),
            task: "0000000000000007.0.0.0".parse().expect("a task"),
            run: RunNumber::new(1),
            payload: "payload".into(),
            checkpoint: None,
            ticket: None,
        };
        let work = TaskWork {
            lasts,
            fails: false,
            size: ResourceAmount::new(1000, 100),
        };
        worker.start(now, 1, &order, now * 2, work)
    });
    assert_eq!(started, Some(OrderEnd::Taken));
}

/// Has a successor take over from an owner that is silent, with some other members that are, too. No daemon reaches one of the workers.
async fn taken_over(silent_members: u32) -> (TestFleet, TestDaemon, TcpListener) {
    let fleet = TestFleet::with_runtime_clock(2);
    // It takes connections and answers nothing.
    let silent = TcpListener::bind("127.0.0.1:0").expect("a free port");
    fleet.own_at(silent.local_addr().expect("it is bound"), silent_members);
    fleet.workers.partition(PARTITIONED);
    let successor = fleet.daemon();
    while fleet.store.owner().is_none_or(|owner| owner.token < 2) {
        time::sleep(LOOK_EVERY).await;
    }
    (fleet, successor, silent)
}

/// Accepts job 7, of one task, as another daemon would.
fn accept(fleet: &TestFleet) {
    let record = JobRecord {
        queue: "queue".to_owned(),
        accepted_ms: 0,
        graph: job(&[(1, &[])]),
    };
    let value = postcard::to_stdvec(&record).expect("a record can be encoded");
    let row = FleetRow::new(FleetTable::Jobs, "j0", "0000000000000007", value);
    fleet.store.write(vec![row]);
}

/// Plays a take-over from a silent owner, which goes on for 2 s. It starts a task on a worker that the successor does not
/// reach, some time after the successor began to act; then the task's job comes, while `disturb` keeps it from being told.
fn play<Disturb>(after: Duration, disturb: Disturb)
where
    Disturb: Fn(&StoreWay),
{
    play_paused(async {
        let (fleet, successor, _silent) = taken_over(1).await;
        time::sleep(after).await;
        disturb(&successor.way);
        start_as_former(&fleet, WORKS);
        accept(&fleet);
        time::sleep(TOLD).await;
        assert_eq!(fleet.workers.begins(), 1, "it runs twice");
        fleet.workers.heal();
        time::sleep(ENDED).await;
        assert_eq!(fleet.workers.begins(), 1, "it ran and runs again");
    });
}

/// Guards against a task that runs twice: the former owner had started it, and the successor learned of its job by reading
/// all jobs again, since the store had dropped its history.
#[test]
fn a_job_that_is_read_again_after_a_take_over_may_run_already() {
    play(Duration::from_millis(200), StoreWay::forget_history);
}

/// Guards against a task that runs twice: the former owner had started it at its last moment, and the successor was told
/// of its job after that, since the connection of its watch had gone silent.
#[test]
fn a_job_that_is_told_late_after_a_take_over_may_run_already() {
    play(Duration::from_millis(1800), StoreWay::lose_connections);
}

/// Guards against a task that runs twice: without the store the former owner went on by the word of most daemons, which the
/// successor did not reach, and renewed the lease of a worker for longer than the successor waited.
#[test]
fn a_worker_is_not_given_up_while_most_daemons_may_vouch_for_the_former_owner() {
    play_paused(async {
        let (fleet, _successor, _silent) = taken_over(4).await;
        start_as_former(&fleet, Duration::from_secs(60));
        accept(&fleet);
        for _ in 0..20 {
            time::sleep(Duration::from_secs(1)).await;
            fleet.workers.renew(PARTITIONED, 1);
        }
        assert_eq!(fleet.workers.begins(), 1, "it runs twice");
        fleet.workers.heal();
        time::sleep(ENDED).await;
        assert_eq!(fleet.workers.begins(), 1, "it ran and runs again");
    });
}

/// Guards against tasks that wait without end: half of the daemons suffice to end the former owner.
#[test]
fn a_worker_is_given_up_once_half_of_the_daemons_know_the_successor() {
    play_paused(async {
        let (fleet, _successor, _silent) = taken_over(2).await;
        let _other = fleet.daemon();
        start_as_former(&fleet, Duration::from_secs(60));
        accept(&fleet);
        time::sleep(ENDED).await;
        assert_eq!(fleet.workers.begins(), 2);
    });
}

/// Guards against two owners at a time: a daemon that had known of the successor was restarted without the store, and
/// vouched for the former owner.
#[test]
fn a_daemon_that_never_had_the_store_vouches_for_nobody() {
    play_paused(async {
        let fleet = TestFleet::with_runtime_clock(0);
        fleet.own_elsewhere();
        let daemon = fleet.daemon();
        daemon.way.down.set(true);
        time::sleep(ENDED).await;
        assert_eq!(daemon.known_token(1).await, 0);
        assert_eq!(daemon.known_token(1).await, 0);
        daemon.way.down.set(false);
        time::sleep(ENDED).await;
        assert_eq!(daemon.known_token(1).await, 1);
    });
}
