//! Tests workers that restart, fail, stop answering, or use more or less than declared.

use std::sync::Arc;

use jasminebend_base::{
    ResourceAmount,
    VmSnapshot, //
};
use jasminebend_planner::PlannerSettings;
use jasminebend_standins::{
    CallKind,
    FaultKind,
    OutageState,
    TaskPayload, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};
use tokio::time::sleep;

use crate::test_bed::{
    TestBed,
    batch_job,
    seconds,
    service_job, //
};

// A worker restarts and forgets its runs, or fails. All of them must run again, each in one place,
// including those whose end its planner does not know yet.
#[tokio::test(start_paused = true)]
async fn runs_of_a_worker_that_restarts_or_fails_run_again() {
    for fails in [false, true] {
        let bed = TestBed::new(4);
        let planner = bed.start_planner(1).await;
        let services = planner.handle.submit(service_job(4)).await.unwrap();
        let job = planner
            .handle
            .submit(batch_job(20, seconds(30)))
            .await
            .unwrap();
        sleep(seconds(12)).await;
        match fails {
            true => bed.worker(0).fail(),
            false => bed.worker(0).restart(),
        }
        assert_eq!(
            planner.wait_until_ended(job, seconds(200)).await.finished,
            20
        );
        assert_eq!(planner.status(services).await.running, 4);
        bed.check_single_runs();
    }
}

// The answer to a start is lost, so the task may run although its planner was not informed. Started
// elsewhere, it would run twice; with its capacity counted as free, the worker would be
// overcommitted.
#[tokio::test(start_paused = true)]
async fn a_start_whose_answer_was_lost_keeps_its_room_and_runs_once() {
    for fault in [
        FaultKind::LoseAnswer,
        FaultKind::LoseRequest,
        FaultKind::LateEffect(seconds(2)),
        FaultKind::LateEffect(seconds(40)),
        FaultKind::Duplicate(seconds(9)),
    ] {
        let bed = TestBed::new(4);
        let planner = bed.start_planner(1).await;
        sleep(seconds(3)).await;
        bed.each_worker(|worker| {
            for _ in 0..8 {
                worker.faults().queue_fault(CallKind::Start, fault);
            }
        });
        let job = planner
            .handle
            .submit(batch_job(64, seconds(30)))
            .await
            .unwrap();
        assert_eq!(
            planner.wait_until_ended(job, seconds(300)).await.finished,
            64
        );
        let summary = bed.check();
        assert_eq!(summary.finishes, 64, "{fault:?}");
    }
}

// A worker is partitioned for 4 to 90 seconds, with requests or answers lost or late. Its tasks
// must not be started elsewhere while they still run there or a start is still in transit.
#[tokio::test(start_paused = true)]
async fn a_partitioned_worker_runs_nothing_that_runs_elsewhere() {
    for kind in [
        FaultKind::Unreachable,
        FaultKind::LoseRequest,
        FaultKind::LoseAnswer,
        FaultKind::LateEffect(seconds(7)),
        FaultKind::LateEffect(seconds(70)),
    ] {
        for time in [4, 12, 20, 35, 90] {
            let bed = TestBed::new(4);
            let planner = bed.start_planner(1).await;
            let services = planner.handle.submit(service_job(4)).await.unwrap();
            let job = planner
                .handle
                .submit(batch_job(60, seconds(20)))
                .await
                .unwrap();
            sleep(seconds(9)).await;
            bed.worker(1).faults().set_outage(OutageState::Down(kind));
            sleep(seconds(time)).await;
            bed.worker(1).faults().set_outage(OutageState::Up);
            assert_eq!(
                planner.wait_until_ended(job, seconds(600)).await.finished,
                60
            );
            sleep(seconds(60)).await;
            assert_eq!(planner.status(services).await.running, 4);
            assert_eq!(bed.ledger.running().len(), 4, "{kind:?} {time}");
            bed.check_single_runs();
        }
    }
}

// A class declares much less or much more than it uses. Placed by the declared size, far too many
// tasks would run on a worker, or most of it would stay idle. One measurement per report must be
// enough to learn the size.
#[tokio::test(start_paused = true)]
async fn wrongly_declared_sizes_are_learned() {
    let sampled = PlannerSettings::new(1).with_usage_bytes_per_second(0);
    let cases = [(5_000, 1), (100, 20)];
    let cases =
        cases.map(|case| [PlannerSettings::new(1), sampled].map(|settings| (case, settings)));
    for ((used, share), settings) in cases.into_iter().flatten() {
        let bed = TestBed::new(4).with_settings(settings);
        let planner = bed.start_planner(1).await;
        let mut spec = batch_job(2_000, seconds(45));
        spec.size = ResourceAmount::new(1_000, 200);
        let actual = ResourceAmount::new(used, 200);
        spec.payload = TaskPayload::new(seconds(45)).with_used(actual).to_text();
        planner.handle.submit(spec).await.unwrap();
        sleep(seconds(200)).await;
        let busiest = bed
            .fleet
            .workers()
            .map(|(_, worker)| worker.running().len())
            .max();
        let (least, most) = match used {
            5_000 => (1, share),
            _ => (share, 80),
        };
        assert!((least..=most).contains(&busiest.unwrap()), "{busiest:?}");
        bed.check();
    }
}

// Calls to the table and the workers fail at random while planners replace each other.
#[tokio::test(start_paused = true)]
async fn random_faults_repeat_and_lose_nothing() {
    for seed in 0..30 {
        let mut random = SmallRng::seed_from_u64(seed);
        let bed = TestBed::new(5);
        let mix = [
            (FaultKind::LoseAnswer, 40),
            (FaultKind::LoseRequest, 40),
            (FaultKind::Unreachable, 20),
            (
                FaultKind::LateEffect(seconds(random.random_range(1..30))),
                30,
            ),
            (
                FaultKind::Duplicate(seconds(random.random_range(1..30))),
                30,
            ),
            (FaultKind::Slow(seconds(random.random_range(1..4))), 30),
        ];
        bed.table.faults().set_random_faults(mix);
        bed.each_worker(|worker| worker.faults().set_random_faults(mix));
        let mut planner = bed.start_planner(1).await;
        let mut jobs = Vec::new();
        for epoch in 2..6 {
            if let Ok(job) = planner.handle.submit(batch_job(15, seconds(15))).await {
                jobs.push(job);
            }
            sleep(seconds(random.random_range(5..40))).await;
            let place = random.random_range(0..5);
            bed.worker(place).restart();
            planner = bed.start_planner(epoch).await;
        }
        sleep(seconds(60)).await;
        bed.table.faults().clear_faults();
        bed.each_worker(|worker| worker.faults().clear_faults());
        for job in jobs {
            assert_eq!(
                planner.wait_until_ended(job, seconds(600)).await.finished,
                15,
                "seed {seed}"
            );
        }
        bed.check_single_runs();
    }
}

// A start is delayed in the network for longer than the lease, alone or with the renewals around
// it. Its run is ended as lost and started elsewhere; the delayed start then arrives at once or
// after the worker was adopted again, and must be rejected.
#[tokio::test(start_paused = true)]
async fn a_start_delayed_beyond_the_lease_is_rejected() {
    for late in [30, 60, 90, 150] {
        let stuck = FaultKind::LateEffect(seconds(late));
        for others in [stuck, FaultKind::Unreachable] {
            let bed = TestBed::new(6);
            let planner = bed.start_planner(1).await;
            sleep(seconds(4)).await;
            let faults = bed.worker(1).faults();
            faults.set_fault(CallKind::Start, stuck);
            let job = planner
                .handle
                .submit(batch_job(40, seconds(200)))
                .await
                .unwrap();
            sleep(seconds(2)).await;
            faults.set_outage(OutageState::Down(others));
            sleep(seconds(55)).await;
            faults.clear_faults();
            assert_eq!(
                planner.wait_until_ended(job, seconds(1200)).await.finished,
                40
            );
            bed.check_single_runs();
        }
    }
}

// The VM list shows a VM at a new address while the one at the former address still runs, because
// the list is late or wrong. The worker at the new address does not know the tasks; they must not
// be taken for lost before the former lease lapses.
#[tokio::test(start_paused = true)]
async fn a_worker_listed_at_a_new_address_lapses_first() {
    let bed = TestBed::new(6);
    let listed = bed.vms.borrow().clone();
    let spare = listed.vms[5].worker.clone().unwrap().address;
    let show = |moved: bool| {
        let mut vms = VmSnapshot::clone(&listed);
        vms.revision += u64::from(moved);
        vms.vms.truncate(5);
        if let (true, Some(worker)) = (moved, &mut vms.vms[1].worker) {
            worker.address = spare;
        }
        bed.vms.send_replace(Arc::new(vms));
    };
    show(false);
    let planner = bed.start_planner(1).await;
    let services = planner.handle.submit(service_job(20)).await.unwrap();
    sleep(seconds(11)).await;
    assert!(!bed.worker(1).running().is_empty());
    show(true);
    sleep(seconds(90)).await;
    bed.check();
    assert_eq!(planner.status(services).await.running, 20);
    assert_eq!(bed.ledger.running().len(), 20);
}
