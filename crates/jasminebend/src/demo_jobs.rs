//! The demonstration's batch jobs.

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

const PERIOD: Duration = Duration::from_millis(500);
const POLL: Duration = Duration::from_millis(250);
const TASKS: u32 = 3;
const WORK: Duration = Duration::from_secs(4);
const UNAVAILABLE: u16 = 503;

/// The demonstration's batch jobs.
pub(crate) struct DemoJobs {
    operator: DemoOperator,
    balancer: DemoBalancer,
    seed: u64,
    ended: AtomicBool,
    counts: Mutex<JobCounts>,
}

/// What became of the submissions.
#[derive(Clone, Debug, Default)]
pub(crate) struct JobCounts {
    pub(crate) submitted: u64,
    pub(crate) accepted: Vec<u64>,
    pub(crate) refused: u64,
    pub(crate) unknown: u64,
    /// The numbers of the submissions whose outcome is still not known.
    unsettled: Vec<u64>,
}

impl JobCounts {
    /// Returns how many submissions' outcome is still not known.
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
            ended: AtomicBool::new(false),
            counts: Mutex::default(),
        }
    }

    pub(crate) fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
    }

    pub(crate) fn counts(&self) -> JobCounts {
        self.counts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Submits jobs until it is ended.
    pub(crate) async fn submit_until_ended(self: Arc<Self>) {
        let mut number = 0;
        while !self.ended.load(Ordering::Relaxed) {
            self.submit(number).await;
            number += 1;
            sleep(PERIOD).await;
        }
    }

    /// Waits until every accepted job finished at the workers, and returns how many did not.
    pub(crate) async fn wait_finished(&self, runs: &RunLedger, longest: Duration) -> usize {
        let attempts = longest.as_millis() / POLL.as_millis();
        for _ in 0..attempts {
            if self.unfinished(runs) == 0 {
                return 0;
            }
            sleep(POLL).await;
        }
        self.unfinished(runs)
    }

    /// Returns how many accepted jobs have a task that did not finish.
    pub(crate) fn unfinished(&self, runs: &RunLedger) -> usize {
        let runs = runs.runs();
        let finished = |job: u64, index: u32| {
            runs.iter().any(|run| {
                (run.attempt.job, run.attempt.index) == (job, index)
                    && matches!(run.ended, Some((_, RunEnd::Finished)))
            })
        };
        let whole = |job: &&u64| (0..TASKS).all(|index| finished(**job, index));
        let accepted = self.counts().accepted;
        accepted.len() - accepted.iter().filter(whole).count()
    }

    async fn submit(&self, number: u64) {
        let Some(daemon) = self.balancer.pick(number) else {
            return;
        };
        let job = self.job(number);
        let answer = self.operator.submit(daemon.administration, &job).await;
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.submitted += 1;
        match answer {
            Ok(job) => counts.accepted.extend(u64::from_str_radix(&job, 16)),
            Err(fault) if fault.status == UNAVAILABLE => counts.refused += 1,
            Err(_) => {
                counts.unknown += 1;
                counts.unsettled.push(number);
            }
        }
    }

    /// Submits once more what nobody knows the outcome of: the key makes it the same job.
    pub(crate) async fn settle_unknown(&self) {
        for number in self.counts().unsettled {
            self.repeat(number).await;
        }
    }

    async fn repeat(&self, number: u64) {
        let Some(daemon) = self.balancer.pick(number) else {
            return;
        };
        let job = self.job(number);
        let Ok(job) = self.operator.submit(daemon.administration, &job).await else {
            return;
        };
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.unsettled.retain(|unsettled| *unsettled != number);
        counts.accepted.extend(u64::from_str_radix(&job, 16));
    }

    fn job(&self, number: u64) -> Value {
        json!({
            "team": "workshop",
            "class": "reconciliation",
            "tasks": TASKS,
            "size": ResourceAmount::new(1_000, 1_024),
            "payload": TaskPayload::new(WORK).to_text(),
            "key": format!("demo-{}-{number}", self.seed),
        })
    }
}
