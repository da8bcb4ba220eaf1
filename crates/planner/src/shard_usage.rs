//! Learns from usage measurements and reacts to overload of services.

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
    stop_request::StopRequest,
    task_attempts::{
        attempt_of,
        task_of, //
    }, //
};

/// Speed of a run that is not throttled, in thousandths.
const FULL_SPEED_MILLIS: u32 = 1000;
/// Share of a worker's processors in use from which every batch run counts as a likely cause of
/// slow services.
const OVERLOAD_CPU_SHARE: f64 = 0.95;

impl ShardState {
    /// Records which classes run together on a worker from now on; a throttled task counts as the
    /// fraction of its speed.
    pub(crate) fn record_colocation(&mut self, key: WorkerKey) {
        let now = self.now();
        let Some(link) = self.links.get(&key) else {
            return;
        };
        let mut colocated_classes: Vec<(ClassKey, f64)> = Vec::new();
        for task in &link.runs {
            let run = &self.runs[task];
            if !run.is_running() {
                continue;
            }
            let weight = f64::from(run.speed_millis) / 1000.0;
            match colocated_classes
                .iter_mut()
                .find(|(class, _)| *class == run.class)
            {
                Some((_, sum)) => *sum += weight,
                None => colocated_classes.push((run.class, weight)),
            }
        }
        self.links[&key]
            .colocation_history
            .record(now, colocated_classes);
    }

    /// Records how long a task waited, and the changed set of co-located tasks.
    pub(crate) fn record_start(&mut self, task: TaskId) {
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
            self.set_latency_target(task);
        }
        self.record_colocation(key);
    }

    /// Passes the latency target of a service's class to the interference model.
    fn set_latency_target(&mut self, task: TaskId) {
        let Some(job) = self.ledger.job(task.job) else {
            return;
        };
        let found = self.class_targets.get(&job.spec.class);
        if let (Some(target), Some(run)) = (found, self.runs.get(&task)) {
            self.learned.interference.set_target(run.class, *target);
        }
    }

    /// Returns how many measurements a worker may report. Services are reported first, so the limit
    /// always leaves space for one batch run in addition; otherwise no batch run would ever be
    /// measured.
    pub(crate) fn usage_limit(&self, key: WorkerKey) -> u32 {
        let held = self.ports.ownership.owned_resources();
        let workers: usize = held
            .iter()
            .map(|(resource, _)| match resource {
                ResourceId::Shard(shard) => self.workers_by_shard.get(shard).copied().unwrap_or(0),
                _ => 0,
            })
            .sum();
        let runs = self.links[&key].runs.iter().map(|task| &self.runs[task]);
        let services = runs.filter(|run| run.kind == ClassKind::Service).count();
        // CAST: a worker holds far fewer runs than 2^32.
        self.settings.usage_limit(workers).max(services as u32 + 1)
    }

    /// Learns from a worker's measurements and applies the action of its overload controller.
    pub(crate) fn apply_usage(&mut self, key: WorkerKey, usage: &[TaskUsage]) {
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
            let ratio = self.apply_measurement(key, measured, time);
            reading.latency_ratio = reading.latency_ratio.max(ratio.unwrap_or(0.0));
        }
        let colocated_classes = self.links[&key].colocation_history.current();
        reading.predicted_ratio = self
            .learned
            .interference
            .predict_latency_ratio(colocated_classes);
        reading.unthrottled_ratio = self.predicted_unthrottled_ratio(key);
        reading.memory_share = self.memory_share(key);
        let action = self.links[&key].overload_controller.observe(now, &reading);
        self.apply_overload_action(key, action);
    }

    /// Learns from one measurement; returns a service's latency divided by its target.
    fn apply_measurement(
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
        let reservation = run.reservation.max(measured.used);
        let (before, class, kind) = (run.reservation, run.class, run.kind);
        let full_speed = run.speed_millis == FULL_SPEED_MILLIS;
        run.used = measured.used;
        run.reservation = reservation;
        self.pool.replace_reservation(key, before, reservation);
        let job = self.ledger.job(task.job)?;
        if kind == ClassKind::Batch {
            let team = job.spec.team.clone();
            let used = self.team_usage.entry(team).or_default();
            *used = used.saturating_sub(before) + reservation;
        }
        // The usage of a throttled run does not show what it would use at full speed.
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
        if let Some(colocated_classes) = self.links[&key].colocation_history.classes_at(time) {
            self.learned.interference.observe(&ServiceMeasurement {
                measured_at: time,
                service: class,
                latency_p99: latency,
                load,
                task_counts: colocated_classes,
            });
        }
        self.learned.interference.latency_ratio(class, latency)
    }

    /// Returns the predicted ratio of latency to target if no run were throttled.
    fn predicted_unthrottled_ratio(&self, key: WorkerKey) -> f64 {
        let colocated_classes = self.pool.worker(key).task_counts.iter();
        let unthrottled: Vec<(ClassKey, f64)> = colocated_classes
            .map(|(class, count)| (*class, f64::from(*count)))
            .collect();
        self.learned
            .interference
            .predict_peak_latency_ratio(&unthrottled)
    }

    /// Returns the share of the worker's memory in use; runs that are not measured yet count with
    /// their reservation.
    fn memory_share(&self, key: WorkerKey) -> f64 {
        let runs = self.links[&key].runs.iter().map(|task| &self.runs[task]);
        let used: u64 = runs
            .map(|run| match run.used.memory_mib {
                0 => run.reservation.memory_mib,
                used => used,
            })
            .sum();
        used as f64 / self.pool.worker(key).capacity.memory_mib.max(1) as f64
    }

    /// Performs an action of the overload controller.
    fn apply_overload_action(&mut self, key: WorkerKey, action: OverloadAction) {
        match action {
            OverloadAction::NoChange => {}
            OverloadAction::Throttle(speed) => self.throttle_batch(key, speed),
            OverloadAction::Evict => self.evict_batch_run(key, StopRequest::Checkpoint),
            OverloadAction::Stop => self.evict_batch_run(key, StopRequest::Stop),
        }
    }

    /// Sets the speed of the batch runs that are likely causes of slow services, and of those that
    /// are already throttled.
    fn throttle_batch(&mut self, key: WorkerKey, speed: u32) {
        metrics::counter!("jasminebend_planner_throttles_total").increment(1);
        let overloaded = self.is_overloaded(key);
        let worker = self.pool.worker(key);
        let link = &self.links[&key];
        for task in &link.runs {
            let run = &mut self.runs[task];
            let likely_cause = self
                .learned
                .interference
                .is_likely_cause(worker, run.class, overloaded);
            let throttled = run.speed_millis < FULL_SPEED_MILLIS;
            if run.kind == ClassKind::Service || !(likely_cause || throttled) {
                continue;
            }
            run.speed_millis = speed;
            let name = attempt_of(*task, run.attempt);
            self.calls.throttle(link.address, name, speed);
        }
        self.record_colocation(key);
    }

    /// Returns whether nearly all processors of a worker are in use.
    fn is_overloaded(&self, key: WorkerKey) -> bool {
        let runs = self.links[&key].runs.iter().map(|task| &self.runs[task]);
        let used: u64 = runs.map(|run| run.used.cpu_millis).sum();
        used as f64 >= self.pool.worker(key).capacity.cpu_millis as f64 * OVERLOAD_CPU_SHARE
    }

    /// Evicts the batch run that slows the services most according to the interference model; among
    /// equals, the one that uses the most memory, then processors.
    fn evict_batch_run(&mut self, key: WorkerKey, request: StopRequest) {
        let runs = self.links[&key].runs.iter().copied();
        let batch = runs.filter(|task| {
            let run = &self.runs[task];
            run.kind == ClassKind::Batch
                && run.phase == RunPhase::Running
                && run.stop_request == StopRequest::Continue
        });
        let cost = |task: &TaskId| {
            let run = &self.runs[task];
            let effect = self.effect_on_services(key, run.class);
            let used = run.used.max(run.reservation);
            (effect, used.memory_mib as f64, used.cpu_millis as f64)
        };
        let victim = batch.max_by(|left, right| {
            let (left, right) = (cost(left), cost(right));
            left.partial_cmp(&right)
                .unwrap_or(std::cmp::Ordering::Equal)
        });
        if let Some(task) = victim {
            metrics::counter!("jasminebend_planner_evictions_total").increment(1);
            self.request_stop(task, request);
        }
    }

    /// Returns the learned effect of a class on the services of a worker.
    fn effect_on_services(&self, key: WorkerKey, class: ClassKey) -> f64 {
        let colocated_classes = self.pool.worker(key).task_counts.iter();
        colocated_classes
            .map(|(service, _)| self.learned.interference.effect(*service, class))
            .sum()
    }
}
