//! Batch jobs of the demonstration.

use std::{
    sync::{
        Arc,
        Mutex,
        PoisonError,
        atomic::{
            AtomicBool,
            Ordering, //
        }, //
    },
    time::Duration,
};

use jasminebend_base::ResourceAmount;
use jasminebend_standins::{
    RunEnd,
    RunLedger,
    TaskPayload, //
};
use serde_json::{
    Value,
    json, //
};
use tokio::time::sleep;

use crate::{
    demo_daemons::DemoBalancer,
    demo_operator::DemoOperator, //
};

const SUBMISSION_INTERVAL: Duration = Duration::from_millis(500);
const POLL_INTERVAL: Duration = Duration::from_millis(250);
const TASKS_PER_JOB: u32 = 3;
/// The run time of one task.
const TASK_RUN_TIME: Duration = Duration::from_secs(4);
const STATUS_UNAVAILABLE: u16 = 503;

/// Submits the demonstration's batch jobs and counts their outcomes.
pub(crate) struct DemoJobs {
    operator: DemoOperator,
    balancer: DemoBalancer,
    seed: u64,
    stopped: AtomicBool,
    counts: Mutex<JobCounts>,
}

/// The number of submissions by their first outcome.
#[derive(Clone, Debug, Default)]
pub(crate) struct JobCounts {
    pub(crate) submitted: u64,
    /// The identifiers of the accepted jobs.
    pub(crate) accepted: Vec<u64>,
    pub(crate) refused: u64,
    pub(crate) unknown: u64,
    /// The numbers of the submissions whose outcome is still unknown.
    unsettled: Vec<u64>,
}

impl JobCounts {
    /// Returns the number of submissions whose outcome is still unknown.
    pub(crate) fn unsettled(&self) -> usize {
        self.unsettled.len()
    }
}

impl DemoJobs {
    pub(crate) fn new(operator: DemoOperator, balancer: DemoBalancer, seed: u64) -> Self {
        Self {
            operator,
            balancer,
            seed,
            stopped: AtomicBool::new(false),
            counts: Mutex::default(),
        }
    }

    /// Makes [`Self::submit_until_stopped`] return after its current submission.
    pub(crate) fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    pub(crate) fn counts(&self) -> JobCounts {
        self.counts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Submits jobs periodically until [`Self::stop`] is called.
    pub(crate) async fn submit_until_stopped(self: Arc<Self>) {
        let mut number = 0;
        while !self.stopped.load(Ordering::Relaxed) {
            self.submit(number).await;
            number += 1;
            sleep(SUBMISSION_INTERVAL).await;
        }
    }

    /// Waits until every accepted job has finished at the workers, for `longest` at the most, and returns the number of
    /// jobs that have not finished.
    pub(crate) async fn wait_finished(&self, runs: &RunLedger, longest: Duration) -> usize {
        let attempts = longest.as_millis() / POLL_INTERVAL.as_millis();
        for _ in 0..attempts {
            if self.unfinished(runs) == 0 {
                return 0;
            }
            sleep(POLL_INTERVAL).await;
        }
        self.unfinished(runs)
    }

    /// Returns the number of accepted jobs with a task that has not finished.
    pub(crate) fn unfinished(&self, runs: &RunLedger) -> usize {
        let runs = runs.runs();
        let finished = |job: u64, index: u32| {
            runs.iter().any(|run| {
                (run.attempt.job, run.attempt.index) == (job, index)
                    && matches!(run.ended, Some((_, RunEnd::Finished)))
            })
        };
        let all_tasks_finished =
            |job: &&u64| (0..TASKS_PER_JOB).all(|index| finished(**job, index));
        let accepted = self.counts().accepted;
        accepted.len() - accepted.iter().filter(all_tasks_finished).count()
    }

    async fn submit(&self, number: u64) {
        let Some(daemon) = self.balancer.pick(number) else {
            return;
        };
        let job = self.job_spec(number);
        let answer = self.operator.submit(daemon.administration, &job).await;
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.submitted += 1;
        match answer {
            Ok(job) => counts.accepted.extend(u64::from_str_radix(&job, 16)),
            Err(error) if error.status == STATUS_UNAVAILABLE => counts.refused += 1,
            Err(_) => {
                counts.unknown += 1;
                counts.unsettled.push(number);
            }
        }
    }

    /// Resubmits every job whose submission had an unknown outcome; its key makes it the same job.
    pub(crate) async fn resubmit_unknown(&self) {
        for number in self.counts().unsettled {
            self.resubmit(number).await;
        }
    }

    async fn resubmit(&self, number: u64) {
        let Some(daemon) = self.balancer.pick(number) else {
            return;
        };
        let job = self.job_spec(number);
        let Ok(job) = self.operator.submit(daemon.administration, &job).await else {
            return;
        };
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.unsettled.retain(|unsettled| *unsettled != number);
        counts.accepted.extend(u64::from_str_radix(&job, 16));
    }

    /// Returns the specification of the job with this number, in JSON.
    fn job_spec(&self, number: u64) -> Value {
        json!({
            "team": "workshop",
            "class": "reconciliation",
            "tasks": TASKS_PER_JOB,
            "size": ResourceAmount::new(1_000, 1_024),
            "payload": TaskPayload::new(TASK_RUN_TIME).to_text(),
            "key": format!("demo-{}-{number}", self.seed),
        })
    }
}
