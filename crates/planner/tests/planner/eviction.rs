//! Evicted work resumes once.

use jasminebend_base::DomainState;
use jasminebend_standins::{
    CallKind,
    CheckpointMode,
    FaultKind, //
};
use tokio::time::sleep;

use crate::test_bed::{
    TestBed,
    batch,
    seconds, //
};

// Reconciliation is skipped or done twice. A task is evicted, and its checkpoint fails, or is lost
// later, or is written while the answer is lost, arrives late, or twice.
#[tokio::test(start_paused = true)]
async fn a_checkpoint_that_goes_wrong_costs_work_and_never_a_task() {
    let modes = [
        CheckpointMode::Kept,
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
            let planner = bed.planner(1).await;
            let job = planner.handle.submit(batch(40, seconds(30))).await.unwrap();
            sleep(seconds(12)).await;
            bed.each_worker(|worker| {
                worker.set_knobs(|knobs| knobs.checkpoints = mode);
                for _ in 0..3 {
                    if let Some(kind) = fault {
                        worker.faults().once(CallKind::Checkpoint, kind);
                    }
                }
            });
            bed.set_domain("a", DomainState::Out);
            assert_eq!(planner.ended(job, seconds(300)).await.finished, 40);
            let summary = bed.check();
            assert_eq!(summary.finishes, 40, "{mode:?} {fault:?}");
            assert_eq!(summary.repeated_resumes, 0, "{mode:?} {fault:?}");
            assert_eq!(summary.starts_after_finish, 0, "{mode:?} {fault:?}");
        }
    }
}

// A result is lost. The task cannot be checkpointed and is to be stopped, and finishes just before the
// stop comes: taken for stopped, it would run again.
#[tokio::test(start_paused = true)]
async fn a_task_that_finishes_as_it_is_stopped_is_not_run_again() {
    for step in 0..24 {
        let bed = TestBed::new(6);
        let planner = bed.planner(1).await;
        bed.each_worker(|worker| {
            worker.set_knobs(|knobs| knobs.checkpoints = CheckpointMode::Fails);
            let slow = FaultKind::Slow(seconds(1));
            worker.faults().always(CallKind::Stop, slow);
        });
        let job = planner.handle.submit(batch(24, seconds(20))).await.unwrap();
        sleep(seconds(18) + seconds(1) / 8 * step).await;
        bed.set_domain("a", DomainState::Out);
        assert_eq!(planner.ended(job, seconds(300)).await.finished, 24);
        assert_eq!(bed.check().starts_after_finish, 0, "step {step}");
    }
}
