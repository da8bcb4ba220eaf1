//! Workers that are unreachable, restarted, drained or quarantined.

mod common;

use std::time::Duration;

use common::{
    CrashMode,
    Fleet,
    graph,
    ms,
    step, //
};
use jasminebend_base::ResourceAmount;
use jasminebend_dispatch::{
    JobKey,
    JobOutcome,
    JobProgress,
    StepSpec, //
};
use jasminebend_standins::TaskWork;

/// Returns work of one core for 3 s.
fn long_work(_task: jasminebend_dispatch::TaskKey) -> TaskWork {
    TaskWork {
        run_time: ms(3000),
        fails: false,
        size: ResourceAmount::new(1000, 100),
    }
}

/// Guards against a lease that never lapses: an owner that keeps calling a dead worker counted each
/// unanswered call as a renewal, and the worker's tasks were started nowhere else.
#[test]
fn unanswered_calls_do_not_extend_a_lease() {
    let mut fleet = Fleet::new(2, 1).with_work(long_work);
    let job = fleet.submit(1, graph(vec![step(6, &[])]));
    fleet.run_for(ms(500));
    fleet.unreachable_until[0] = fleet.now + ms(60_000);
    fleet.run_for(ms(13_000));
    assert_eq!(
        fleet.progress(job),
        Some(JobProgress::Ended(JobOutcome::Completed))
    );
    assert_eq!(fleet.check_invariants(), Vec::<String>::new());
}

/// Guards against a second run of a task when a worker returns from a network partition and reports
/// a completed task that was run elsewhere in the meantime.
#[test]
fn reconnected_worker_causes_no_second_run() {
    let mut fleet = Fleet::new(2, 2).with_work(long_work);
    let job = fleet.submit(1, graph(vec![step(6, &[])]));
    fleet.run_for(ms(500));
    fleet.unreachable_until[0] = fleet.now + ms(9000);
    fleet.run_for(ms(20_000));
    assert_eq!(
        fleet.progress(job),
        Some(JobProgress::Ended(JobOutcome::Completed))
    );
    assert_eq!(fleet.check_invariants(), Vec::<String>::new());
}

/// Guards against a second run of a task whose worker drains and is cut off: it refuses connections and its registry entry
/// runs out, but it executes its runs until their lease has lapsed.
#[test]
fn draining_worker_that_is_cut_off_runs_no_task_twice() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(2, seed).with_work(long_work);
        fleet.refuses_while_unreachable = true;
        let job = fleet.submit(1, graph(vec![step(6, &[])]));
        fleet.run_for(ms(200 + 40 * seed));
        fleet.drain_worker(0);
        fleet.run_for(ms(300));
        fleet.unreachable_until[0] = fleet.now + ms(5500);
        fleet.owner().dispatcher.mark_unlisted("worker-0");
        fleet.run_for(ms(20_000));
        assert_eq!(
            fleet.progress(job),
            Some(JobProgress::Ended(JobOutcome::Completed))
        );
        assert_eq!(fleet.check_invariants(), Vec::<String>::new());
    }
}

/// Guards against a second run of a task whose worker is busy: it ends its runs as late after the lapse of its lease as after a
/// stop.
#[test]
fn worker_that_ends_lapsed_runs_late_runs_no_task_twice() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(3, seed).with_work(|task| TaskWork {
            run_time: ms(9000),
            ..long_work(task)
        });
        let longest_end = fleet.settings.max_stop_duration;
        for worker in &mut fleet.workers {
            worker.set_lapse_delay(longest_end);
        }
        let job = fleet.submit(1, graph(vec![step(6, &[])]));
        fleet.run_for(ms(300 + 70 * seed));
        fleet.unreachable_until[0] = fleet.now + ms(9000);
        match seed % 2 {
            0 => fleet.run_for(ms(2000)),
            _ => fleet.replace_owner(),
        }
        fleet.run_for(ms(30_000));
        assert_eq!(
            fleet.progress(job),
            Some(JobProgress::Ended(JobOutcome::Completed))
        );
        assert_eq!(fleet.check_invariants(), Vec::<String>::new());
    }
}

/// Guards against second runs of tasks on draining workers that are cut off, by any sign but the end of the lease: a cut that
/// refuses connections or is silent, an owner that is replaced meanwhile, a worker that ends lapsed runs late, one that has left
/// within the cut or is back under its identity.
#[test]
fn draining_workers_run_no_task_twice_whatever_the_cut_looks_like() {
    for seed in 0..160 {
        let is_set = |bit: u32| seed >> bit & 1 == 1;
        let mut fleet = Fleet::new(4, seed).with_work(|task| TaskWork {
            run_time: ms(9000),
            ..long_work(task)
        });
        fleet.refuses_while_unreachable = is_set(0);
        let lapse_delay = if is_set(1) {
            fleet.settings.max_stop_duration
        } else {
            ms(0)
        };
        for worker in &mut fleet.workers {
            worker.set_lapse_delay(lapse_delay);
        }
        if is_set(4) {
            fleet.crash_mode = CrashMode::SameIdentity;
        }
        let job = fleet.submit(1, graph(vec![step(12, &[])]));
        fleet.run_for(ms(300 + 23 * seed));
        for worker in [0, 1] {
            fleet.drain_worker(worker);
            fleet.run_for(ms(100 + 7 * seed));
            fleet.cut_worker_off(worker, fleet.now + ms(5500 + 10 * seed));
        }
        fleet.run_for(ms(37 * seed % 2500));
        if is_set(2) {
            fleet.replace_owner();
            fleet.run_for(ms(29 * seed % 1700));
        }
        match seed % 3 {
            0 => fleet.leave_pool(0),
            1 => fleet.kill_worker(0),
            _ => {}
        }
        if is_set(3) {
            fleet.replace_owner();
        }
        fleet.run_for(ms(60_000));
        assert_eq!(
            fleet.check_invariants(),
            Vec::<String>::new(),
            "seed {seed}"
        );
        assert_eq!(
            fleet.progress(job),
            Some(JobProgress::Ended(JobOutcome::Completed)),
            "seed {seed}"
        );
    }
}

/// Guards against waiting for a full lease of a worker that announced its leave and has left.
#[test]
fn tasks_of_a_drained_worker_restart_once_its_shorter_lease_lapses() {
    let mut fleet = Fleet::new(2, 3).with_work(|task| TaskWork {
        run_time: ms(9000),
        ..long_work(task)
    });
    let job = fleet.submit(1, graph(vec![step(6, &[])]));
    fleet.run_for(ms(500));
    fleet.drain_worker(0);
    fleet.run_for(ms(4000));
    fleet.remove_worker(0);
    fleet.owner().dispatcher.mark_unlisted("worker-0");
    fleet.run_for(ms(1000));
    assert_eq!(fleet.begin_count(job), 6, "it may be cut off");
    let lease = fleet.settings.draining_lease_duration * 100 / 98;
    fleet.run_for(lease + fleet.settings.max_stop_duration - ms(800));
    assert!(fleet.begin_count(job) > 6);
    fleet.run_for(ms(12_000));
    assert_eq!(
        fleet.progress(job),
        Some(JobProgress::Ended(JobOutcome::Completed))
    );
}

/// Guards against a worker that stays quarantined forever: runs had failed on it for a while, and
/// the services that continued to run there counted as its probe.
#[test]
fn quarantined_worker_is_probed_while_services_run_on_it() {
    let mut fleet = Fleet::new(1, 4).with_work(|task| TaskWork {
        run_time: if task.job() == JobKey::new(1) {
            Duration::MAX
        } else {
            ms(50)
        },
        fails: task.job() == JobKey::new(2),
        size: ResourceAmount::new(1000, 100),
    });
    let lasting = StepSpec {
        long_running: true,
        ..step(1, &[])
    };
    fleet.submit(1, graph(vec![lasting]));
    fleet.run_for(ms(300));
    fleet.submit(2, graph(vec![step(2, &[])]));
    fleet.run_for(ms(700));
    let job = fleet.submit(3, graph(vec![step(4, &[])]));
    fleet.run_for(ms(15_000));
    assert_eq!(
        fleet.progress(job),
        Some(JobProgress::Ended(JobOutcome::Completed))
    );
}
