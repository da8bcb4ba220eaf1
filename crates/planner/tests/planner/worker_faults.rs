//! Workers that restart, fail, fall silent, or lie about their size.

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
    batch,
    seconds,
    service, //
};

// A worker restarts and forgets its runs; they must run again, each in one place, and those that its
// planner does not yet know to have ended too.
#[tokio::test(start_paused = true)]
async fn runs_of_a_worker_that_restarts_or_fails_run_again() {
    for fails in [false, true] {
        let bed = TestBed::new(4);
        let planner = bed.planner(1).await;
        let services = planner.handle.submit(service(4)).await.unwrap();
        let job = planner.handle.submit(batch(20, seconds(30))).await.unwrap();
        sleep(seconds(12)).await;
        match fails {
            true => bed.worker(0).fail(),
            false => bed.worker(0).restart(),
        }
        assert_eq!(planner.ended(job, seconds(200)).await.finished, 20);
        assert_eq!(planner.status(services).await.running, 4);
        bed.check_places();
    }
}

// A start's answer is lost: the task runs although its planner was not told. Started elsewhere, it
// would run twice; its room counted free, the worker would be given more than it holds.
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
        let planner = bed.planner(1).await;
        sleep(seconds(3)).await;
        bed.each_worker(|worker| {
            for _ in 0..8 {
                worker.faults().once(CallKind::Start, fault);
            }
        });
        let job = planner.handle.submit(batch(64, seconds(30))).await.unwrap();
        assert_eq!(planner.ended(job, seconds(300)).await.finished, 64);
        let summary = bed.check();
        assert_eq!(summary.finishes, 64, "{fault:?}");
    }
}

// A worker is cut off for a while, short or long, with requests lost or answers lost; its tasks are
// started elsewhere while they still run there, or while a start is stuck on the way.
#[tokio::test(start_paused = true)]
async fn a_worker_cut_off_runs_nothing_that_runs_elsewhere() {
    for kind in [
        FaultKind::Unreachable,
        FaultKind::LoseRequest,
        FaultKind::LoseAnswer,
        FaultKind::LateEffect(seconds(7)),
        FaultKind::LateEffect(seconds(70)),
    ] {
        for time in [4, 12, 20, 35, 90] {
            let bed = TestBed::new(4);
            let planner = bed.planner(1).await;
            let services = planner.handle.submit(service(4)).await.unwrap();
            let job = planner.handle.submit(batch(60, seconds(20))).await.unwrap();
            sleep(seconds(9)).await;
            bed.worker(1).faults().set_outage(OutageState::Down(kind));
            sleep(seconds(time)).await;
            bed.worker(1).faults().set_outage(OutageState::Up);
            assert_eq!(planner.ended(job, seconds(600)).await.finished, 60);
            sleep(seconds(60)).await;
            assert_eq!(planner.status(services).await.running, 4);
            assert_eq!(bed.ledger.running().len(), 4, "{kind:?} {time}");
            bed.check_places();
        }
    }
}

// A class declares a tenth, or ten times, of what it uses. Counted as declared, ten times too many
// tasks go on a worker, or nine tenths of it stay idle. One measurement a report has to do.
#[tokio::test(start_paused = true)]
async fn sizes_declared_wrong_by_ten_times_are_learned() {
    let sampled = PlannerSettings::new(1).with_usage_bytes(0);
    let cases = [(5_000, 1), (100, 20)];
    let cases =
        cases.map(|case| [PlannerSettings::new(1), sampled].map(|settings| (case, settings)));
    for ((used, share), settings) in cases.into_iter().flatten() {
        let bed = TestBed::new(4).with_settings(settings);
        let planner = bed.planner(1).await;
        let mut spec = batch(2_000, seconds(45));
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

// Everything goes wrong by chance, at the table and at the workers, while planners follow each other.
#[tokio::test(start_paused = true)]
async fn random_faults_double_and_lose_nothing() {
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
        bed.table.faults().mix(mix);
        bed.each_worker(|worker| worker.faults().mix(mix));
        let mut planner = bed.planner(1).await;
        let mut jobs = Vec::new();
        for epoch in 2..6 {
            if let Ok(job) = planner.handle.submit(batch(15, seconds(15))).await {
                jobs.push(job);
            }
            sleep(seconds(random.random_range(5..40))).await;
            let place = random.random_range(0..5);
            bed.worker(place).restart();
            planner = bed.planner(epoch).await;
        }
        sleep(seconds(60)).await;
        bed.table.faults().heal();
        bed.each_worker(|worker| worker.faults().heal());
        for job in jobs {
            assert_eq!(
                planner.ended(job, seconds(600)).await.finished,
                15,
                "seed {seed}"
            );
        }
        bed.check_places();
    }
}

// A task runs in two places. A start is stuck in the network for longer than the lease, alone or with
// the renewals around it; its run is given up and started elsewhere; then what was stuck arrives, at
// once or after the worker was adopted again.
#[tokio::test(start_paused = true)]
async fn a_start_stuck_beyond_the_lease_is_refused_when_it_arrives() {
    for late in [30, 60, 90, 150] {
        let stuck = FaultKind::LateEffect(seconds(late));
        for others in [stuck, FaultKind::Unreachable] {
            let bed = TestBed::new(6);
            let planner = bed.planner(1).await;
            sleep(seconds(4)).await;
            let faults = bed.worker(1).faults();
            faults.always(CallKind::Start, stuck);
            let job = planner
                .handle
                .submit(batch(40, seconds(200)))
                .await
                .unwrap();
            sleep(seconds(2)).await;
            faults.set_outage(OutageState::Down(others));
            sleep(seconds(55)).await;
            faults.heal();
            assert_eq!(planner.ended(job, seconds(1200)).await.finished, 40);
            bed.check_places();
        }
    }
}

// A task runs in two places. The VM list shows a VM at a new address while the old one still runs: it
// lags, or is wrong; the new one knows nothing of the tasks, which are taken for lost.
#[tokio::test(start_paused = true)]
async fn a_worker_that_is_listed_elsewhere_lapses_first() {
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
    let planner = bed.planner(1).await;
    let services = planner.handle.submit(service(20)).await.unwrap();
    sleep(seconds(11)).await;
    assert!(!bed.worker(1).running().is_empty());
    show(true);
    sleep(seconds(90)).await;
    bed.check();
    assert_eq!(planner.status(services).await.running, 20);
    assert_eq!(bed.ledger.running().len(), 20);
}
