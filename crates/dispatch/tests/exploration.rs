//! Random days: owners that are replaced and frozen, workers that are cut off and rebooted, orders that are
//! lost, late or unanswered, records that fail. Whatever happens, no task runs twice at a time, none begins
//! after its end was noted, no worker holds more than it can, and all jobs end.

mod common;

use common::{
    Faults,
    Fleet,
    graph,
    ms,
    step, //
};
use jasminebend_base::ResourceAmount;
use jasminebend_dispatch::{
    JobGraph,
    JobKey,
    JobOutcome,
    JobProgress,
    JobSchedule,
    RunEnd,
    TaskKey, //
};
use jasminebend_standins::{
    TaskWork,
    WorkerDeed, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

/// How many days are explored in a usual run of the tests; `JASMINEBEND_DAYS` asks for more.
const DAYS: u64 = 40;

/// Days that once broke a promise: a start that reached a worker's new life was given up with the old one
/// (10); a new life was told to forget ends by the old one's count (175), also after a pause of the owner's
/// in which the whole change fell (194).
const FOUND: [u64; 3] = [10, 175, 194];

/// How long a worker takes to boot; a call that was under way breaks.
const BOOT: std::time::Duration = std::time::Duration::from_millis(800);

fn mixed_work(task: TaskKey) -> TaskWork {
    TaskWork {
        lasts: ms(100 + u64::from(task.index) * 170 % 1900),
        fails: false,
        size: ResourceAmount::new(1000, 100),
    }
}

fn play(seed: u64) -> Vec<String> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut fleet = Fleet::new(4, seed).with_work(mixed_work);
    fleet.faults = Faults {
        lost: random.random_range(0..10),
        late: random.random_range(0..15),
        unanswered: random.random_range(0..15),
        commits: random.random_range(0..30),
    };
    let mut jobs = Vec::new();
    for number in 0..12 {
        let steps = vec![step(random.random_range(1..9), &[]), step(2, &[0])];
        jobs.push(fleet.submit(number + 1, graph(steps)));
        disturb(&mut fleet, &mut random);
        fleet.run_for(ms(random.random_range(50..1500)));
    }
    fleet.faults = Faults::default();
    fleet.run_for(ms(45_000));
    let mut broken = fleet.check();
    for job in jobs {
        if !matches!(fleet.progress(job), Some(JobProgress::Ended(_))) {
            broken.push(format!(
                "job {job} has not ended: {:?}",
                fleet.progress(job)
            ));
        }
    }
    broken
}

fn disturb(fleet: &mut Fleet, random: &mut StdRng) {
    let worker = random.random_range(0..fleet.workers.len());
    let time = ms(random.random_range(200..9000));
    let now = fleet.now;
    match random.random_range(0..8) {
        0 => fleet.replace_owner(),
        1 => {
            fleet.owner().frozen_until = now + time;
            fleet.replace_owner();
        }
        2 => fleet.owner().frozen_until = now + time,
        3 => fleet.cut_until[worker] = now + time,
        4 => {
            fleet.workers[worker].settle(now);
            fleet.workers[worker].reboot(now);
            // Nothing answers while it boots.
            fleet.cut_until[worker] = fleet.cut_until[worker].max(now + BOOT);
        }
        _ => {}
    }
}

#[test]
fn no_day_breaks_a_promise() {
    let days = std::env::var("JASMINEBEND_DAYS").ok();
    let days = days.and_then(|days| days.parse().ok()).unwrap_or(DAYS);
    let first = std::env::var("JASMINEBEND_FIRST_DAY").ok();
    let first: u64 = first.and_then(|first| first.parse().ok()).unwrap_or(0);
    let seeds = FOUND.into_iter().chain(first..first + days);
    let broken: Vec<(u64, Vec<String>)> = seeds
        .map(|seed| (seed, play(seed)))
        .filter(|(_, broken)| !broken.is_empty())
        .collect();
    assert!(
        broken.is_empty(),
        "{} of {days}: {:#?}",
        broken.len(),
        broken.first()
    );
}

fn repeated(random: &mut StdRng, now: std::time::Duration) -> JobGraph {
    let schedule = JobSchedule {
        first: now + ms(random.random_range(0..3000)),
        interval: ms(random.random_range(300..4000)),
        count: random.random_range(1..5),
    };
    let steps = vec![step(random.random_range(1..5), &[]), step(1, &[0])];
    JobGraph {
        schedule: Some(schedule),
        ..graph(steps)
    }
}

/// Counts the tasks of a job, over all its occurrences, that some worker has brought to their end.
fn done(fleet: &Fleet, job: JobKey) -> usize {
    let deeds = fleet.workers.iter().flat_map(|worker| worker.deeds());
    let ended = deeds.filter_map(|(_, deed)| match deed {
        WorkerDeed::Ended(task, _, RunEnd::Done) if task.job() == job => Some(*task),
        _ => None,
    });
    ended.collect::<std::collections::BTreeSet<TaskKey>>().len()
}

/// The same faults while repeated jobs run. None is told to be completed before all its occurrences are.
fn play_repeated(seed: u64) -> Vec<String> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut fleet = Fleet::new(4, seed).with_work(mixed_work);
    fleet.faults = Faults {
        lost: random.random_range(0..10),
        late: random.random_range(0..15),
        unanswered: random.random_range(0..15),
        commits: random.random_range(0..30),
    };
    let mut jobs = Vec::new();
    for number in 0..6 {
        let graph = repeated(&mut random, fleet.now);
        let tasks = graph.task_count() as usize * graph.occurrences() as usize;
        jobs.push((fleet.submit(number + 1, graph), tasks));
        disturb(&mut fleet, &mut random);
        fleet.run_for(ms(random.random_range(50..2500)));
    }
    fleet.faults = Faults::default();
    fleet.run_for(ms(45_000));
    let mut broken = fleet.check();
    for (job, tasks) in jobs {
        let completed = Some(JobProgress::Ended(JobOutcome::Completed));
        if fleet.progress(job) != completed || done(&fleet, job) < tasks {
            broken.push(format!(
                "job {job}: {:?}, {} of {tasks} done",
                fleet.progress(job),
                done(&fleet, job)
            ));
        }
    }
    broken
}

#[test]
fn no_day_of_repeated_jobs_breaks_a_promise() {
    let broken: Vec<(u64, Vec<String>)> = (0..DAYS)
        .map(|seed| (seed, play_repeated(seed)))
        .filter(|(_, broken)| !broken.is_empty())
        .collect();
    assert!(
        broken.is_empty(),
        "{} of {DAYS}: {:#?}",
        broken.len(),
        broken.first()
    );
}
