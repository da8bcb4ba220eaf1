//! What measurements teach, and the ladder that they climb.

use std::time::Duration;

use jasminebend_base::{
    ClassKind,
    ResourceId, //
};
use jasminebend_placement::{
    ClassKey,
    OverloadAction,
    OverloadReading,
    ServiceMeasurement,
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

const FULL_SPEED: u32 = 1000;
/// The share of a worker's processors in use from which every batch run slows its services.
const OVERLOADED: f64 = 0.95;

impl ShardState {
    /// Notes which classes share a worker from now on, throttled tasks as the share of their speed.
    pub(crate) fn note_company(&mut self, key: WorkerKey) {
        let now = self.now();
        let Some(link) = self.links.get(&key) else {
            return;
        };
        let mut company: Vec<(ClassKey, f64)> = Vec::new();
        for task in &link.runs {
            let run = &self.runs[task];
            if !run.is_running() {
                continue;
            }
            let weight = f64::from(run.speed_millis) / 1000.0;
            match company.iter_mut().find(|(class, _)| *class == run.class) {
                Some((_, sum)) => *sum += weight,
                None => company.push((run.class, weight)),
            }
        }
        self.links[&key].company.note(now, company);
    }

    pub(crate) fn note_started(&mut self, task: TaskId) {
        let Some(job) = self.ledger.job(task.job) else {
            return;
        };
        let waited = self.wall_ms().saturating_sub(job.submitted_ms);
        let run = &self.runs[&task];
        let (key, kind) = (run.worker, run.kind);
        if run.attempt == 1 {
            metrics::histogram!("jasminebend_planner_wait_seconds")
                .record(Duration::from_millis(waited).as_secs_f64());
        }
        if kind == ClassKind::Service {
            self.learn_target(task);
        }
        self.note_company(key);
    }

    fn learn_target(&mut self, task: TaskId) {
        let Some(job) = self.ledger.job(task.job) else {
            return;
        };
        let found = self.class_targets.get(&job.spec.class);
        if let (Some(target), Some(run)) = (found, self.runs.get(&task)) {
            self.learned.interference.set_target(run.class, *target);
        }
    }

    /// Returns how many measurements a worker may report. Its services are reported first, so that
    /// there is always room for one batch run beside them: else no batch run would ever be measured.
    pub(crate) fn usage_limit(&self, key: WorkerKey) -> u32 {
        let held = self.edges.ownership.held();
        let workers: usize = held
            .iter()
            .map(|(resource, _)| match resource {
                ResourceId::Shard(shard) => self.listed.get(shard).copied().unwrap_or(0),
                _ => 0,
            })
            .sum();
        let runs = self.links[&key].runs.iter().map(|task| &self.runs[task]);
        let services = runs.filter(|run| run.kind == ClassKind::Service).count();
        // CAST: a worker holds far fewer runs than 2^32.
        self.settings.usage_limit(workers).max(services as u32 + 1)
    }

    /// Learns from what a worker measured, and climbs its ladder.
    pub(crate) fn take_usage(&mut self, key: WorkerKey, usage: &[TaskUsage]) {
        if usage.is_empty() {
            return;
        }
        let now = self.now();
        let mut reading = OverloadReading {
            measured_at: now,
            latency_ratio: 0.0,
            predicted_ratio: 0.0,
            unthrottled_ratio: 0.0,
            memory_share: 0.0,
        };
        for measured in usage {
            let time = now.saturating_sub(measured.age);
            reading.measured_at = reading.measured_at.min(time);
            let ratio = self.take_measurement(key, measured, time);
            reading.latency_ratio = reading.latency_ratio.max(ratio.unwrap_or(0.0));
        }
        let company = self.links[&key].company.latest();
        reading.predicted_ratio = self.learned.interference.predict_latency_ratio(company);
        reading.unthrottled_ratio = self.lifted_ratio(key);
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
        let full_speed = run.speed_millis == FULL_SPEED;
        run.used = measured.used;
        run.counted = counted;
        self.pool.replace_reservation(key, before, counted);
        let job = self.ledger.job(task.job)?;
        if kind == ClassKind::Batch {
            let team = job.spec.team.clone();
            let used = self.team_used.entry(team).or_default();
            *used = used.saturating_sub(before) + counted;
        }
        // What a throttled run uses tells nothing of what it would.
        if full_speed {
            self.learned
                .usage
                .observe(class, job.spec.size, measured.used);
        }
        let latency = measured.latency_p99?;
        if kind != ClassKind::Service {
            return None;
        }
        let declared = job.spec.size.cpu_millis.max(1);
        let load = measured.used.cpu_millis as f64 / declared as f64;
        if let Some(company) = self.links[&key].company.at(time) {
            self.learned.interference.observe(&ServiceMeasurement {
                measured_at: time,
                service: class,
                latency_p99: latency,
                load,
                task_counts: company,
            });
        }
        self.learned.interference.latency_ratio(class, latency)
    }

    fn lifted_ratio(&self, key: WorkerKey) -> f64 {
        let company = self.pool.worker(key).task_counts.iter();
        let lifted: Vec<(ClassKey, f64)> = company
            .map(|(class, count)| (*class, f64::from(*count)))
            .collect();
        self.learned
            .interference
            .predict_peak_latency_ratio(&lifted)
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

    fn climb(&mut self, key: WorkerKey, action: OverloadAction) {
        match action {
            OverloadAction::NoChange => {}
            OverloadAction::Throttle(speed) => self.throttle_batch(key, speed),
            OverloadAction::Evict => self.evict_one(key, StopWish::Checkpoint),
            OverloadAction::Stop => self.evict_one(key, StopWish::Stop),
        }
    }

    /// Throttles the batch runs that are to blame, and lifts or tightens the throttle of those that
    /// have one.
    fn throttle_batch(&mut self, key: WorkerKey, speed: u32) {
        metrics::counter!("jasminebend_planner_throttles_total").increment(1);
        let overloaded = self.is_overloaded(key);
        let worker = self.pool.worker(key);
        let link = &self.links[&key];
        for task in &link.runs {
            let run = &mut self.runs[task];
            let blamed = self
                .learned
                .interference
                .is_likely_cause(worker, run.class, overloaded);
            let throttled = run.speed_millis < FULL_SPEED;
            if run.kind == ClassKind::Service || !(blamed || throttled) {
                continue;
            }
            run.speed_millis = speed;
            let name = attempt_of(*task, run.attempt);
            self.calls.throttle(link.address, name, speed);
        }
        self.note_company(key);
    }

    fn is_overloaded(&self, key: WorkerKey) -> bool {
        let runs = self.links[&key].runs.iter().map(|task| &self.runs[task]);
        let used: u64 = runs.map(|run| run.used.cpu_millis).sum();
        used as f64 >= self.pool.worker(key).capacity.cpu_millis as f64 * OVERLOADED
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
        let company = self.pool.worker(key).task_counts.iter();
        company
            .map(|(service, _)| self.learned.interference.effect(*service, class))
            .sum()
    }
}
