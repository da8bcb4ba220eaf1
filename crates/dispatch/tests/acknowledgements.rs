//! Ends are acknowledged once the rows in the store contain them. Commits conflict, are halved, fail, lose their answers, and are
//! applied late.

mod common;

use std::{
    collections::HashMap,
    time::Duration, //
};

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
    JobOutcome,
    JobProgress,
    ProgressRecord,
    RenewalReport,
    RunNumber,
    RunResult,
    StepKey,
    WorkerKey, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

const JOB_COUNT: u64 = 6;
const TASK_COUNT: u32 = 5;
const TURN_COUNT: u64 = 300;
const SEED_COUNT: u64 = 60;

/// A commit: the records, and the versions that their rows must have.
type Commit = Vec<(JobKey, ProgressRecord, u64)>;

/// An owner, its worker, and the store.
struct Scene {
    dispatcher: Dispatcher,
    worker: WorkerKey,
    rows: HashMap<JobKey, (u64, ProgressRecord)>,
    version: u64,
    /// The versions that the owner knows.
    known_versions: HashMap<JobKey, u64>,
    /// Commits that the store may still apply.
    late: Vec<Commit>,
    ended: Vec<EndedRun>,
    random: StdRng,
    now: Duration,
}

impl Scene {
    fn new(seed: u64) -> Self {
        let record = Fleet::new(1, 1).workers[0].record().clone();
        let mut dispatcher = Dispatcher::new(1, DispatchSettings::default());
        dispatcher.set_configuration(configuration(3));
        let worker = dispatcher.upsert_worker(record, None);
        for number in 0..JOB_COUNT {
            let queue = configuration(3).queues.keys().next().cloned();
            let job = AcceptedJob {
                queue: queue.expect("it has a queue"),
                rule: None,
                graph: graph(vec![step(TASK_COUNT, &[])]).into(),
                accepted: ms(0),
                inherited: false,
            };
            dispatcher.add_job(JobKey::new(number), job);
        }
        Self {
            dispatcher,
            worker,
            rows: HashMap::new(),
            version: 0,
            known_versions: HashMap::new(),
            late: Vec::new(),
            ended: Vec::new(),
            random: StdRng::seed_from_u64(seed),
            now: ms(0),
        }
    }

    fn end_run(&mut self) {
        let job = JobKey::new(self.random.random_range(0..JOB_COUNT));
        let step = StepKey {
            job,
            occurrence: 0,
            step: 0,
        };
        let number = self.ended.len() as u64 + 1;
        let is_done = self.random.random_range(0..4) > 0;
        let ended = EndedRun {
            number,
            task: step.task(self.random.random_range(0..TASK_COUNT)),
            run: RunNumber::of_owner(1, 1000 + number),
            result: if is_done {
                RunResult::Done
            } else {
                RunResult::Failed
            },
            checkpoint: None,
        };
        self.ended.push(ended.clone());
        self.report(vec![ended]);
    }

    /// Passes an answer of the worker, and returns the number up to which it was told that its ends are acknowledged.
    fn report(&mut self, completions: Vec<EndedRun>) -> u64 {
        self.now += ms(10);
        let renewal = self.dispatcher.next_renewal(self.worker, true, self.now);
        let report = RenewalReport {
            clock: self.now,
            incarnation: None,
            running: Vec::new(),
            completions,
        };
        let now = self.now;
        self.dispatcher
            .handle_renewal_report(self.worker, now, report, now);
        renewal.acknowledged
    }

    fn take_commit(&mut self) -> Commit {
        let limit = self.random.random_range(1..5);
        let records = self.dispatcher.take_records_to_commit(limit);
        let versions = &self.known_versions;
        let guarded = records.into_iter().map(|(key, record)| {
            let version = versions.get(&key).copied().unwrap_or(0);
            (key, record, version)
        });
        guarded.collect()
    }

    /// Applies a commit if its guards hold, and returns whether they did.
    fn apply(&mut self, commit: &Commit) -> bool {
        let version_of = |key| self.rows.get(key).map_or(0, |(version, _)| *version);
        if commit
            .iter()
            .any(|(key, _, guard)| version_of(key) != *guard)
        {
            return false;
        }
        self.version += 1;
        for (key, record, _) in commit {
            self.rows.insert(*key, (self.version, record.clone()));
        }
        true
    }

    fn commit(&mut self) {
        let mut commit = self.take_commit();
        if commit.is_empty() {
            return;
        }
        for _ in 0..self.random.random_range(0..3) {
            self.end_run();
        }
        match self.random.random_range(0..8) {
            0 => self.dispatcher.abort_commit(),
            1 => {
                self.late.push(commit);
                self.dispatcher.abort_commit();
            }
            2 => {
                self.apply(&commit);
                self.dispatcher.abort_commit();
            }
            3 => {
                let (key, ..) = commit.remove(0);
                self.dispatcher.withdraw_record(key);
                self.finish(&commit);
            }
            _ => self.finish(&commit),
        }
    }

    fn finish(&mut self, commit: &Commit) {
        match self.apply(commit) {
            true => {
                let written = commit.iter().map(|(key, ..)| (*key, self.version));
                self.known_versions.extend(written);
                self.dispatcher.confirm_commit();
            }
            false => {
                self.dispatcher.abort_commit();
                let found = self.rows.iter().map(|(key, (version, _))| (*key, *version));
                self.known_versions.extend(found);
            }
        }
    }

    fn check(&mut self) -> u64 {
        let acknowledged = self.report(Vec::new());
        // CAST: At most as many as there are ends.
        for ended in &self.ended[..acknowledged as usize] {
            assert!(self.is_on_record(ended), "{ended:?}");
        }
        for (key, (_, record)) in &self.rows {
            let progress = self.dispatcher.progress(*key);
            let is_shown = matches!(progress, Some(JobProgress::Ended(_)));
            assert!(!is_shown || record.outcome.is_some(), "{key}");
        }
        acknowledged
    }

    fn is_on_record(&self, ended: &EndedRun) -> bool {
        let Some((_, record)) = self.rows.get(&ended.task.job()) else {
            return false;
        };
        let index = ended.task.index;
        let has_end = record.steps.iter().any(|step| {
            let is_done = step.all_done || step.done.contains(&index);
            is_done || step.failures.contains(&(index, ended.run))
        });
        record.outcome.is_some() || has_end
    }
}

/// Guards against ends that are acknowledged, and outcomes that are shown, before they are on record.
#[test]
fn no_end_is_acknowledged_before_it_is_on_record() {
    let mut outcomes = Vec::new();
    for seed in 0..SEED_COUNT {
        let mut scene = Scene::new(seed);
        for _ in 0..TURN_COUNT {
            match scene.random.random_range(0..6) {
                0 => scene.end_run(),
                1 if !scene.late.is_empty() => {
                    let late = scene.late.swap_remove(0);
                    scene.apply(&late);
                }
                _ => scene.commit(),
            }
            scene.check();
        }
        let ended = scene.rows.values().filter_map(|(_, record)| record.outcome);
        outcomes.extend(ended);
    }
    assert!(outcomes.contains(&JobOutcome::Completed));
    assert!(outcomes.contains(&JobOutcome::Failed));
}

/// Guards against ends that are confirmed although their job's record was left out of the commit, and against a record that is tried
/// again and again without a change.
#[test]
fn end_in_a_record_that_could_not_be_written_is_not_acknowledged() {
    let mut scene = Scene::new(0);
    while scene.ended.is_empty() || scene.dispatcher.take_records_to_commit(10).is_empty() {
        scene.end_run();
    }
    let key = scene.ended[0].task.job();
    scene.dispatcher.withdraw_record(key);
    scene.dispatcher.confirm_commit();
    assert_eq!(scene.report(Vec::new()), 0);
    assert!(!scene.dispatcher.has_changes_to_commit());
    while scene
        .ended
        .last()
        .is_some_and(|ended| ended.task.job() != key)
        || scene.ended.len() < 2
    {
        scene.end_run();
    }
    let records = scene.dispatcher.take_records_to_commit(10);
    assert!(records.iter().any(|(job, _)| *job == key));
    scene.dispatcher.confirm_commit();
    assert_eq!(scene.report(Vec::new()), scene.ended.len() as u64);
}
