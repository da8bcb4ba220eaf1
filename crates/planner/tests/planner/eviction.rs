//! Tests that evicted tasks are resumed exactly once.

use jasminebend_base::DomainState;
use jasminebend_standins::{
    CallKind,
    CheckpointMode,
    FaultKind, //
};
use tokio::time::sleep;

use crate::test_bed::{
    TestBed,
    batch_job,
    seconds, //
};

// Evicts tasks while checkpoints fail, are lost later, or are written although the answer is lost,
// late or duplicated. Every task must still finish exactly once.
#[tokio::test(start_paused = true)]
async fn a_failed_or_lost_checkpoint_loses_work_but_no_task() {
    let modes = [
        CheckpointMode::Saved,
        CheckpointMode::Fails,
        CheckpointMode::Lost,
    ];
    let faults = [
        None,
        Some(FaultKind::LoseAnswer),
        Some(FaultKind::LoseRequest),
        Some(FaultKind::Malformed),
        Some(FaultKind::LateEffect(seconds(3))),
        Some(FaultKind::Duplicate(seconds(6))),
    ];
    for mode in modes {
        for fault in faults {
            let bed = TestBed::new(6);
            let planner = bed.start_planner(1).await;
            let job = planner
                .handle
                .submit(batch_job(40, seconds(30)))
                .await
                .unwrap();
            sleep(seconds(12)).await;
            bed.each_worker(|worker| {
                worker.update_settings(|settings| settings.checkpoints = mode);
                for _ in 0..3 {
                    if let Some(kind) = fault {
                        worker.faults().queue_fault(CallKind::Checkpoint, kind);
                    }
                }
            });
            bed.set_domain("a", DomainState::Out);
            assert_eq!(
                planner.wait_until_ended(job, seconds(300)).await.finished,
                40
            );
            let summary = bed.check();
            assert_eq!(summary.finishes, 40, "{mode:?} {fault:?}");
            assert_eq!(summary.repeated_resumes, 0, "{mode:?} {fault:?}");
            assert_eq!(summary.starts_after_finish, 0, "{mode:?} {fault:?}");
        }
    }
}

// A task that cannot be checkpointed is stopped and finishes just before the stop arrives. If it
// were taken for stopped, its result would be lost and it would run again.
#[tokio::test(start_paused = true)]
async fn a_task_that_finishes_as_it_is_stopped_is_not_run_again() {
    for step in 0..24 {
        let bed = TestBed::new(6);
        let planner = bed.start_planner(1).await;
        bed.each_worker(|worker| {
            worker.update_settings(|settings| settings.checkpoints = CheckpointMode::Fails);
            let slow = FaultKind::Slow(seconds(1));
            worker.faults().set_fault(CallKind::Stop, slow);
        });
        let job = planner
            .handle
            .submit(batch_job(24, seconds(20)))
            .await
            .unwrap();
        sleep(seconds(18) + seconds(1) / 8 * step).await;
        bed.set_domain("a", DomainState::Out);
        assert_eq!(
            planner.wait_until_ended(job, seconds(300)).await.finished,
            24
        );
        assert_eq!(bed.check().starts_after_finish, 0, "step {step}");
    }
}
