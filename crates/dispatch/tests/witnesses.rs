//! Workers as witnesses of the owner that they follow.

mod common;

use std::time::Duration;

use common::{
    Fleet,
    ms, //
};
use jasminebend_dispatch::{
    DispatchSettings,
    Dispatcher,
    RenewalReport,
    WorkerKey, //
};

const FIRST_LIFE: Duration = Duration::from_millis(500);
const SECOND_LIFE: Duration = Duration::from_millis(2500);

fn answer(dispatcher: &mut Dispatcher, worker: WorkerKey, incarnation: Duration, sent: Duration) {
    dispatcher.next_renewal(worker, true, sent);
    let report = RenewalReport {
        clock: sent,
        incarnation: Some(incarnation),
        running: Vec::new(),
        completions: Vec::new(),
    };
    dispatcher.handle_renewal_report(worker, sent, report, sent + ms(10));
}

fn owner_of_two_workers() -> (Dispatcher, [WorkerKey; 2], String) {
    let mut dispatcher = Dispatcher::new(1, DispatchSettings::default());
    let fleet = Fleet::new(2, 1);
    let records = [0, 1].map(|number: usize| fleet.workers[number].record().clone());
    let id = records[0].id.to_string();
    let keys = records.map(|record| dispatcher.upsert_worker(record, None));
    (dispatcher, keys, id)
}

/// Guards against two owners at a time: a worker that has restarted has forgotten its successor's token, and counted for a
/// former owner.
#[test]
fn restarted_worker_witnesses_no_former_incarnation() {
    let (mut dispatcher, [worker, _], id) = owner_of_two_workers();
    assert_eq!(dispatcher.answered_call_at(&id, FIRST_LIFE), None);
    answer(&mut dispatcher, worker, FIRST_LIFE, ms(1000));
    assert_eq!(dispatcher.answered_call_at(&id, FIRST_LIFE), Some(ms(1000)));
    answer(&mut dispatcher, worker, SECOND_LIFE, ms(3000));
    assert_eq!(dispatcher.answered_call_at(&id, FIRST_LIFE), None);
    assert_eq!(
        dispatcher.answered_call_at(&id, SECOND_LIFE),
        Some(ms(3000))
    );
}

/// Guards against witnesses that never answer: workers that are gone, or were never reached.
#[test]
fn only_workers_that_answer_are_witnesses() {
    let (mut dispatcher, [worker, other], id) = owner_of_two_workers();
    answer(&mut dispatcher, worker, FIRST_LIFE, ms(1000));
    let witnesses = |dispatcher: &Dispatcher, now| dispatcher.answering_workers(now).count();
    assert_eq!(witnesses(&dispatcher, ms(1500)), 1);
    answer(&mut dispatcher, other, FIRST_LIFE, ms(4000));
    assert_eq!(witnesses(&dispatcher, ms(4500)), 2);
    assert_eq!(witnesses(&dispatcher, ms(6000)), 1);
    dispatcher.mark_unlisted(&id);
    assert_eq!(witnesses(&dispatcher, ms(4500)), 1);
}

/// Guards against an owner that stops in an outage: its workers delayed their answers for longer than each counts.
#[test]
fn workers_answer_soon_while_the_owner_is_without_the_store() {
    let (mut dispatcher, [worker, _], _) = owner_of_two_workers();
    answer(&mut dispatcher, worker, FIRST_LIFE, ms(1000));
    assert!(dispatcher.next_renewal(worker, true, ms(1100)).max_wait > ms(500));
    dispatcher.set_storeless(true);
    assert!(dispatcher.next_renewal(worker, true, ms(1200)).max_wait <= ms(500));
}
