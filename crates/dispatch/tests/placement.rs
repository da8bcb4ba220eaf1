//! Which task goes where, and when.

#![expect(
    clippy::unwrap_used,
    reason = "a test's helpers panic as the test does"
)]

mod common;

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use common::{
    Fleet,
    graph,
    ms,
    step, //
};
use jasminebend_base::{
    DomainName,
    ResourceAmount, //
};
use jasminebend_dispatch::{
    JobOutcome,
    JobProgress,
    JobSchedule,
    StepSpec,
    TaskKey, //
};
use jasminebend_standins::{
    TaskWork,
    WorkerDeed, //
};

const COMPLETED: Option<JobProgress> = Some(JobProgress::Ended(JobOutcome::Completed));

fn began(fleet: &Fleet, worker: usize) -> Vec<TaskKey> {
    let deeds = fleet.workers[worker].deeds().iter();
    let began = deeds.filter_map(|(_, deed)| match deed {
        WorkerDeed::Began(task, _) => Some(*task),
        _ => None,
    });
    began.collect()
}

fn when(fleet: &Fleet, task: &str, wanted: fn(&WorkerDeed) -> bool) -> Option<Duration> {
    let task: TaskKey = task.parse().unwrap();
    let deeds = fleet.workers.iter().flat_map(|worker| worker.deeds());
    let mut times = deeds.filter_map(|(at, deed)| {
        let named = match deed {
            WorkerDeed::Began(named, _) | WorkerDeed::Ended(named, ..) => *named,
            WorkerDeed::Noted(named, _) => *named,
        };
        (named == task && wanted(deed)).then_some(*at)
    });
    times.next()
}

fn is_begin(deed: &WorkerDeed) -> bool {
    matches!(deed, WorkerDeed::Began(..))
}

fn is_end(deed: &WorkerDeed) -> bool {
    matches!(deed, WorkerDeed::Ended(..))
}

/// The tests' tasks take one core and run 300 ms; this one takes its time.
fn slow_work(_task: TaskKey) -> TaskWork {
    TaskWork {
        lasts: ms(60_000),
        fails: false,
        size: ResourceAmount::new(1000, 100),
    }
}

#[test]
fn a_step_waits_for_those_before_it() {
    let mut fleet = Fleet::new(1, 1);
    let job = fleet.submit(1, graph(vec![step(2, &[]), step(1, &[0])]));
    fleet.run_for(ms(2000));
    assert_eq!(fleet.progress(job), COMPLETED);
    let first = when(&fleet, "0000000000000001.0.0.1", is_end).unwrap();
    let second = when(&fleet, "0000000000000001.0.1.0", is_begin).unwrap();
    assert!(second >= first);
}

#[test]
fn no_worker_gets_more_than_it_holds() {
    let mut fleet = Fleet::new(2, 1).with_work(slow_work);
    fleet.submit(1, graph(vec![step(20, &[])]));
    fleet.run_for(ms(1000));
    assert_eq!(
        fleet.workers[0].run_count() + fleet.workers[1].run_count(),
        8
    );
    assert_eq!(fleet.check(), Vec::<String>::new());
}

/// What is being stopped still takes its room until its worker says that it ended.
#[test]
fn the_room_of_a_stopped_task_is_free_when_its_end_is_told() {
    let mut fleet = Fleet::new(1, 1).with_work(slow_work);
    let first = fleet.submit(1, graph(vec![step(4, &[])]));
    fleet.run_for(ms(500));
    fleet.submit(2, graph(vec![step(4, &[])]));
    fleet.cancel(first);
    fleet.run_for(ms(1000));
    assert_eq!(fleet.workers[0].run_count(), 4);
    assert_eq!(fleet.check(), Vec::<String>::new());
}

#[test]
fn nothing_starts_in_a_closed_domain_or_on_a_worker_that_leaves() {
    let mut fleet = Fleet::new(3, 1);
    fleet.run_for(ms(100));
    let mut moved = fleet.workers[0].record().clone();
    moved.domain = DomainName::from("domain-b");
    let mut leaving = fleet.workers[1].record().clone();
    leaving.draining = true;
    let dispatcher = &mut fleet.owner().dispatcher;
    dispatcher.list_worker(moved, None);
    dispatcher.list_worker(leaving, None);
    dispatcher.close_domains(BTreeSet::from([DomainName::from("domain-b")]));
    let job = fleet.submit(1, graph(vec![step(12, &[])]));
    fleet.run_for(ms(4000));
    assert_eq!(fleet.progress(job), COMPLETED);
    assert_eq!((began(&fleet, 0).len(), began(&fleet, 1).len()), (0, 0));
}

#[test]
fn a_label_a_spread_and_the_datas_rack_are_heeded() {
    let mut fleet = Fleet::new(3, 1).with_work(slow_work);
    fleet.run_for(ms(100));
    let mut labelled = fleet.workers[2].record().clone();
    labelled.labels = vec!["b".into(), "rack-9".into()];
    fleet.owner().dispatcher.list_worker(labelled, None);
    let wanted = StepSpec {
        label: Some("b".into()),
        ..step(2, &[])
    };
    let spread = StepSpec {
        spread: Some(1),
        ..step(3, &[])
    };
    let near = StepSpec {
        data_rack: Some("rack-9".into()),
        ..step(1, &[])
    };
    fleet.submit(1, graph(vec![wanted]));
    fleet.submit(2, graph(vec![near]));
    fleet.run_for(ms(200));
    assert_eq!(began(&fleet, 2).len(), 3);
    fleet.submit(3, graph(vec![spread]));
    fleet.run_for(ms(200));
    assert_eq!((began(&fleet, 0).len(), began(&fleet, 1).len()), (1, 1));
}

/// A gang of which some members wait for room holds what others could use, and gets nowhere.
#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut fleet = Fleet::new(2, 1).with_work(slow_work);
    let filler = fleet.submit(1, graph(vec![step(3, &[])]));
    fleet.run_for(ms(300));
    let gang = StepSpec {
        gang: true,
        ..step(6, &[])
    };
    let job = fleet.submit(2, graph(vec![gang]));
    fleet.run_for(ms(500));
    assert_eq!(fleet.begins(job), 0);
    fleet.cancel(filler);
    fleet.run_for(ms(500));
    assert_eq!(fleet.begins(job), 6);
}

fn always_fails(_task: TaskKey) -> TaskWork {
    TaskWork {
        lasts: ms(50),
        fails: true,
        size: ResourceAmount::new(1000, 100),
    }
}

/// A job that can never be done must not take the workers that others need.
#[test]
fn a_task_fails_as_often_as_it_may_and_its_job_with_it() {
    let mut fleet = Fleet::new(6, 1).with_work(always_fails).with_attempts(3);
    let job = fleet.submit(1, graph(vec![step(1, &[])]));
    fleet.run_for(ms(20_000));
    assert_eq!(
        fleet.progress(job),
        Some(JobProgress::Ended(JobOutcome::Failed))
    );
    assert_eq!(fleet.begins(job), 3);
}

/// An order is lost, late or unanswered as its job is cancelled: nothing of it may run on, or come later.
#[test]
fn nothing_of_a_cancelled_job_runs_on() {
    let mut fleet = Fleet::new(2, 7).with_work(slow_work);
    fleet.faults.late = 30;
    fleet.faults.unanswered = 30;
    let job = fleet.submit(1, graph(vec![step(8, &[])]));
    fleet.run_for(ms(400));
    fleet.cancel(job);
    fleet.run_for(ms(3000));
    let running: usize = fleet.workers.iter().map(|worker| worker.run_count()).sum();
    assert_eq!(running, 0);
    fleet.run_for(ms(15_000));
    let running: usize = fleet.workers.iter().map(|worker| worker.run_count()).sum();
    assert_eq!(running, 0);
}

/// A burst fills the pool. A job with an ended step must not wait behind all that came after it.
#[test]
fn what_is_begun_is_finished_before_more_is_begun() {
    let mut fleet = Fleet::new(1, 1);
    let first = fleet.submit(1, graph(vec![step(4, &[]), step(1, &[0])]));
    fleet.run_for(ms(100));
    for number in 2..30 {
        fleet.submit(number, graph(vec![step(4, &[])]));
    }
    fleet.run_for(ms(900));
    assert_eq!(fleet.progress(first), COMPLETED);
}

/// The pool is full of services' tasks that wait for room; a quote that comes and goes is let in first.
#[test]
fn what_lasts_waits_behind_what_comes_and_goes() {
    let mut fleet = Fleet::new(1, 1);
    fleet.submit(1, graph(vec![step(4, &[])]));
    fleet.run_for(ms(50));
    let lasting = StepSpec {
        lasting: true,
        target: Some(ms(20)),
        image: Some("service".into()),
        ..step(8, &[])
    };
    let service = fleet.submit(2, graph(vec![lasting]));
    let quote = fleet.submit(3, graph(vec![step(2, &[])]));
    fleet.run_for(ms(900));
    assert_eq!(fleet.progress(quote), COMPLETED);
    assert!(fleet.begins(service) > 0);
}

#[test]
fn occurrences_begin_when_they_are_due_and_not_before() {
    let mut fleet = Fleet::new(1, 1);
    let repeated = jasminebend_dispatch::JobGraph {
        schedule: Some(JobSchedule {
            first: ms(5000),
            interval: ms(2000),
            count: 2,
        }),
        ..graph(vec![step(1, &[])])
    };
    let job = fleet.submit(1, repeated);
    fleet.owner().dispatcher.begin_due(ms(4999), ms(4999));
    fleet.run_for(ms(500));
    assert_eq!(fleet.begins(job), 0);
    assert_eq!(fleet.owner().dispatcher.next_due(), Some(ms(5000)));
    fleet.owner().dispatcher.begin_due(ms(5000), ms(5000));
    fleet.run_for(ms(900));
    assert_eq!(fleet.begins(job), 1);
    assert_ne!(fleet.progress(job), COMPLETED);
    fleet.owner().dispatcher.begin_due(ms(7000), ms(7000));
    fleet.run_for(ms(900));
    assert_eq!(fleet.progress(job), COMPLETED);
}

/// A VM goes down for its upkeep. Its worker is emptied first, and of a service no more tasks are away at a time
/// than it may miss.
#[test]
fn a_worker_is_emptied_for_upkeep_as_its_services_bear_it() {
    let mut fleet = Fleet::new(3, 1).with_work(|task| TaskWork {
        lasts: Duration::MAX,
        ..slow_work(task)
    });
    let lasting = StepSpec {
        lasting: true,
        may_miss: 1,
        ..step(3, &[])
    };
    let service = fleet.submit(1, graph(vec![lasting]));
    fleet.run_for(ms(500));
    let busy = (0..3)
        .max_by_key(|at| fleet.workers[*at].run_count())
        .unwrap();
    let before = fleet.workers[busy].run_count();
    assert_eq!(before, 3, "they fill one worker");
    let id = fleet.workers[busy].record().id.to_string();
    let now = fleet.now;
    assert!(!fleet.owner().dispatcher.prepare_upkeep(&id, now));
    fleet.run_for(ms(500));
    assert_eq!(fleet.begins(service), 4, "one of them has moved");
    assert_eq!(fleet.workers[busy].run_count(), 2);
}

/// A desk's service is not started again though half the pool is free. A wide gang that finds no room for its last
/// member was taken for a sign that nobody has room for one of its tasks, nor for anything larger.
#[test]
fn a_gang_that_does_not_fit_keeps_nothing_else_out() {
    let mut fleet = Fleet::new(2, 1).with_work(slow_work);
    fleet.run_for(ms(100));
    let gang = StepSpec {
        gang: true,
        ..step(9, &[])
    };
    fleet.submit(1, graph(vec![gang]));
    let lasting = StepSpec {
        lasting: true,
        size: ResourceAmount::new(2000, 200),
        ..step(2, &[])
    };
    let service = fleet.submit(2, graph(vec![lasting]));
    fleet.run_for(ms(500));
    assert_eq!(fleet.begins(service), 2);
}

/// Small jobs of so many tasks come without end, ten a second.
fn press(fleet: &mut Fleet, width: u32, time: Duration) {
    let until = fleet.now + time;
    let mut number = 1000 + fleet.jobs.len() as u64;
    while fleet.now < until {
        fleet.submit(number, graph(vec![step(width, &[])]));
        number += 1;
        fleet.run_for(ms(100));
    }
}

/// A desk's service stands still for ten seconds: one of its tasks is larger than what small jobs leave free at a
/// time, and these come without end.
#[test]
fn a_task_that_lasts_finds_room_among_small_jobs_without_end() {
    let mut fleet = Fleet::new(2, 1);
    press(&mut fleet, 6, ms(500));
    let lasting = StepSpec {
        lasting: true,
        size: ResourceAmount::new(3000, 300),
        ..step(1, &[])
    };
    let service = fleet.submit(1, graph(vec![lasting]));
    press(&mut fleet, 6, ms(7000));
    assert!(fleet.begins(service) > 0);
    assert_eq!(fleet.check(), Vec::<String>::new());
}

/// A gang is late, and later every second: a quarter of the pool is free, in pieces that are too small for it.
#[test]
fn a_gang_finds_room_among_small_jobs_without_end() {
    let mut fleet = Fleet::new(3, 1);
    press(&mut fleet, 3, ms(500));
    let gang = StepSpec {
        gang: true,
        size: ResourceAmount::new(3000, 300),
        ..step(2, &[])
    };
    let gang = fleet.submit(1, graph(vec![gang]));
    press(&mut fleet, 3, ms(6000));
    assert!(fleet.begins(gang) > 0);
    assert_eq!(fleet.check(), Vec::<String>::new());
}

/// Half a pool stays empty while services wait. Of one service that must be spread each worker has its task already;
/// it waits for one more worker, and kept the room of those that it may not use.
#[test]
fn no_room_is_kept_where_a_spread_forbids_it() {
    let mut fleet = Fleet::new(2, 1).with_work(slow_work);
    let spread = StepSpec {
        lasting: true,
        spread: Some(1),
        ..step(3, &[])
    };
    let first = fleet.submit(1, graph(vec![spread]));
    fleet.run_for(ms(6000));
    assert_eq!(fleet.begins(first), 2);
    let second = fleet.submit(2, graph(vec![step(4, &[])]));
    fleet.run_for(ms(500));
    assert_eq!(fleet.begins(second), 4);
}
