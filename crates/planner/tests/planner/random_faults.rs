//! Tests random faults of the table and the workers while operators act.

use jasminebend_base::{
    DomainName,
    DomainState, //
};
use jasminebend_planner::JobPhase;
use jasminebend_standins::{
    FaultKind,
    RunEnd, //
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

/// Returns random faults with their probability in thousandths.
fn random_fault_mix(random: &mut SmallRng) -> [(FaultKind, u32); 6] {
    let late = seconds(random.random_range(1..30));
    let twice = seconds(random.random_range(1..30));
    let slow = seconds(random.random_range(1..4));
    [
        (FaultKind::LoseAnswer, 40),
        (FaultKind::LoseRequest, 40),
        (FaultKind::Unreachable, 20),
        (FaultKind::LateEffect(late), 30),
        (FaultKind::Duplicate(twice), 30),
        (FaultKind::Slow(slow), 30),
    ]
}

// Operators take a failure domain out and in and cancel jobs, planners replace each other, workers
// restart and fail, and calls to all of them fail at random. No task may run in two places,
// continue after its cancellation, or start in the domain that is out.
#[tokio::test(start_paused = true)]
async fn operator_actions_under_random_faults_lose_and_repeat_nothing() {
    for seed in (0..30).chain([74]) {
        let mut random = SmallRng::seed_from_u64(seed);
        let bed = TestBed::new(8);
        let mut planner = bed.start_planner(1).await;
        let services = planner.handle.submit(service_job(5)).await.unwrap();
        sleep(seconds(5)).await;
        let faults = random_fault_mix(&mut random);
        bed.table.faults().set_random_faults(faults);
        bed.each_worker(|worker| worker.faults().set_random_faults(faults));
        let mut jobs = Vec::new();
        let mut cancelled = Vec::new();
        for epoch in 2..6 {
            if let Ok(job) = planner.handle.submit(batch_job(15, seconds(15))).await {
                jobs.push(job);
            }
            bed.set_domain("b", DomainState::Out);
            let out = bed.now();
            sleep(seconds(random.random_range(5..30))).await;
            let domain = DomainName::from("b");
            let late = bed.ledger.starts_in(&domain, out + seconds(3), bed.now());
            assert!(late.is_empty(), "seed {seed}: {late:?}");
            bed.set_domain("b", DomainState::In);
            if random.random_bool(0.3)
                && let Some(job) = jobs.pop()
            {
                cancelled.push((job, planner.handle.cancel(job).await));
            }
            let worker = bed.worker(random.random_range(0..8));
            match random.random_bool(0.5) {
                true => worker.restart(),
                false => worker.fail(),
            }
            sleep(seconds(random.random_range(1..30))).await;
            worker.restart();
            planner = bed.start_planner(epoch).await;
        }
        sleep(seconds(60)).await;
        bed.table.faults().clear_faults();
        bed.each_worker(|worker| worker.faults().clear_faults());
        for job in jobs {
            let status = planner.wait_until_ended(job, seconds(600)).await;
            assert_eq!(status.finished, 15, "seed {seed}");
        }
        for (job, answer) in cancelled {
            let status = planner.wait_until_ended(job, seconds(600)).await;
            let consistent = answer.is_err() || status.finished == 15;
            assert!(
                consistent || status.phase == JobPhase::Cancelled,
                "{status:?}"
            );
        }
        assert_eq!(planner.status(services).await.running, 5, "seed {seed}");
        assert_eq!(bed.ledger.running().len(), 5, "seed {seed}");
        let runs = bed.ledger.runs();
        let ends = runs.iter().filter_map(|run| run.ended);
        assert!(ends.clone().any(|(_, end)| end == RunEnd::Checkpointed));
        bed.check_single_runs();
    }
}
