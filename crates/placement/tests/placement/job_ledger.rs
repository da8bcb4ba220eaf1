//! Tests of the job ledger's state transitions.

use jasminebend_base::{
    ClassKind,
    ResourceAmount, //
};
use jasminebend_placement::{
    CheckpointName,
    JobId,
    JobLedger,
    JobSpec,
    JobTransition,
    LedgerError,
    RunOutcome,
    TaskId,
    TaskState, //
};

const JOB: JobId = JobId(7);
const TASK: TaskId = TaskId { job: JOB, index: 0 };

fn accepted() -> JobTransition {
    JobTransition::Accepted {
        job: JOB,
        spec: Box::new(JobSpec {
            team: "repairs".into(),
            class: "reconciliation".into(),
            tasks: 2,
            size: ResourceAmount::new(1000, 1024),
            payload: String::new(),
            run_time: None,
            key: None,
        }),
        kind: ClassKind::Batch,
        submitted_ms: 0,
    }
}

fn placed(attempt: u32) -> JobTransition {
    JobTransition::Placed {
        task: TASK,
        attempt,
        worker: "worker-1".into(),
        reserved: ResourceAmount::new(1000, 1024),
    }
}

fn ended(attempt: u32, end: RunOutcome) -> JobTransition {
    JobTransition::Ended {
        task: TASK,
        attempt,
        end,
        ran_ms: 5_000,
    }
}

fn finished(attempt: u32) -> JobTransition {
    let result = "42".to_owned();
    ended(attempt, RunOutcome::Finished { result })
}

fn ledger_after<const COUNT: usize>(transitions: [JobTransition; COUNT]) -> JobLedger {
    let mut ledger = JobLedger::new();
    for transition in &transitions {
        ledger.apply(transition).unwrap();
    }
    ledger
}

// Guards against a task that runs on two workers, and a result that is reported twice: a transition
// that is invalid in the committed state must be rejected and leave the ledger unchanged.
#[test]
fn invalid_transitions_are_rejected_without_effect() {
    let out_of_order = |attempt| LedgerError::OutOfOrder {
        task: TASK,
        attempt,
    };
    let duplicate = LedgerError::DuplicateJob { job: JOB };
    let open = LedgerError::OpenTasks { job: JOB };
    let unknown = LedgerError::UnknownJob { job: JOB };
    let lost = || ended(1, RunOutcome::Lost { checkpoint: None });
    let table = [
        (ledger_after([]), placed(1), unknown),
        (ledger_after([accepted()]), accepted(), duplicate),
        (ledger_after([accepted()]), placed(2), out_of_order(2)),
        (ledger_after([accepted()]), finished(1), out_of_order(1)),
        (
            ledger_after([accepted(), placed(1)]),
            placed(2),
            out_of_order(2),
        ),
        (
            ledger_after([accepted(), placed(1)]),
            finished(2),
            out_of_order(2),
        ),
        (
            ledger_after([accepted(), placed(1), finished(1)]),
            finished(1),
            out_of_order(1),
        ),
        (
            ledger_after([accepted(), placed(1), finished(1)]),
            placed(2),
            out_of_order(2),
        ),
        (
            ledger_after([accepted(), placed(1), lost()]),
            placed(1),
            out_of_order(1),
        ),
        (
            ledger_after([accepted(), placed(1), lost(), placed(2)]),
            finished(1),
            out_of_order(1),
        ),
        (
            ledger_after([accepted()]),
            JobTransition::Closed { job: JOB },
            open,
        ),
    ];
    for (mut ledger, transition, error) in table {
        let before = ledger.clone();
        assert_eq!(ledger.apply(&transition), Err(error), "{transition:?}");
        assert_eq!(ledger, before);
    }
}

#[test]
fn an_evicted_task_resumes_from_its_last_checkpoint() {
    let checkpoint = CheckpointName::from("one");
    let ledger = ledger_after([
        accepted(),
        placed(1),
        ended(
            1,
            RunOutcome::Checkpointed {
                checkpoint: checkpoint.clone(),
            },
        ),
        placed(2),
        ended(2, RunOutcome::Lost { checkpoint: None }),
    ]);
    let task = ledger.task(TASK).unwrap();
    assert_eq!(task.checkpoint, Some(checkpoint));
    assert_eq!(
        (task.attempt, task.evictions, task.lost_work_ms),
        (2, 1, 5_000)
    );
    assert_eq!(task.state, TaskState::Queued);
}

#[test]
fn a_cancelled_job_ends_once_its_runs_have_stopped() {
    let mut ledger = ledger_after([accepted(), placed(1), JobTransition::Cancelled { job: JOB }]);
    assert!(!ledger.job(JOB).unwrap().is_complete());
    ledger.apply(&ended(1, RunOutcome::Stopped)).unwrap();
    assert!(ledger.job(JOB).unwrap().is_complete());
    ledger.apply(&JobTransition::Closed { job: JOB }).unwrap();
    assert!(ledger.job(JOB).is_none());
}
