//! In-memory workers that use little processor time, so that the benchmark measures the planner.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};

use async_trait::async_trait;
use indexmap::IndexMap;
use jasminebend_base::{
    ClassName,
    OwnerEpoch,
    ResourceAmount, //
};
use jasminebend_ports::{
    CheckpointId,
    ClockSource,
    EpochAdoption,
    LeaseRenewal,
    RunCompletion,
    TaskAttempt,
    TaskOrder,
    TaskUsage,
    WorkerError,
    WorkerInventory,
    WorkerPort,
    WorkerReport,
    WorkerTask, //
};

#[derive(Default)]
/// A worker's runs, each with the time at which it ends.
struct InMemoryWorker {
    runs: IndexMap<TaskAttempt, (Duration, WorkerTask)>,
}

/// Counts of the calls to all workers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WorkerCallCounts {
    pub(crate) starts: u64,
    pub(crate) reports: u64,
    pub(crate) report_bytes: u64,
    /// Time of the first start since the last reset.
    pub(crate) first_start: Option<Duration>,
}

/// Workers that run each task for a fixed time and report the usage of as many runs as the limit
/// allows.
pub(crate) struct InMemoryWorkers {
    clock: Arc<dyn ClockSource>,
    run_time: Duration,
    workers: Mutex<IndexMap<SocketAddr, InMemoryWorker>>,
    counts: Mutex<WorkerCallCounts>,
}

impl InMemoryWorkers {
    pub(crate) fn new(clock: Arc<dyn ClockSource>, run_time: Duration) -> Self {
        Self {
            clock,
            run_time,
            workers: Mutex::default(),
            counts: Mutex::default(),
        }
    }

    pub(crate) fn counts(&self) -> WorkerCallCounts {
        *self.counts.lock().unwrap()
    }

    pub(crate) fn reset_first_start(&self) {
        self.counts.lock().unwrap().first_start = None;
    }

    pub(crate) fn running(&self) -> usize {
        let now = self.clock.monotonic();
        let workers = self.workers.lock().unwrap();
        let runs = workers.values().flat_map(|worker| worker.runs.values());
        runs.filter(|(ends, _)| *ends > now).count()
    }

    fn inventory(&self, worker: SocketAddr) -> Vec<WorkerTask> {
        let now = self.clock.monotonic();
        let mut workers = self.workers.lock().unwrap();
        let worker = workers.entry(worker).or_default();
        let runs = worker.runs.values();
        runs.map(|(ends, task)| report_at(*ends, task, now))
            .collect()
    }
}

/// Returns a run as reported at `now`: finished once its end has passed.
fn report_at(ends: Duration, task: &WorkerTask, now: Duration) -> WorkerTask {
    let mut task = task.clone();
    if ends <= now {
        let result = "done".to_owned();
        task.ended = Some(RunCompletion::Finished { result });
    }
    task
}

#[async_trait]
impl WorkerPort for InMemoryWorkers {
    async fn adopt(
        &self,
        worker: SocketAddr,
        adoption: EpochAdoption,
    ) -> Result<WorkerInventory, WorkerError> {
        Ok(WorkerInventory {
            incarnation: 1,
            epoch: adoption.epoch,
            capacity: ResourceAmount::new(64_000, 256_000),
            tasks: self.inventory(worker),
        })
    }

    async fn renew(
        &self,
        worker: SocketAddr,
        renewal: LeaseRenewal,
    ) -> Result<WorkerReport, WorkerError> {
        let now = self.clock.monotonic();
        let mut workers = self.workers.lock().unwrap();
        let known = workers.entry(worker).or_default();
        for run in &renewal.acknowledged {
            known.runs.swap_remove(run);
        }
        let (ended, running): (Vec<_>, Vec<_>) =
            known.runs.values().partition(|(ends, _)| *ends <= now);
        let report = WorkerReport {
            incarnation: 1,
            running: u32::try_from(running.len()).unwrap(),
            ended: ended
                .iter()
                .map(|(ends, task)| report_at(*ends, task, now))
                .collect(),
            usage: running
                .iter()
                .take(renewal.usage_limit as usize)
                .map(|(_, task)| TaskUsage {
                    attempt: task.attempt,
                    used: task.reserved,
                    latency_p99: None,
                    progress_millis: Some(500),
                    age: Duration::from_secs(10),
                })
                .collect(),
        };
        let mut counts = self.counts.lock().unwrap();
        counts.reports += 1;
        let bytes = postcard::to_stdvec(&report).map_or(0, |bytes| bytes.len());
        counts.report_bytes += bytes as u64;
        Ok(report)
    }

    async fn start(
        &self,
        worker: SocketAddr,
        _epoch: OwnerEpoch,
        order: TaskOrder,
    ) -> Result<(), WorkerError> {
        let now = self.clock.monotonic();
        let task = WorkerTask {
            attempt: order.attempt,
            class: ClassName::clone(&order.class),
            reserved: order.reserved,
            speed_millis: 1000,
            ended: None,
        };
        let mut workers = self.workers.lock().unwrap();
        let worker = workers.entry(worker).or_default();
        worker
            .runs
            .insert(order.attempt, (now + self.run_time, task));
        let mut counts = self.counts.lock().unwrap();
        counts.starts += 1;
        counts.first_start.get_or_insert(now);
        Ok(())
    }

    async fn throttle(
        &self,
        _worker: SocketAddr,
        _epoch: OwnerEpoch,
        _attempt: TaskAttempt,
        _speed_millis: u32,
    ) -> Result<(), WorkerError> {
        Ok(())
    }

    async fn checkpoint(
        &self,
        _worker: SocketAddr,
        _epoch: OwnerEpoch,
        _attempt: TaskAttempt,
    ) -> Result<CheckpointId, WorkerError> {
        Err(WorkerError::CheckpointFailed)
    }

    async fn stop(
        &self,
        worker: SocketAddr,
        _epoch: OwnerEpoch,
        attempt: TaskAttempt,
    ) -> Result<(), WorkerError> {
        let mut workers = self.workers.lock().unwrap();
        workers
            .entry(worker)
            .or_default()
            .runs
            .swap_remove(&attempt);
        Ok(())
    }
}
