//! What measurements teach, and the ladder that they climb.

use std::time::Duration;

use jasminebend_base::ClassKind;
use jasminebend_placement::{
    ClassKey,
    LadderAction,
    LadderReading,
    LoadLevel,
    ServiceReading,
    TaskId,
    WorkerKey, //
};
use jasminebend_ports::TaskUsage;

use crate::{
    run_phase::RunPhase,
    shard_state::ShardState,
    stop_wish::StopWish,
    task_names::{
        attempt_of,
        task_of, //
    }, //
};

impl ShardState {
    pub(crate) fn note_company(&mut self, key: WorkerKey) {
        let now = self.now();
        if let Some(link) = self.links.get_mut(&key) {
            link.company.note(now, &self.pool.worker(key).company);
        }
    }

    pub(crate) fn note_started(&mut self, task: TaskId, now: Duration) {
        let Some(job) = self.ledger.job(task.job) else {
            return;
        };
        let waited = self.wall_ms().saturating_sub(job.submitted_ms);
        let run = &self.runs[&task];
        if run.attempt == 1 {
            metrics::histogram!("jasminebend_planner_wait_seconds")
                .record(Duration::from_millis(waited).as_secs_f64());
        }
        if run.kind == ClassKind::Service {
            self.learn_target(task);
        }
        let _ = now;
    }

    fn learn_target(&mut self, task: TaskId) {
        let Some(job) = self.ledger.job(task.job) else {
            return;
        };
        let found = self.class_targets.get(&job.spec.class);
        if let (Some(target), Some(run)) = (found, self.runs.get(&task)) {
            self.pairs.set_target(run.class, *target);
        }
    }

    /// Learns from what a worker measured, and climbs its ladder.
    pub(crate) fn take_usage(&mut self, key: WorkerKey, usage: &[TaskUsage]) {
        if usage.is_empty() {
            return;
        }
        let now = self.now();
        let mut reading = LadderReading {
            measured: now,
            latency_ratio: 0.0,
            memory_share: 0.0,
        };
        for measured in usage {
            let time = now.saturating_sub(measured.age);
            reading.measured = reading.measured.min(time);
            let ratio = self.take_measurement(key, measured, time);
            reading.latency_ratio = reading.latency_ratio.max(ratio.unwrap_or(0.0));
        }
        reading.memory_share = self.memory_share(key);
        let action = self.links[&key].ladder.observe(now, &reading);
        self.climb(key, action);
    }

    /// Learns from one measurement; returns a service's latency over its target.
    fn take_measurement(
        &mut self,
        key: WorkerKey,
        measured: &TaskUsage,
        time: Duration,
    ) -> Option<f64> {
        let task = task_of(measured.attempt);
        let run = self.runs.get_mut(&task)?;
        if run.attempt != measured.attempt.attempt || run.worker != key {
            return None;
        }
        let counted = run.counted.max(measured.used);
        let (before, class, kind) = (run.counted, run.class, run.kind);
        run.used = measured.used;
        run.counted = counted;
        self.pool.recount(key, before, counted);
        let job = self.ledger.job(task.job)?;
        if kind == ClassKind::Batch {
            let team = job.spec.team.clone();
            let used = self.team_used.entry(team).or_default();
            *used = used.saturating_sub(before) + counted;
        }
        self.sizes.observe(class, job.spec.size, measured.used);
        let latency = measured.latency_p99?;
        if kind != ClassKind::Service {
            return None;
        }
        let level = LoadLevel::new(measured.used.cpu_millis, job.spec.size.cpu_millis);
        if let Some(company) = self.links[&key].company.at(time) {
            self.pairs.observe(&ServiceReading {
                service: class,
                latency_p99: latency,
                level,
                company,
            });
        }
        self.pairs.target_ratio(class, latency)
    }

    /// Returns the memory in use, that of runs not yet measured taken as reserved, over the worker's.
    fn memory_share(&self, key: WorkerKey) -> f64 {
        let runs = self.links[&key].runs.iter().map(|task| &self.runs[task]);
        let used: u64 = runs
            .map(|run| match run.used.memory_mib {
                0 => run.counted.memory_mib,
                used => used,
            })
            .sum();
        used as f64 / self.pool.worker(key).capacity.memory_mib.max(1) as f64
    }

    fn climb(&mut self, key: WorkerKey, action: LadderAction) {
        match action {
            LadderAction::Hold => {}
            LadderAction::Throttle(speed) => self.throttle_batch(key, speed),
            LadderAction::Evict => self.evict_one(key, StopWish::Checkpoint),
            LadderAction::Stop => self.evict_one(key, StopWish::Stop),
        }
    }

    fn throttle_batch(&mut self, key: WorkerKey, speed: u32) {
        metrics::counter!("jasminebend_planner_throttles_total").increment(1);
        let link = &self.links[&key];
        let batch = |task: &&TaskId| self.runs[*task].kind == ClassKind::Batch;
        for task in link.runs.iter().filter(batch) {
            let name = attempt_of(*task, self.runs[task].attempt);
            self.calls.throttle(link.address, name, speed);
        }
    }

    /// Has the batch run leave that slows the services most; without such a belief, the one that
    /// uses most.
    fn evict_one(&mut self, key: WorkerKey, wish: StopWish) {
        let runs = self.links[&key].runs.iter().copied();
        let batch = runs.filter(|task| {
            let run = &self.runs[task];
            run.kind == ClassKind::Batch
                && run.phase == RunPhase::Running
                && run.wish == StopWish::Keep
        });
        let cost = |task: &TaskId| {
            let run = &self.runs[task];
            let effect = self.effect_on_services(key, run.class);
            let used = run.used.max(run.counted);
            (effect, used.memory_mib as f64, used.cpu_millis as f64)
        };
        let victim = batch.max_by(|left, right| {
            let (left, right) = (cost(left), cost(right));
            left.partial_cmp(&right)
                .unwrap_or(std::cmp::Ordering::Equal)
        });
        if let Some(task) = victim {
            metrics::counter!("jasminebend_planner_evictions_total").increment(1);
            self.wish(task, wish);
        }
    }

    fn effect_on_services(&self, key: WorkerKey, class: ClassKey) -> f64 {
        let company = self.pool.worker(key).company.iter();
        company
            .map(|(service, _)| self.pairs.effect(*service, class))
            .sum()
    }
}
