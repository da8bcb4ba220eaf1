//! Answers of workers that an owner receives only after it was suspended.

mod common;

use std::time::Duration;

use common::{
    Fleet,
    configuration,
    graph,
    ms,
    step, //
};
use jasminebend_dispatch::{
    AcceptedJob,
    DispatchSettings,
    Dispatcher,
    EndedRun,
    JobKey,
    OrderOutcome,
    RenewalReport,
    RunResult,
    WorkerKey,
    WorkerOrder, //
};

/// When the answer arrives that the worker sent before it restarted.
const RESUMED_AT: Duration = Duration::from_millis(9000);

fn report(clock: Duration, completions: Vec<EndedRun>) -> RenewalReport {
    RenewalReport {
        clock,
        incarnation: Some(ms(500)),
        running: Vec::new(),
        completions,
    }
}

/// Returns an owner that has a worker's first completion on record, and a renewal to it under way since 1.4 s.
fn owner_with_acknowledged_completion() -> (Dispatcher, WorkerKey) {
    let record = Fleet::new(1, 1).workers[0].record().clone();
    let mut dispatcher = Dispatcher::new(1, DispatchSettings::default());
    dispatcher.set_configuration(configuration(3));
    let worker = dispatcher.upsert_worker(record, None);
    dispatcher.note_activity(ms(1000));
    dispatcher.next_renewal(worker, true, ms(1000));
    dispatcher.handle_renewal_report(worker, ms(1000), report(ms(1000), Vec::new()), ms(1000));
    let job = AcceptedJob {
        queue: "queue".into(),
        rule: None,
        graph: graph(vec![step(1, &[])]).into(),
        accepted: Duration::ZERO,
        inherited: false,
    };
    dispatcher.add_job(JobKey::new(1), job);
    let [WorkerOrder::Start(start)] = &dispatcher.plan(ms(1100)).orders[..] else {
        panic!("the task starts");
    };
    let (task, run) = (start.task, start.run);
    dispatcher.handle_start_outcome(worker, task, run, OrderOutcome::Taken, ms(1100));
    let ended = EndedRun {
        number: 1,
        task,
        run,
        result: RunResult::Done,
        checkpoint: None,
    };
    dispatcher.next_renewal(worker, true, ms(1200));
    dispatcher.handle_renewal_report(worker, ms(1200), report(ms(1300), vec![ended]), ms(1300));
    assert_eq!(dispatcher.take_records_to_commit(1).len(), 1);
    dispatcher.confirm_commit();
    dispatcher.note_activity(ms(1400));
    assert_eq!(
        dispatcher.next_renewal(worker, true, ms(1400)).acknowledged,
        1
    );
    (dispatcher, worker)
}

/// Guards against completions of a worker's new incarnation that are acknowledged by the numbers of the old one, and so
/// lost: the answer that the old one had given before the owner was suspended counted as a sign that none had restarted.
#[test]
fn answer_from_before_a_suspension_acknowledges_nothing() {
    for notes_activity_first in [true, false] {
        let (mut dispatcher, worker) = owner_with_acknowledged_completion();
        if notes_activity_first {
            dispatcher.note_activity(RESUMED_AT);
        }
        let stale = report(ms(1500), Vec::new());
        dispatcher.handle_renewal_report(worker, ms(1400), stale, RESUMED_AT);
        let renewal = dispatcher.next_renewal(worker, true, RESUMED_AT);
        assert_eq!(
            (renewal.acknowledged, renewal.deadline),
            (0, None),
            "{notes_activity_first}"
        );
        let answered_at = RESUMED_AT + ms(20);
        let fresh = report(answered_at, Vec::new());
        dispatcher.handle_renewal_report(worker, RESUMED_AT, fresh, answered_at);
        let renewal = dispatcher.next_renewal(worker, true, answered_at);
        assert_eq!(renewal.acknowledged, 1, "{notes_activity_first}");
    }
}
