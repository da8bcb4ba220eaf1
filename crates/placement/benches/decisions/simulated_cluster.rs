//! A simulation of an hour of a deployment: the workers' measurements, and the decisions based on
//! them.

use std::time::Duration;

use jasminebend_base::{
    ClassKind,
    DomainName,
    ResourceAmount,
    VmName, //
};
use jasminebend_placement::{
    ClassKey,
    InterferenceModel,
    LatestStart,
    OverloadAction,
    OverloadController,
    OverloadReading,
    PlacementPolicy,
    ResourceUsageModel,
    ServiceMeasurement,
    TaskDemand,
    WorkerCondition,
    WorkerKey,
    WorkerPool, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};

use crate::{
    hour_outcome::HourOutcome,
    rule_set::{
        OverloadRule,
        PlacementRule,
        RuleSet, //
    },
    simulated_load::{
        DeploymentShape,
        HOUR_SECONDS,
        SERVICE_CLASS_COUNT,
        SimulatedLoad, //
    },
    simulated_task::SimulatedTask,
};

const STEP_SECONDS: f64 = 5.0;
/// When the first failure domain is closed.
const CLOSED_SECONDS: std::ops::Range<f64> = 1200.0..2100.0;
/// The additional run time of a task that is evicted with a checkpoint.
const CHECKPOINT_COST_SECONDS: f64 = 8.0;
/// Laxity below which a task is urgent.
const URGENT_LAXITY_MS: i64 = 7_000;

/// The measurements on one worker at one time. All times are in seconds from the start.
struct LateReading {
    /// When the planner receives it.
    arrival: f64,
    /// When it was measured.
    measured_at: f64,
    worker: WorkerKey,
    /// The class of each service with its ratio of latency to target and its load.
    services: Vec<(ClassKey, f64, f64)>,
    /// The index of each task with the resources that it used.
    used: Vec<(usize, ResourceAmount)>,
    /// The number of tasks of each class, a throttled one counted by its speed.
    task_counts: Vec<(ClassKey, f64)>,
    /// The share of the memory in use.
    memory_share: f64,
}

pub(crate) struct SimulatedCluster {
    load: SimulatedLoad,
    rules: RuleSet,
    policy: PlacementPolicy,
    pool: WorkerPool,
    keys: Vec<WorkerKey>,
    interference: InterferenceModel,
    usage: ResourceUsageModel,
    controllers: Vec<OverloadController>,
    tasks: Vec<SimulatedTask>,
    /// The indices of the tasks on each worker.
    tasks_on_worker: Vec<Vec<usize>>,
    /// The indices of the tasks that wait.
    queue: Vec<usize>,
    /// The readings that the planner did not receive yet.
    readings: Vec<LateReading>,
    random: SmallRng,
    /// The readings of each harmful pair, by service class and batch class.
    harmful_readings: Vec<[u32; 6]>,
    /// The number of these readings after which the pair was recognized as harmful.
    recognized_after: Vec<[Option<u32>; 6]>,
    outcome: HourOutcome,
    /// The sum of the loads of all services over all steps.
    total_load: f64,
}

impl SimulatedCluster {
    pub(crate) fn new(
        shape: DeploymentShape,
        load: SimulatedLoad,
        rules: RuleSet,
        seed: u64,
    ) -> Self {
        let mut pool = WorkerPool::new();
        let mut keys = Vec::new();
        for worker_index in 0..shape.workers {
            let domain = DomainName::from(format!(
                "domain-{}",
                worker_index / shape.workers_per_rack % 3
            ));
            let name = VmName::from(format!("worker-{worker_index}"));
            let key = pool.add(&name, &domain, shape.capacity());
            pool.set_condition(key, WorkerCondition::Open);
            keys.push(key);
        }
        let mut interference = InterferenceModel::new();
        for service in 0..SERVICE_CLASS_COUNT {
            interference.set_target(ClassKey(service), Duration::from_millis(100));
        }
        if rules.starts_with_wrong_estimate {
            teach_wrong_estimate(&mut interference);
        }
        Self {
            policy: PlacementPolicy::new().with_interference(rules.learns_interference),
            controllers: vec![OverloadController::new(); keys.len()],
            tasks_on_worker: vec![Vec::new(); keys.len()],
            tasks: load.tasks.clone(),
            load,
            rules,
            pool,
            keys,
            interference,
            usage: ResourceUsageModel::new(),
            queue: Vec::new(),
            readings: Vec::new(),
            random: SmallRng::seed_from_u64(seed ^ 0x5eed),
            harmful_readings: vec![[0; 6]; usize::from(SERVICE_CLASS_COUNT)],
            recognized_after: vec![[None; 6]; usize::from(SERVICE_CLASS_COUNT)],
            outcome: HourOutcome::default(),
            total_load: 0.0,
        }
    }

    pub(crate) fn run(mut self) -> HourOutcome {
        let mut time = 0.0;
        while time < HOUR_SECONDS {
            self.enqueue_arrivals(time);
            self.update_domain(time);
            self.receive_readings(time);
            self.place_queue(time);
            self.advance(time);
            time += STEP_SECONDS;
        }
        self.finish()
    }

    fn enqueue_arrivals(&mut self, time: f64) {
        let arriving = (0..self.tasks.len()).filter(|task| {
            let arrival = self.tasks[*task].arrival;
            arrival >= time && arrival < time + STEP_SECONDS
        });
        let arriving: Vec<usize> = arriving.collect();
        self.queue.extend(arriving);
    }

    fn update_domain(&mut self, time: f64) {
        let domain = DomainName::from("domain-0");
        let takes_work = !CLOSED_SECONDS.contains(&time);
        self.pool
            .set_domain_open(&domain, takes_work, duration(time));
        self.pool.refill_start_tokens(duration(time));
        if takes_work {
            return;
        }
        for worker_index in 0..self.keys.len() {
            if self.pool.worker(self.keys[worker_index]).domain != domain {
                continue;
            }
            for task in self.tasks_on_worker[worker_index].clone() {
                self.remove_task(task, true);
            }
        }
    }

    fn remove_task(&mut self, task: usize, checkpoints: bool) {
        let Some(worker) = self.tasks[task].worker.take() else {
            return;
        };
        let worker_index = self.worker_index(worker);
        self.tasks_on_worker[worker_index].retain(|other| *other != task);
        let removed = self.tasks[task];
        self.pool.release(worker, removed.class, removed.reserved);
        if removed.kind == ClassKind::Batch && !removed.done {
            self.outcome.evictions += 1.0;
            self.tasks[task].remaining_seconds = match checkpoints {
                true => removed.remaining_seconds + CHECKPOINT_COST_SECONDS,
                false => removed.total_seconds,
            };
        }
        if !removed.done {
            self.queue.push(task);
        }
    }

    fn worker_index(&self, worker: WorkerKey) -> usize {
        self.keys.iter().position(|key| *key == worker).unwrap_or(0)
    }

    fn latest_start(&self, task: usize) -> LatestStart {
        let task = &self.tasks[task];
        match task.kind {
            ClassKind::Service => LatestStart(i64::MIN / 4),
            ClassKind::Batch => {
                LatestStart(((task.deadline - task.remaining_seconds) * 1000.0) as i64)
            }
        }
    }

    fn place_queue(&mut self, time: f64) {
        let mut queue = std::mem::take(&mut self.queue);
        match self.rules.orders_by_laxity {
            true => queue.sort_by_key(|task| self.latest_start(*task)),
            false => queue.sort_by(|left, right| {
                let key = |task: &usize| (self.tasks[*task].kind == ClassKind::Batch, *task);
                key(left).cmp(&key(right))
            }),
        }
        for task in queue {
            let size = self.reservation_for(task);
            match self.choose(task, size, time) {
                Some(worker) => self.start(task, worker, size),
                None => self.queue.push(task),
            }
        }
    }

    fn reservation_for(&self, task: usize) -> ResourceAmount {
        let task = &self.tasks[task];
        if !self.rules.learns_sizes || task.kind == ClassKind::Service {
            return task.declared;
        }
        let size = self.usage.reservation(task.class, task.declared);
        match self.pool.any_capacity_fits(size) {
            true => size,
            false => self.pool.maximal_capacities()[0],
        }
    }

    fn choose(&self, task: usize, size: ResourceAmount, time: f64) -> Option<WorkerKey> {
        let fits = |key: &WorkerKey| {
            let worker = self.pool.worker(*key);
            worker.condition == WorkerCondition::Open
                && size.fits_in(worker.free_capacity())
                && self.pool.is_domain_open(&worker.domain)
        };
        let keys = self.keys.iter().copied();
        match self.rules.placement {
            PlacementRule::FirstFit => keys.clone().find(fits),
            PlacementRule::LeastLoaded => keys.filter(fits).max_by_key(|key| {
                let free = self.pool.worker(*key).free_capacity();
                (free.cpu_millis, free.memory_mib)
            }),
            PlacementRule::Policy => {
                let start = self.latest_start(task);
                let task = &self.tasks[task];
                let demand = TaskDemand {
                    class: task.class,
                    kind: task.kind,
                    size,
                    failed_on: &[],
                    job_tasks_by_domain: &[],
                    urgent: start.laxity_ms(duration(time)) < URGENT_LAXITY_MS,
                };
                let now = duration(time);
                self.policy
                    .choose(&self.pool, &self.interference, &demand, now)
                    .ok()
            }
        }
    }

    fn start(&mut self, task: usize, worker: WorkerKey, size: ResourceAmount) {
        let worker_index = self.worker_index(worker);
        let started = &mut self.tasks[task];
        started.worker = Some(worker);
        started.reserved = size;
        started.speed = 1.0;
        self.pool.reserve(worker, started.class, size);
        self.pool.record_start(worker);
        self.tasks_on_worker[worker_index].push(task);
    }

    fn advance(&mut self, time: f64) {
        for worker_index in 0..self.keys.len() {
            self.advance_worker(worker_index, time);
        }
        // All requests to a service that runs nowhere miss their target.
        for task in &self.queue {
            let task = &self.tasks[*task];
            if task.kind == ClassKind::Service {
                let level = self.load.level(task.class, time);
                self.total_load += level;
                self.outcome.requests_over_target += level;
            }
        }
    }

    fn advance_worker(&mut self, worker_index: usize, time: f64) {
        let capacity = self.pool.worker(self.keys[worker_index]).capacity;
        self.kill_for_memory(worker_index, capacity);
        let used: Vec<(usize, ResourceAmount)> = self.tasks_on_worker[worker_index]
            .iter()
            .map(|task| (*task, self.current_use(*task, time)))
            .collect();
        let cpu: u64 = used.iter().map(|(_, used)| used.cpu_millis).sum();
        let cpu_overload = (cpu as f64 / capacity.cpu_millis as f64).max(1.0);
        let services = self.service_latencies(worker_index, cpu_overload, time);
        for (class, ratio, level) in &services {
            let _ = class;
            self.total_load += level;
            self.outcome.requests_over_target += if *ratio > 1.0 { *level } else { 0.0 };
        }
        let memory: u64 = used.iter().map(|(_, used)| used.memory_mib).sum();
        if !used.is_empty() {
            self.readings.push(LateReading {
                arrival: time + self.random.random_range(5.0..30.0),
                measured_at: time,
                worker: self.keys[worker_index],
                services,
                used,
                task_counts: self.task_counts(worker_index),
                memory_share: memory as f64 / capacity.memory_mib as f64,
            });
        }
        self.advance_batch_tasks(worker_index, cpu_overload, time);
    }

    fn task_counts(&self, worker_index: usize) -> Vec<(ClassKey, f64)> {
        let mut counts: Vec<(ClassKey, f64)> = Vec::new();
        for task in &self.tasks_on_worker[worker_index] {
            let task = &self.tasks[*task];
            match counts.iter_mut().find(|(class, _)| *class == task.class) {
                Some((_, sum)) => *sum += task.speed,
                None => counts.push((task.class, task.speed)),
            }
        }
        counts
    }

    fn current_use(&self, task: usize, time: f64) -> ResourceAmount {
        let task = &self.tasks[task];
        let share = match task.kind {
            ClassKind::Service => self.load.level(task.class, time),
            ClassKind::Batch => task.speed,
        };
        let cpu = (task.actual.cpu_millis as f64 * share) as u64;
        ResourceAmount::new(cpu, task.actual.memory_mib)
    }

    /// Returns the class of each service on a worker with its ratio of latency to target and its
    /// load.
    fn service_latencies(
        &self,
        worker_index: usize,
        cpu_overload: f64,
        time: f64,
    ) -> Vec<(ClassKey, f64, f64)> {
        let tasks = self.tasks_on_worker[worker_index]
            .iter()
            .map(|task| &self.tasks[*task]);
        let services = tasks.filter(|task| task.kind == ClassKind::Service);
        services
            .map(|service| {
                let level = self.load.level(service.class, time);
                let mut log = (self.load.full_load_latency_ratio * (0.5 + 0.5 * level)).ln();
                for batch in SERVICE_CLASS_COUNT..SERVICE_CLASS_COUNT + 6 {
                    let class = ClassKey(batch);
                    let tasks_on_worker = self.tasks_on_worker[worker_index]
                        .iter()
                        .map(|task| &self.tasks[*task]);
                    let weight: f64 = tasks_on_worker
                        .filter(|task| task.class == class)
                        .map(|task| task.speed)
                        .sum();
                    log += level * self.load.effect(service.class, class) * (1.0 + weight).log2();
                }
                (
                    service.class,
                    log.exp() * cpu_overload * cpu_overload,
                    level,
                )
            })
            .collect()
    }

    fn kill_for_memory(&mut self, worker_index: usize, capacity: ResourceAmount) {
        loop {
            let tasks_on_worker = self.tasks_on_worker[worker_index].iter();
            let used: u64 = tasks_on_worker
                .map(|task| self.tasks[*task].actual.memory_mib)
                .sum();
            if used <= capacity.memory_mib {
                return;
            }
            let tasks_on_worker = self.tasks_on_worker[worker_index].iter().copied();
            let batch = tasks_on_worker.filter(|task| self.tasks[*task].kind == ClassKind::Batch);
            let Some(largest) = batch.max_by_key(|task| self.tasks[*task].actual.memory_mib) else {
                return;
            };
            self.outcome.killed_for_memory += 1.0;
            self.remove_task(largest, false);
        }
    }

    fn advance_batch_tasks(&mut self, worker_index: usize, cpu_overload: f64, time: f64) {
        for task in self.tasks_on_worker[worker_index].clone() {
            let running = &mut self.tasks[task];
            if running.kind == ClassKind::Service {
                continue;
            }
            let done = STEP_SECONDS * running.speed / cpu_overload;
            running.remaining_seconds -= done;
            self.outcome.batch_core_hours += done * running.actual.cpu_millis as f64 / 3.6e6;
            if running.remaining_seconds <= 0.0 {
                running.done = true;
                if time <= running.deadline {
                    self.outcome.batch_in_time += 1.0;
                }
                self.remove_task(task, true);
            }
        }
    }

    fn receive_readings(&mut self, time: f64) {
        self.interference.decay(duration(time));
        let arrived: Vec<LateReading> = self
            .readings
            .extract_if(.., |reading| reading.arrival <= time)
            .collect();
        for reading in arrived {
            self.process_reading(&reading, time);
        }
    }

    fn process_reading(&mut self, reading: &LateReading, time: f64) {
        for (task, used) in &reading.used {
            self.learn_usage(*task, *used, reading.worker);
        }
        let mut worst: f64 = 0.0;
        for (class, ratio, level) in &reading.services {
            worst = worst.max(*ratio);
            self.learn_interference(*class, *ratio, *level, reading);
        }
        let worker_index = self.worker_index(reading.worker);
        let (predicted, unthrottled) = match self.rules.learns_interference {
            true => self.predict(worker_index),
            false => (0.0, 0.0),
        };
        let worker_reading = OverloadReading {
            measured_at: duration(reading.measured_at),
            latency_ratio: worst,
            predicted_ratio: predicted,
            unthrottled_ratio: unthrottled,
            memory_share: reading.memory_share,
        };
        match self.rules.overload {
            OverloadRule::Nothing => {}
            OverloadRule::EvictAtOnce if worst > 1.0 => self.evict_one(worker_index, true),
            OverloadRule::EvictAtOnce => {}
            OverloadRule::Controller => {
                let action =
                    self.controllers[worker_index].observe(duration(time), &worker_reading);
                self.apply_action(worker_index, action);
            }
        }
    }

    fn predict(&self, worker_index: usize) -> (f64, f64) {
        let worker = self.pool.worker(self.keys[worker_index]);
        let task_counts = worker.task_counts.iter();
        let unthrottled: Vec<(ClassKey, f64)> = task_counts
            .map(|(class, count)| (*class, f64::from(*count)))
            .collect();
        let now = self
            .interference
            .predict_latency_ratio(&self.task_counts(worker_index));
        (
            now,
            self.interference.predict_peak_latency_ratio(&unthrottled),
        )
    }

    fn learn_usage(&mut self, task: usize, used: ResourceAmount, worker: WorkerKey) {
        let measured_task = &mut self.tasks[task];
        if measured_task.kind == ClassKind::Service || !self.rules.learns_sizes {
            return;
        }
        // The use of a throttled task says nothing about its use at full speed.
        if measured_task.speed >= 1.0 {
            self.usage
                .observe(measured_task.class, measured_task.declared, used);
        }
        if measured_task.worker != Some(worker) {
            return;
        }
        let reserved = measured_task.reserved.max(used);
        self.pool
            .replace_reservation(worker, measured_task.reserved, reserved);
        measured_task.reserved = reserved;
    }

    fn learn_interference(
        &mut self,
        class: ClassKey,
        ratio: f64,
        level: f64,
        reading: &LateReading,
    ) {
        if !self.rules.learns_interference {
            return;
        }
        self.interference.observe(&ServiceMeasurement {
            measured_at: duration(reading.measured_at),
            service: class,
            latency_p99: Duration::from_secs_f64(0.1 * ratio),
            load: level,
            task_counts: &reading.task_counts,
        });
        for (other, _) in reading
            .task_counts
            .iter()
            .filter(|(other, _)| other.0 >= SERVICE_CLASS_COUNT)
        {
            let (row, column) = (
                usize::from(class.0),
                usize::from(other.0 - SERVICE_CLASS_COUNT),
            );
            if self.load.effect(class, *other) < 0.3 || self.recognized_after[row][column].is_some()
            {
                continue;
            }
            self.harmful_readings[row][column] += 1;
            if self.interference.effect(class, *other) > 0.15 {
                self.recognized_after[row][column] = Some(self.harmful_readings[row][column]);
            }
        }
    }

    fn apply_action(&mut self, worker_index: usize, action: OverloadAction) {
        match action {
            OverloadAction::NoChange => {}
            OverloadAction::Throttle(speed) => {
                self.throttle(worker_index, f64::from(speed) / 1000.0)
            }
            OverloadAction::Evict => self.evict_one(worker_index, true),
            OverloadAction::Stop => self.evict_one(worker_index, false),
        }
    }

    fn throttle(&mut self, worker_index: usize, speed: f64) {
        let worker = self.pool.worker(self.keys[worker_index]);
        let used = self.tasks_on_worker[worker_index]
            .iter()
            .map(|task| self.tasks[*task].reserved);
        let cpu: u64 = used.map(|size| size.cpu_millis).sum();
        let overloaded = cpu as f64 > worker.capacity.cpu_millis as f64 * 0.95;
        for task in &self.tasks_on_worker[worker_index] {
            let task = &mut self.tasks[*task];
            let blamed = self
                .interference
                .is_likely_cause(worker, task.class, overloaded);
            if task.kind == ClassKind::Batch && (blamed || task.speed < 1.0) {
                task.speed = speed;
            }
        }
        self.pool
            .set_services_slowed(self.keys[worker_index], speed < 1.0);
    }

    fn evict_one(&mut self, worker_index: usize, checkpoints: bool) {
        let task_counts = self
            .pool
            .worker(self.keys[worker_index])
            .task_counts
            .clone();
        let effect = |class: ClassKey| -> f64 {
            let services = task_counts
                .iter()
                .filter(|(other, _)| other.0 < SERVICE_CLASS_COUNT);
            services
                .map(|(service, _)| self.interference.effect(*service, class))
                .sum()
        };
        let tasks_on_worker = self.tasks_on_worker[worker_index].iter().copied();
        let batch = tasks_on_worker.filter(|task| self.tasks[*task].kind == ClassKind::Batch);
        let cost = |task: &usize| {
            let task = &self.tasks[*task];
            (effect(task.class), task.reserved.cpu_millis as f64)
        };
        let victim = batch.max_by(|left, right| {
            let (left, right) = (cost(left), cost(right));
            left.partial_cmp(&right)
                .unwrap_or(std::cmp::Ordering::Equal)
        });
        if let Some(task) = victim {
            self.remove_task(task, checkpoints);
        }
    }

    fn finish(mut self) -> HourOutcome {
        let due = self.tasks.iter().filter(|task| {
            task.kind == ClassKind::Batch && (task.done || task.deadline <= HOUR_SECONDS)
        });
        self.outcome.batch_in_time /= due.count().max(1) as f64;
        self.outcome.requests_over_target /= self.total_load.max(1.0);
        let recognized_after: Vec<u32> = self
            .recognized_after
            .iter()
            .flatten()
            .flatten()
            .copied()
            .collect();
        let sum: u32 = recognized_after.iter().sum();
        self.outcome.readings_to_learn = f64::from(sum) / recognized_after.len().max(1) as f64;
        self.outcome
    }
}

/// Teaches the model that the first batch class raises the latency of every service by a factor of
/// 2.5.
fn teach_wrong_estimate(interference: &mut InterferenceModel) {
    for service in 0..SERVICE_CLASS_COUNT {
        for batch_tasks in [0.0, 1.0].repeat(20) {
            interference.observe(&ServiceMeasurement {
                measured_at: Duration::ZERO,
                service: ClassKey(service),
                latency_p99: Duration::from_secs_f64(0.05 * (1.0 + 1.5 * batch_tasks)),
                load: 1.0,
                task_counts: &[(ClassKey(SERVICE_CLASS_COUNT), batch_tasks)],
            });
        }
    }
}

fn duration(time: f64) -> Duration {
    Duration::from_secs_f64(time)
}
