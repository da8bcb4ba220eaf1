//! Workers that restart under their identities before their owner notices. Time is simulated: it advances only while all tasks
//! wait.

use std::time::Duration;

use jasminebend_base::ResourceAmount;
use jasminebend_dispatch::{
    DispatchSettings,
    JobKey,
    LeaseRenewal,
    OrderOutcome,
    RunNumber,
    StartOrder,
    StepKey,
    WorkerKey, //
};
use jasminebend_fleet::{
    StoreRow,
    StoreTable, //
};
use jasminebend_standins::TaskWork;
use tokio::time;

use crate::test_fleet::{
    TestFleet,
    job,
    run_simulated,
    submit, //
};

const RESTARTED_WORKER: &str = "worker-0";
const OTHER_WORKER: &str = "worker-1";
/// Longer than the longest interval between lease renewals, so that the worker restarts in every phase of a renewal.
const RENEWAL_ROUND_MS: u64 = 2100;
const PHASE_STEP_MS: usize = 20;
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Long enough for the owner to notice the restart, and to grant leases.
const OBSERVATION_TIME: Duration = Duration::from_secs(3);
/// Long enough for the members to know each other.
const SETTLING_TIME: Duration = Duration::from_secs(5);
const LONGEST_LEASE: Duration = Duration::from_secs(10);
/// After this time the tasks of a lost worker run elsewhere.
const RESUMED_AFTER: Duration = Duration::from_secs(25);
/// After this time they also run where calls for a former incarnation may act late.
const RESUMED_BESIDE_LATE_CALLS_AFTER: Duration = Duration::from_secs(40);
/// How long a start is under way, within the time for which its owner waits for an answer.
const START_LATENCY: Duration = Duration::from_millis(340);
/// How long the owner lives after it has sent the start: it learns of the restart and writes that down.
const OWNER_LIFETIME: Duration = Duration::from_millis(300);
/// When the start is carried out late, after the owner's loss.
const LATE_BY: Duration = Duration::from_secs(7);
/// The token of calls to workers that have not restarted in the first term.
const FIRST_TOKEN: u64 = 1;

/// Restarts a worker, which at once carries out a renewal for its former incarnation, and is listed by the registry.
fn restart_with_late_renewal(fleet: &TestFleet) {
    let restarted = fleet.workers.with_worker(RESTARTED_WORKER, |worker, now| {
        worker.restart(now);
        let late_renewal = LeaseRenewal {
            deadline: Some(now * 100),
            acknowledged: 0,
            max_wait: Duration::ZERO,
        };
        drop(worker.renew_lease(now, FIRST_TOKEN, late_renewal));
        worker.record().clone()
    });
    fleet
        .store
        .list_restarted(&restarted.expect("the worker exists"));
}

/// Guards against a successor that does not learn from the former owner's records that a worker has restarted, which holds a longer
/// lease than usual, and starts its tasks while they run there.
#[test]
fn a_successor_outlasts_the_lease_of_a_restarted_worker_that_it_does_not_reach() {
    check_takeover_beside_restarted_worker(|_| {});
}

/// Guards against a successor that takes a list of restarted workers which it can't read for an empty one.
#[test]
fn a_successor_that_cannot_read_which_workers_restarted_outlasts_their_leases() {
    check_takeover_beside_restarted_worker(damage_restarts);
}

/// Replaces what follows the workers in their row by a length that no bytes follow.
fn damage_restarts(fleet: &TestFleet) {
    let workers = fleet.store.recorded_workers().concat();
    let mut value = postcard::to_stdvec(&workers).expect("workers can be encoded");
    value.extend([0xff, 0x7f]);
    let row = StoreRow::new(StoreTable::Progress, "s0", "workers-0000", value);
    fleet.store.write(vec![row]);
}

fn check_takeover_beside_restarted_worker(disturb: fn(&TestFleet)) {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(2);
        fleet.workers.run_time.set(Duration::MAX);
        fleet.workers.with_worker(RESTARTED_WORKER, |worker, _| {
            worker.set_max_lease(LONGEST_LEASE);
        });
        let owner = fleet.daemon_on_vm();
        time::sleep(SETTLING_TIME).await;
        let successor = fleet.daemon();
        time::sleep(SETTLING_TIME).await;
        fleet.workers.partition(OTHER_WORKER);
        restart_with_late_renewal(&fleet);
        submit(&owner.job_api, 1, &job(&[(1, &[])])).await;
        while fleet.workers.is_idle(RESTARTED_WORKER) {
            time::sleep(CHECK_INTERVAL).await;
        }
        let recorded = fleet.store.recorded_workers().concat();
        assert_eq!(recorded.len(), 2, "an earlier version reads the row");
        fleet.workers.heal();
        fleet.workers.partition(RESTARTED_WORKER);
        let _killed = owner.kill_process().await;
        disturb(&fleet);
        let runs = fleet.workers.started_runs();
        let until = time::Instant::now() + RESUMED_AFTER;
        while time::Instant::now() < until {
            fleet.workers.check_single_runs();
            time::sleep(CHECK_INTERVAL).await;
        }
        assert!(
            fleet.workers.started_runs() > runs,
            "{} resumes the tasks",
            successor.node()
        );
    });
}

/// Guards against a deadline on the clock of the former incarnation: the new one takes it for the longest lease that it accepts.
#[test]
fn restarted_workers_get_no_lease_that_was_meant_for_the_former_incarnation() {
    for phase in (0..RENEWAL_ROUND_MS).step_by(PHASE_STEP_MS) {
        run_simulated(async {
            let fleet = TestFleet::with_runtime_clock(2);
            fleet.workers.run_time.set(Duration::from_millis(300));
            fleet.workers.with_worker(RESTARTED_WORKER, |worker, _| {
                worker.set_max_lease(Duration::from_secs(10));
            });
            let owner = fleet.daemon();
            time::sleep(Duration::from_secs(5) + Duration::from_millis(phase)).await;
            submit(&owner.job_api, 1, &job(&[(4, &[]), (4, &[0])])).await;
            fleet
                .workers
                .with_worker(RESTARTED_WORKER, |worker, now| worker.restart(now));
            let until = time::Instant::now() + OBSERVATION_TIME;
            let mut lease = Duration::ZERO;
            while time::Instant::now() < until {
                lease = fleet.workers.lease(RESTARTED_WORKER);
                assert!(
                    lease <= DispatchSettings::default().lease_duration,
                    "{lease:?}, restarted after {phase} ms"
                );
                time::sleep(CHECK_INTERVAL).await;
            }
            assert!(
                lease > Duration::ZERO,
                "no lease after {OBSERVATION_TIME:?}"
            );
        });
    }
}

/// Guards against two runs of a task: its owner was killed within the time of a start that was under way as it learned that the
/// worker had restarted, and told its successor that nothing could act late there.
#[test]
fn a_successor_outlasts_a_start_that_was_under_way_as_its_owner_learned_of_a_restart() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(2);
        fleet.workers.run_time.set(Duration::MAX);
        fleet.workers.with_worker(RESTARTED_WORKER, |worker, _| {
            worker.set_max_lease(LONGEST_LEASE);
        });
        let owner = fleet.daemon_on_vm();
        time::sleep(SETTLING_TIME).await;
        let successor = fleet.daemon();
        time::sleep(SETTLING_TIME).await;
        fleet.workers.partition(OTHER_WORKER);
        time::sleep(SETTLING_TIME).await;
        fleet.workers.order_latency.set(START_LATENCY);
        submit(&owner.job_api, 1, &job(&[(1, &[])])).await;
        restart_and_list(&fleet);
        fleet.workers.partition(RESTARTED_WORKER);
        time::sleep(OWNER_LIFETIME).await;
        let _killed = owner.kill_process().await;
        fleet.workers.order_latency.set(Duration::ZERO);
        fleet.workers.heal();
        fleet.workers.partition(RESTARTED_WORKER);
        assert_eq!(fleet.workers.started_runs(), 0, "the start is under way");
        time::sleep(LATE_BY).await;
        carry_out_first_start(&fleet);
        let until = time::Instant::now() + RESUMED_BESIDE_LATE_CALLS_AFTER;
        while time::Instant::now() < until {
            fleet.workers.check_single_runs();
            time::sleep(CHECK_INTERVAL).await;
        }
        assert_eq!(
            fleet.workers.started_runs(),
            2,
            "{} resumes the task",
            successor.node()
        );
    });
}

/// Restarts a worker, and lists its incarnation.
fn restart_and_list(fleet: &TestFleet) {
    let restarted = fleet.workers.with_worker(RESTARTED_WORKER, |worker, now| {
        worker.restart(now);
        worker.record().clone()
    });
    fleet
        .store
        .list_restarted(&restarted.expect("the worker exists"));
}

/// Lets the restarted worker carry out the start of the first owner's first run, with a deadline on the former clock.
fn carry_out_first_start(fleet: &TestFleet) {
    let step = StepKey {
        job: JobKey::new(1),
        occurrence: 0,
        step: 0,
    };
    let start = StartOrder {
        worker: WorkerKey::new(0),
        task: step.task(0),
        run: RunNumber::of_owner(FIRST_TOKEN, 1),
        payload: "payload".into(),
        checkpoint: None,
        ticket: None,
    };
    let work = TaskWork {
        run_time: Duration::MAX,
        fails: false,
        size: ResourceAmount::new(1000, 100),
    };
    let outcome = fleet.workers.with_worker(RESTARTED_WORKER, |worker, now| {
        worker.start(now, FIRST_TOKEN, &start, now * 100, work)
    });
    assert_eq!(outcome, Some(OrderOutcome::Taken));
}
