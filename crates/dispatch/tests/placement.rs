//! Placement of tasks: which task starts on which worker, and when.

#![expect(
    clippy::unwrap_used,
    reason = "a test's helpers panic as the test does"
)]

mod common;

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::Duration, //
};

use common::{
    Fleet,
    configuration,
    graph,
    ms,
    step, //
};
use jasminebend_base::{
    DomainName,
    ResourceAmount, //
};
use jasminebend_dispatch::{
    AcceptedJob,
    FleetConfiguration,
    JobKey,
    JobOutcome,
    JobProgress,
    JobSchedule,
    StepSpec,
    TaskKey, //
};
use jasminebend_standins::{
    TaskWork,
    WorkerEvent, //
};

const COMPLETED: Option<JobProgress> = Some(JobProgress::Ended(JobOutcome::Completed));

/// Returns the tasks that a worker has begun, in order.
fn tasks_begun(fleet: &Fleet, worker: usize) -> Vec<TaskKey> {
    let events = fleet.workers[worker].events().iter();
    let tasks_begun = events.filter_map(|(_, event)| match event {
        WorkerEvent::Started(task, _) => Some(*task),
        _ => None,
    });
    tasks_begun.collect()
}

/// Returns when a matching event of a task first occurred on any worker.
fn first_event_time(
    fleet: &Fleet,
    task: &str,
    wanted: fn(&WorkerEvent) -> bool,
) -> Option<Duration> {
    let task: TaskKey = task.parse().unwrap();
    let events = fleet.workers.iter().flat_map(|worker| worker.events());
    let mut times = events.filter_map(|(at, event)| {
        let named = match event {
            WorkerEvent::Started(named, _) | WorkerEvent::Ended(named, ..) => *named,
            WorkerEvent::Acknowledged(named, _) => *named,
            WorkerEvent::Crashed(_) => return None,
        };
        (named == task && wanted(event)).then_some(*at)
    });
    times.next()
}

fn is_begun(event: &WorkerEvent) -> bool {
    matches!(event, WorkerEvent::Started(..))
}

fn is_end(event: &WorkerEvent) -> bool {
    matches!(event, WorkerEvent::Ended(..))
}

/// Work of one core for a minute; the default is one core for 300 ms.
fn one_minute_work(_task: TaskKey) -> TaskWork {
    TaskWork {
        run_time: ms(60_000),
        fails: false,
        size: ResourceAmount::new(1000, 100),
    }
}

#[test]
fn step_starts_after_its_dependencies() {
    let mut fleet = Fleet::new(1, 1);
    let job = fleet.submit(1, graph(vec![step(2, &[]), step(1, &[0])]));
    fleet.run_for(ms(2000));
    assert_eq!(fleet.progress(job), COMPLETED);
    let first = first_event_time(&fleet, "0000000000000001.0.0.1", is_end).unwrap();
    let second = first_event_time(&fleet, "0000000000000001.0.1.0", is_begun).unwrap();
    assert!(second >= first);
}

#[test]
fn no_worker_exceeds_its_capacity() {
    let mut fleet = Fleet::new(2, 1).with_work(one_minute_work);
    fleet.submit(1, graph(vec![step(20, &[])]));
    fleet.run_for(ms(1000));
    assert_eq!(
        fleet.workers[0].run_count() + fleet.workers[1].run_count(),
        8
    );
    assert_eq!(fleet.check_invariants(), Vec::<String>::new());
}

/// Guards against reusing the capacity of a run that is being stopped before its worker reports the
/// completion.
#[test]
fn capacity_of_a_stopped_task_is_reserved_until_its_completion_is_reported() {
    let mut fleet = Fleet::new(1, 1).with_work(one_minute_work);
    let first = fleet.submit(1, graph(vec![step(4, &[])]));
    fleet.run_for(ms(500));
    fleet.submit(2, graph(vec![step(4, &[])]));
    fleet.cancel(first);
    fleet.run_for(ms(1000));
    assert_eq!(fleet.workers[0].run_count(), 4);
    assert_eq!(fleet.check_invariants(), Vec::<String>::new());
}

#[test]
fn nothing_starts_in_a_closed_domain_or_on_a_draining_worker() {
    let mut fleet = Fleet::new(3, 1);
    fleet.run_for(ms(100));
    let mut moved = fleet.workers[0].record().clone();
    moved.domain = DomainName::from("domain-b");
    let mut leaving = fleet.workers[1].record().clone();
    leaving.draining = true;
    let dispatcher = &mut fleet.owner().dispatcher;
    dispatcher.upsert_worker(moved, None);
    dispatcher.upsert_worker(leaving, None);
    dispatcher.close_domains(BTreeSet::from([DomainName::from("domain-b")]));
    let job = fleet.submit(1, graph(vec![step(12, &[])]));
    fleet.run_for(ms(4000));
    assert_eq!(fleet.progress(job), COMPLETED);
    assert_eq!(
        (tasks_begun(&fleet, 0).len(), tasks_begun(&fleet, 1).len()),
        (0, 0)
    );
}

#[test]
fn label_spread_and_data_rack_constrain_placement() {
    let mut fleet = Fleet::new(3, 1).with_work(one_minute_work);
    fleet.run_for(ms(100));
    let mut labelled = fleet.workers[2].record().clone();
    labelled.labels = vec!["b".into(), "rack-9".into()];
    fleet.owner().dispatcher.upsert_worker(labelled, None);
    let wanted = StepSpec {
        label: Some("b".into()),
        ..step(2, &[])
    };
    let spread = StepSpec {
        max_per_worker: Some(1),
        ..step(3, &[])
    };
    let near = StepSpec {
        data_rack: Some("rack-9".into()),
        ..step(1, &[])
    };
    fleet.submit(1, graph(vec![wanted]));
    fleet.submit(2, graph(vec![near]));
    fleet.run_for(ms(200));
    assert_eq!(tasks_begun(&fleet, 2).len(), 3);
    fleet.submit(3, graph(vec![spread]));
    fleet.run_for(ms(200));
    assert_eq!(
        (tasks_begun(&fleet, 0).len(), tasks_begun(&fleet, 1).len()),
        (1, 1)
    );
}

/// Guards against starting a part of a gang: it would hold capacity that others could use and make
/// no progress.
#[test]
fn gang_starts_all_tasks_or_none() {
    let mut fleet = Fleet::new(2, 1).with_work(one_minute_work);
    let filler = fleet.submit(1, graph(vec![step(3, &[])]));
    fleet.run_for(ms(300));
    let gang = StepSpec {
        gang: true,
        ..step(6, &[])
    };
    let job = fleet.submit(2, graph(vec![gang]));
    fleet.run_for(ms(500));
    assert_eq!(fleet.begin_count(job), 0);
    fleet.cancel(filler);
    fleet.run_for(ms(500));
    assert_eq!(fleet.begin_count(job), 6);
}

fn always_fails(_task: TaskKey) -> TaskWork {
    TaskWork {
        run_time: ms(50),
        fails: true,
        size: ResourceAmount::new(1000, 100),
    }
}

/// Guards against retrying a task that always fails forever, at the cost of other jobs.
#[test]
fn job_fails_after_the_maximum_number_of_attempts() {
    let mut fleet = Fleet::new(6, 1).with_work(always_fails).with_attempts(3);
    let job = fleet.submit(1, graph(vec![step(1, &[])]));
    fleet.run_for(ms(20_000));
    assert_eq!(
        fleet.progress(job),
        Some(JobProgress::Ended(JobOutcome::Failed))
    );
    assert_eq!(fleet.begin_count(job), 3);
}

/// Guards against runs of a cancelled job that continue or start later because an order was lost,
/// delayed or unanswered.
#[test]
fn cancelled_job_leaves_no_run() {
    let mut fleet = Fleet::new(2, 7).with_work(one_minute_work);
    fleet.faults.delayed = 30;
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

/// Guards against a started job that waits behind a burst of jobs submitted after it.
#[test]
fn started_jobs_finish_before_new_ones_start() {
    let mut fleet = Fleet::new(1, 1);
    let first = fleet.submit(1, graph(vec![step(4, &[]), step(1, &[0])]));
    fleet.run_for(ms(100));
    for number in 2..30 {
        fleet.submit(number, graph(vec![step(4, &[])]));
    }
    fleet.run_for(ms(900));
    assert_eq!(fleet.progress(first), COMPLETED);
}

/// Guards against short jobs that wait behind a service's long-running tasks while both wait for a
/// full pool.
#[test]
fn long_running_tasks_yield_to_short_tasks() {
    let mut fleet = Fleet::new(1, 1);
    fleet.submit(1, graph(vec![step(4, &[])]));
    fleet.run_for(ms(50));
    let lasting = StepSpec {
        long_running: true,
        tail_target: Some(ms(20)),
        image: Some("service".into()),
        ..step(8, &[])
    };
    let service = fleet.submit(2, graph(vec![lasting]));
    let quote = fleet.submit(3, graph(vec![step(2, &[])]));
    fleet.run_for(ms(900));
    assert_eq!(fleet.progress(quote), COMPLETED);
    assert!(fleet.begin_count(service) > 0);
}

#[test]
fn occurrences_start_when_due_and_not_before() {
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
    fleet
        .owner()
        .dispatcher
        .open_due_occurrences(ms(4999), ms(4999));
    fleet.run_for(ms(500));
    assert_eq!(fleet.begin_count(job), 0);
    assert_eq!(
        fleet.owner().dispatcher.next_occurrence_due(),
        Some(ms(5000))
    );
    fleet
        .owner()
        .dispatcher
        .open_due_occurrences(ms(5000), ms(5000));
    fleet.run_for(ms(900));
    assert_eq!(fleet.begin_count(job), 1);
    assert_ne!(fleet.progress(job), COMPLETED);
    fleet
        .owner()
        .dispatcher
        .open_due_occurrences(ms(7000), ms(7000));
    fleet.run_for(ms(900));
    assert_eq!(fleet.progress(job), COMPLETED);
}

/// Guards against draining a worker for maintenance of its VM so fast that more of a service's
/// tasks are unavailable at a time than the service tolerates.
#[test]
fn maintenance_drains_a_worker_within_the_tolerated_unavailability() {
    let mut fleet = Fleet::new(3, 1).with_work(|task| TaskWork {
        run_time: Duration::MAX,
        ..one_minute_work(task)
    });
    let lasting = StepSpec {
        long_running: true,
        max_unavailable: 1,
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
    assert!(!fleet.owner().dispatcher.prepare_maintenance(&id, now));
    fleet.run_for(ms(500));
    assert_eq!(fleet.begin_count(service), 4, "one of them has moved");
    assert_eq!(fleet.workers[busy].run_count(), 2);
}

/// Guards against a failed gang placement that blocks other tasks. A wide gang without capacity for
/// its last member was taken as proof that no worker has capacity for one of its tasks or anything
/// larger, and a service was not restarted although half of the pool was free.
#[test]
fn unplaceable_gang_does_not_block_other_tasks() {
    let mut fleet = Fleet::new(2, 1).with_work(one_minute_work);
    fleet.run_for(ms(100));
    let gang = StepSpec {
        gang: true,
        ..step(9, &[])
    };
    fleet.submit(1, graph(vec![gang]));
    let lasting = StepSpec {
        long_running: true,
        size: ResourceAmount::new(2000, 200),
        ..step(2, &[])
    };
    let service = fleet.submit(2, graph(vec![lasting]));
    fleet.run_for(ms(500));
    assert_eq!(fleet.begin_count(service), 2);
}

/// Submits a small job of `width` tasks every 100 ms for `time`.
fn submit_small_jobs(fleet: &mut Fleet, width: u32, time: Duration) {
    let until = fleet.now + time;
    let mut number = 1000 + fleet.jobs.len() as u64;
    while fleet.now < until {
        fleet.submit(number, graph(vec![step(width, &[])]));
        number += 1;
        fleet.run_for(ms(100));
    }
}

/// Guards against a large long-running task that never starts because an endless stream of small
/// jobs takes each piece of capacity as it becomes free.
#[test]
fn long_running_task_starts_despite_endless_small_jobs() {
    let mut fleet = Fleet::new(2, 1);
    submit_small_jobs(&mut fleet, 6, ms(500));
    let lasting = StepSpec {
        long_running: true,
        size: ResourceAmount::new(3000, 300),
        ..step(1, &[])
    };
    let service = fleet.submit(1, graph(vec![lasting]));
    submit_small_jobs(&mut fleet, 6, ms(7000));
    assert!(fleet.begin_count(service) > 0);
    assert_eq!(fleet.check_invariants(), Vec::<String>::new());
}

/// Guards against a gang that never starts because an endless stream of small jobs leaves only
/// pieces of capacity that are too small for it.
#[test]
fn gang_starts_despite_endless_small_jobs() {
    let mut fleet = Fleet::new(3, 1);
    submit_small_jobs(&mut fleet, 3, ms(500));
    let gang = StepSpec {
        gang: true,
        size: ResourceAmount::new(3000, 300),
        ..step(2, &[])
    };
    let gang = fleet.submit(1, graph(vec![gang]));
    submit_small_jobs(&mut fleet, 3, ms(6000));
    assert!(fleet.begin_count(gang) > 0);
    assert_eq!(fleet.check_invariants(), Vec::<String>::new());
}

/// Guards against reserving workers that a step may not use. Each worker already runs as many of a
/// service's tasks as its spread allows; the service waits for another worker and reserved these,
/// so that half of the pool stayed empty while other services waited.
#[test]
fn no_worker_is_reserved_that_the_spread_excludes() {
    let mut fleet = Fleet::new(2, 1).with_work(one_minute_work);
    let spread = StepSpec {
        long_running: true,
        max_per_worker: Some(1),
        ..step(3, &[])
    };
    let first = fleet.submit(1, graph(vec![spread]));
    fleet.run_for(ms(6000));
    assert_eq!(fleet.begin_count(first), 2);
    let second = fleet.submit(2, graph(vec![step(4, &[])]));
    fleet.run_for(ms(500));
    assert_eq!(fleet.begin_count(second), 4);
}

/// Guards against a pool whose large tasks never start because the workers reserved in another pool count against its
/// own limit.
#[test]
fn workers_are_reserved_in_each_pool() {
    let mut fleet = Fleet::new(2, 1).with_work(one_minute_work);
    fleet.run_for(ms(100));
    let mut moved = fleet.workers[1].record().clone();
    moved.pool = "other-pool".into();
    let mut rules = FleetConfiguration::clone(&configuration(3));
    let mut rule = rules.queues["queue"].clone();
    rule.name = "other-queue".into();
    rule.pool = "other-pool".into();
    rules.queues.insert("other-queue".into(), rule);
    let dispatcher = &mut fleet.owner().dispatcher;
    dispatcher.upsert_worker(moved, None);
    dispatcher.set_configuration(Arc::new(rules));
    let large = StepSpec {
        long_running: true,
        size: ResourceAmount::new(4000, 100),
        ..step(1, &[])
    };
    for (number, spec) in (1..).zip([step(1, &[]), large]) {
        for queue in ["queue", "other-queue"] {
            let job = AcceptedJob {
                queue: queue.into(),
                rule: None,
                graph: Arc::new(graph(vec![spec.clone()])),
                accepted: fleet.now,
                inherited: false,
            };
            let key = JobKey::new(number * 10 + queue.len() as u64);
            fleet.owner().dispatcher.add_job(key, job);
        }
        fleet.run_for(ms(1000));
    }
    fleet.run_for(ms(7000));
    let small = AcceptedJob {
        queue: "other-queue".into(),
        rule: None,
        graph: Arc::new(graph(vec![step(1, &[])])),
        accepted: fleet.now,
        inherited: false,
    };
    fleet.owner().dispatcher.add_job(JobKey::new(9), small);
    fleet.run_for(ms(2500));
    assert_eq!(fleet.begin_count(JobKey::new(9)), 0);
}
