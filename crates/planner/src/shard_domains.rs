//! Moves tasks away from failure domains and VMs that are taken out of use.

use std::time::Duration;

use jasminebend_base::{
    ClassKind,
    ClassTarget,
    DomainState, //
};
use jasminebend_placement::{
    ClassKey,
    TaskDemand,
    TaskId,
    WorkerKey, //
};

use crate::{
    run_phase::RunPhase,
    shard_state::ShardState,
    stop_request::StopRequest,
    task_run::TaskRun, //
};

/// Interval at which services without another worker are tried again.
const MOVE_INTERVAL: Duration = Duration::from_secs(1);

impl ShardState {
    /// Applies a changed configuration, and moves tasks out of closed failure domains.
    pub(crate) fn refresh_configuration(&mut self, now: Duration) {
        if self.configuration.has_changed().unwrap_or(false) {
            let configuration = self.configuration.borrow_and_update().clone();
            for link in self.links.values() {
                let takes_work = configuration.domain_state(&link.domain) == DomainState::In;
                self.pool.set_domain_open(&link.domain, takes_work, now);
            }
            self.class_targets = configuration
                .classes
                .iter()
                .filter_map(|class| match class.target {
                    ClassTarget::AnswerWithin(target) => Some((class.name.clone(), target)),
                    ClassTarget::FinishWithin(_) => None,
                })
                .collect();
            self.plan_due = true;
            self.next_move = now;
        }
        if now >= self.next_move {
            self.next_move = now + MOVE_INTERVAL;
            self.drain_closed_domains();
        }
    }

    /// Moves tasks away from every worker in a closed failure domain.
    fn drain_closed_domains(&mut self) {
        let links = self.links.iter();
        let leaving = links
            .filter(|(_, link)| !link.runs.is_empty() && !self.pool.is_domain_open(&link.domain));
        let keys: Vec<WorkerKey> = leaving.map(|(key, _)| *key).collect();
        for key in keys {
            self.drain_worker(key);
        }
    }

    /// Moves all tasks away from a worker: batch tasks by checkpoint, services one at a time as
    /// other workers are found for them.
    pub(crate) fn drain_worker(&mut self, key: WorkerKey) {
        let runs: Vec<TaskId> = self.links[&key].runs.iter().copied().collect();
        for task in runs {
            match self.runs[&task].kind {
                ClassKind::Batch => self.request_stop(task, StopRequest::CheckpointOrStop),
                ClassKind::Service => self.move_service(task),
            }
        }
    }

    /// Reserves capacity for a service on another worker, and only then stops it.
    fn move_service(&mut self, task: TaskId) {
        let run = &self.runs[&task];
        if run.move_target.is_some() {
            return;
        }
        if run.phase != RunPhase::Running {
            // The service has not started, or may not have: it serves no requests yet.
            self.request_stop(task, StopRequest::CheckpointOrStop);
            return;
        }
        let (class, size) = (run.class, run.reservation);
        let Some(target) = self.find_other_worker(task, class) else {
            return;
        };
        self.pool.reserve(target, class, size);
        if let Some(run) = self.runs.get_mut(&task) {
            run.move_target = Some(target);
        }
        self.request_stop(task, StopRequest::CheckpointOrStop);
    }

    /// Chooses another worker for a service.
    fn find_other_worker(&self, task: TaskId, class: ClassKey) -> Option<WorkerKey> {
        let run = self.runs.get(&task)?;
        let record = self.ledger.task(task)?;
        let demand = TaskDemand {
            class,
            kind: ClassKind::Service,
            size: run.reservation,
            failed_on: &record.failed_on,
            job_tasks_by_domain: &[],
            urgent: true,
        };
        let policy = self.settings.policy;
        policy
            .choose(&self.pool, &self.learned.interference, &demand, self.now())
            .ok()
    }

    /// Starts a service on the worker where capacity was reserved for it, or queues it if that
    /// worker is not open any more.
    pub(crate) fn finish_move(
        &mut self,
        task: TaskId,
        run: &TaskRun,
        target: WorkerKey,
        queued: bool,
    ) {
        self.pool.release(target, run.class, run.reservation);
        if !queued {
            return;
        }
        let worker = self.pool.worker(target);
        let still_open = worker.condition == jasminebend_placement::WorkerCondition::Open
            && self.pool.is_domain_open(&worker.domain);
        match still_open {
            true => self.place(task, target, run.class, run.reservation),
            false => self.enqueue(task),
        }
    }
}
