//! What follows when failure domains and VMs leave.

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
    stop_wish::StopWish,
    task_run::TaskRun, //
};

/// How often services that found no other place are looked at again.
const MOVE_EVERY: Duration = Duration::from_secs(1);

impl ShardState {
    /// Follows the configuration.
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
            self.next_move = now + MOVE_EVERY;
            self.leave_domains();
        }
    }

    fn leave_domains(&mut self) {
        let links = self.links.iter();
        let leaving = links
            .filter(|(_, link)| !link.runs.is_empty() && !self.pool.is_domain_open(&link.domain));
        let keys: Vec<WorkerKey> = leaving.map(|(key, _)| *key).collect();
        for key in keys {
            self.leave_worker(key);
        }
    }

    /// Has everything leave a worker: batch work by checkpoint, services one by one as other places
    /// are found for them.
    pub(crate) fn leave_worker(&mut self, key: WorkerKey) {
        let runs: Vec<TaskId> = self.links[&key].runs.iter().copied().collect();
        for task in runs {
            match self.runs[&task].kind {
                ClassKind::Batch => self.wish(task, StopWish::Leave),
                ClassKind::Service => self.move_service(task),
            }
        }
    }

    /// Keeps a place for a service elsewhere, and only then has it leave.
    fn move_service(&mut self, task: TaskId) {
        let run = &self.runs[&task];
        if run.moving_to.is_some() {
            return;
        }
        if run.phase != RunPhase::Running {
            // It was not begun, or may not have been: nobody is served by it yet.
            self.wish(task, StopWish::Leave);
            return;
        }
        let (class, size) = (run.class, run.counted);
        let Some(target) = self.place_elsewhere(task, class) else {
            return;
        };
        self.pool.reserve(target, class, size);
        if let Some(run) = self.runs.get_mut(&task) {
            run.moving_to = Some(target);
        }
        self.wish(task, StopWish::Leave);
    }

    fn place_elsewhere(&self, task: TaskId, class: ClassKey) -> Option<WorkerKey> {
        let run = self.runs.get(&task)?;
        let record = self.ledger.task(task)?;
        let demand = TaskDemand {
            class,
            kind: ClassKind::Service,
            size: run.counted,
            failed_on: &record.failed_on,
            job_tasks_by_domain: &[],
            urgent: true,
        };
        let policy = self.settings.policy;
        policy
            .choose(&self.pool, &self.learned.interference, &demand, self.now())
            .ok()
    }

    /// Starts a service at the place that was kept for it.
    pub(crate) fn finish_move(
        &mut self,
        task: TaskId,
        run: &TaskRun,
        target: WorkerKey,
        queued: bool,
    ) {
        self.pool.release(target, run.class, run.counted);
        if !queued {
            return;
        }
        let worker = self.pool.worker(target);
        let still_open = worker.condition == jasminebend_placement::WorkerCondition::Open
            && self.pool.is_domain_open(&worker.domain);
        match still_open {
            true => self.place(task, target, run.class, run.counted),
            false => self.enqueue(task),
        }
    }
}
