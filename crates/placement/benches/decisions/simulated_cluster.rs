//! An hour of a deployment: what the workers would report, and the decisions on it.

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
    LadderAction,
    LadderReading,
    LatestStart,
    LoadLadder,
    PlacementPolicy,
    ResourceUsageModel,
    ServiceReading,
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
        DeploymentShape, //
        HOUR,
        SERVICES,
        SimulatedLoad,
    },
    simulated_task::SimulatedTask,
};

const STEP: f64 = 5.0;
const OUT: std::ops::Range<f64> = 1200.0..2100.0;
/// The work that a checkpoint costs, in seconds.
const CHECKPOINT_COST: f64 = 8.0;
const URGENT_MS: i64 = 7_000;

struct LateReading {
    due: f64,
    made: f64,
    worker: WorkerKey,
    services: Vec<(ClassKey, f64, f64)>,
    used: Vec<(usize, ResourceAmount)>,
    company: Vec<(ClassKey, f64)>,
    memory: f64,
}

pub(crate) struct SimulatedCluster {
    load: SimulatedLoad,
    rules: RuleSet,
    policy: PlacementPolicy,
    pool: WorkerPool,
    keys: Vec<WorkerKey>,
    pairs: InterferenceModel,
    sizes: ResourceUsageModel,
    ladders: Vec<LoadLadder>,
    tasks: Vec<SimulatedTask>,
    on: Vec<Vec<usize>>,
    queue: Vec<usize>,
    readings: Vec<LateReading>,
    random: SmallRng,
    seen: Vec<[u32; 6]>,
    learned: Vec<[Option<u32>; 6]>,
    outcome: HourOutcome,
    requests: f64,
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
        for place in 0..shape.workers {
            let domain = DomainName::from(format!("domain-{}", place / shape.rack % 3));
            let name = VmName::from(format!("worker-{place}"));
            let key = pool.add(&name, &domain, shape.capacity());
            pool.set_condition(key, WorkerCondition::Open);
            keys.push(key);
        }
        let mut pairs = InterferenceModel::new();
        for service in 0..SERVICES {
            pairs.set_target(ClassKey(service), Duration::from_millis(100));
        }
        if rules.wrong_belief {
            believe_wrongly(&mut pairs);
        }
        Self {
            policy: PlacementPolicy::new().with_interference(rules.learns_pairs),
            ladders: vec![LoadLadder::new(); keys.len()],
            on: vec![Vec::new(); keys.len()],
            tasks: load.tasks.clone(),
            load,
            rules,
            pool,
            keys,
            pairs,
            sizes: ResourceUsageModel::new(),
            queue: Vec::new(),
            readings: Vec::new(),
            random: SmallRng::seed_from_u64(seed ^ 0x5eed),
            seen: vec![[0; 6]; usize::from(SERVICES)],
            learned: vec![[None; 6]; usize::from(SERVICES)],
            outcome: HourOutcome::default(),
            requests: 0.0,
        }
    }

    pub(crate) fn run(mut self) -> HourOutcome {
        let mut time = 0.0;
        while time < HOUR {
            self.arrive(time);
            self.follow_domain(time);
            self.take_readings(time);
            self.place_queue(time);
            self.advance(time);
            time += STEP;
        }
        self.finish()
    }

    fn arrive(&mut self, time: f64) {
        let arriving = (0..self.tasks.len()).filter(|task| {
            let arrives = self.tasks[*task].arrives;
            arrives >= time && arrives < time + STEP
        });
        let arriving: Vec<usize> = arriving.collect();
        self.queue.extend(arriving);
    }

    fn follow_domain(&mut self, time: f64) {
        let domain = DomainName::from("domain-0");
        let takes_work = !OUT.contains(&time);
        self.pool.set_domain(&domain, takes_work, duration(time));
        self.pool.count_time(duration(time));
        if takes_work {
            return;
        }
        for place in 0..self.keys.len() {
            if self.pool.worker(self.keys[place]).domain != domain {
                continue;
            }
            for task in self.on[place].clone() {
                self.leave(task, true);
            }
        }
    }

    fn leave(&mut self, task: usize, keeps: bool) {
        let Some(worker) = self.tasks[task].worker.take() else {
            return;
        };
        let place = self.place_of(worker);
        self.on[place].retain(|other| *other != task);
        let left = self.tasks[task];
        self.pool.release(worker, left.class, left.counted);
        if left.kind == ClassKind::Batch && !left.done {
            self.outcome.evictions += 1.0;
            self.tasks[task].left = match keeps {
                true => left.left + CHECKPOINT_COST,
                false => left.whole,
            };
        }
        if !left.done {
            self.queue.push(task);
        }
    }

    fn place_of(&self, worker: WorkerKey) -> usize {
        self.keys.iter().position(|key| *key == worker).unwrap_or(0)
    }

    fn latest_start(&self, task: usize) -> LatestStart {
        let task = &self.tasks[task];
        match task.kind {
            ClassKind::Service => LatestStart(i64::MIN / 4),
            ClassKind::Batch => LatestStart(((task.due - task.left) * 1000.0) as i64),
        }
    }

    fn place_queue(&mut self, time: f64) {
        let mut queue = std::mem::take(&mut self.queue);
        match self.rules.by_laxity {
            true => queue.sort_by_key(|task| self.latest_start(*task)),
            false => queue.sort_by(|left, right| {
                let key = |task: &usize| (self.tasks[*task].kind == ClassKind::Batch, *task);
                key(left).cmp(&key(right))
            }),
        }
        for task in queue {
            let size = self.size_of(task);
            match self.choose(task, size, time) {
                Some(worker) => self.start(task, worker, size),
                None => self.queue.push(task),
            }
        }
    }

    fn size_of(&self, task: usize) -> ResourceAmount {
        let task = &self.tasks[task];
        if !self.rules.learns_sizes || task.kind == ClassKind::Service {
            return task.declared;
        }
        let size = self.sizes.reservation(task.class, task.declared);
        match self.pool.could_hold(size) {
            true => size,
            false => self.pool.largest()[0],
        }
    }

    fn choose(&self, task: usize, size: ResourceAmount, time: f64) -> Option<WorkerKey> {
        let fits = |key: &WorkerKey| {
            let worker = self.pool.worker(*key);
            worker.condition == WorkerCondition::Open
                && size.fits_in(worker.room())
                && self.pool.domain_takes_work(&worker.domain)
        };
        let keys = self.keys.iter().copied();
        match self.rules.place {
            PlacementRule::FirstFit => keys.clone().find(fits),
            PlacementRule::LeastLoaded => keys.filter(fits).max_by_key(|key| {
                let room = self.pool.worker(*key).room();
                (room.cpu_millis, room.memory_mib)
            }),
            PlacementRule::Own => {
                let start = self.latest_start(task);
                let task = &self.tasks[task];
                let demand = TaskDemand {
                    class: task.class,
                    kind: task.kind,
                    size,
                    failed_on: &[],
                    spread: &[],
                    urgent: start.laxity_ms(duration(time)) < URGENT_MS,
                };
                let now = duration(time);
                self.policy
                    .choose(&self.pool, &self.pairs, &demand, now)
                    .ok()
            }
        }
    }

    fn start(&mut self, task: usize, worker: WorkerKey, size: ResourceAmount) {
        let place = self.place_of(worker);
        let started = &mut self.tasks[task];
        started.worker = Some(worker);
        started.counted = size;
        started.speed = 1.0;
        self.pool.reserve(worker, started.class, size);
        self.pool.note_start(worker);
        self.on[place].push(task);
    }

    fn advance(&mut self, time: f64) {
        for place in 0..self.keys.len() {
            self.advance_worker(place, time);
        }
        // A service that runs nowhere answers nobody in time.
        for task in &self.queue {
            let task = &self.tasks[*task];
            if task.kind == ClassKind::Service {
                let level = self.load.level(task.class, time);
                self.requests += level;
                self.outcome.missed += level;
            }
        }
    }

    fn advance_worker(&mut self, place: usize, time: f64) {
        let capacity = self.pool.worker(self.keys[place]).capacity;
        self.kill_for_memory(place, capacity);
        let used: Vec<(usize, ResourceAmount)> = self.on[place]
            .iter()
            .map(|task| (*task, self.use_of(*task, time)))
            .collect();
        let cpu: u64 = used.iter().map(|(_, used)| used.cpu_millis).sum();
        let over = (cpu as f64 / capacity.cpu_millis as f64).max(1.0);
        let services = self.latencies(place, over, time);
        for (class, ratio, level) in &services {
            let _ = class;
            self.requests += level;
            self.outcome.missed += if *ratio > 1.0 { *level } else { 0.0 };
        }
        let memory: u64 = used.iter().map(|(_, used)| used.memory_mib).sum();
        if !used.is_empty() {
            self.readings.push(LateReading {
                due: time + self.random.random_range(5.0..30.0),
                made: time,
                worker: self.keys[place],
                services,
                used,
                company: self.company_of(place),
                memory: memory as f64 / capacity.memory_mib as f64,
            });
        }
        self.progress(place, over, time);
    }

    fn company_of(&self, place: usize) -> Vec<(ClassKey, f64)> {
        let mut company: Vec<(ClassKey, f64)> = Vec::new();
        for task in &self.on[place] {
            let task = &self.tasks[*task];
            match company.iter_mut().find(|(class, _)| *class == task.class) {
                Some((_, sum)) => *sum += task.speed,
                None => company.push((task.class, task.speed)),
            }
        }
        company
    }

    fn use_of(&self, task: usize, time: f64) -> ResourceAmount {
        let task = &self.tasks[task];
        let share = match task.kind {
            ClassKind::Service => self.load.level(task.class, time),
            ClassKind::Batch => task.speed,
        };
        let cpu = (task.actual.cpu_millis as f64 * share) as u64;
        ResourceAmount::new(cpu, task.actual.memory_mib)
    }

    /// The services on a worker with their latency over the target and their load.
    fn latencies(&self, place: usize, over: f64, time: f64) -> Vec<(ClassKey, f64, f64)> {
        let tasks = self.on[place].iter().map(|task| &self.tasks[*task]);
        let services = tasks.filter(|task| task.kind == ClassKind::Service);
        services
            .map(|service| {
                let level = self.load.level(service.class, time);
                let mut log = (self.load.tightness * (0.5 + 0.5 * level)).ln();
                for batch in SERVICES..SERVICES + 6 {
                    let class = ClassKey(batch);
                    let on = self.on[place].iter().map(|task| &self.tasks[*task]);
                    let weight: f64 = on
                        .filter(|task| task.class == class)
                        .map(|task| task.speed)
                        .sum();
                    log += level * self.load.effect(service.class, class) * (1.0 + weight).log2();
                }
                (service.class, log.exp() * over * over, level)
            })
            .collect()
    }

    fn kill_for_memory(&mut self, place: usize, capacity: ResourceAmount) {
        loop {
            let on = self.on[place].iter();
            let used: u64 = on.map(|task| self.tasks[*task].actual.memory_mib).sum();
            if used <= capacity.memory_mib {
                return;
            }
            let on = self.on[place].iter().copied();
            let batch = on.filter(|task| self.tasks[*task].kind == ClassKind::Batch);
            let Some(largest) = batch.max_by_key(|task| self.tasks[*task].actual.memory_mib) else {
                return;
            };
            self.outcome.killed += 1.0;
            self.leave(largest, false);
        }
    }

    fn progress(&mut self, place: usize, over: f64, time: f64) {
        for task in self.on[place].clone() {
            let running = &mut self.tasks[task];
            if running.kind == ClassKind::Service {
                continue;
            }
            let done = STEP * running.speed / over;
            running.left -= done;
            self.outcome.work += done * running.actual.cpu_millis as f64 / 3.6e6;
            if running.left <= 0.0 {
                running.done = true;
                if time <= running.due {
                    self.outcome.in_time += 1.0;
                }
                self.leave(task, true);
            }
        }
    }

    fn take_readings(&mut self, time: f64) {
        self.pairs.forget(duration(time));
        let due: Vec<LateReading> = self
            .readings
            .extract_if(.., |reading| reading.due <= time)
            .collect();
        for reading in due {
            self.take_reading(&reading, time);
        }
    }

    fn take_reading(&mut self, reading: &LateReading, time: f64) {
        for (task, used) in &reading.used {
            self.learn_size(*task, *used, reading.worker);
        }
        let mut worst: f64 = 0.0;
        for (class, ratio, level) in &reading.services {
            worst = worst.max(*ratio);
            self.learn_pair(*class, *ratio, *level, reading);
        }
        let place = self.place_of(reading.worker);
        let (predicted, lifted) = match self.rules.learns_pairs {
            true => self.predict(place),
            false => (0.0, 0.0),
        };
        let seen = LadderReading {
            measured: duration(reading.made),
            latency_ratio: worst,
            predicted_ratio: predicted,
            lifted_ratio: lifted,
            memory_share: reading.memory,
        };
        match self.rules.pressure {
            OverloadRule::Nothing => {}
            OverloadRule::EvictAtOnce if worst > 1.0 => self.evict_one(place, true),
            OverloadRule::EvictAtOnce => {}
            OverloadRule::Ladder => {
                let action = self.ladders[place].observe(duration(time), &seen);
                self.climb(place, action);
            }
        }
    }

    fn predict(&self, place: usize) -> (f64, f64) {
        let worker = self.pool.worker(self.keys[place]);
        let company = worker.company.iter();
        let lifted: Vec<(ClassKey, f64)> = company
            .map(|(class, count)| (*class, f64::from(*count)))
            .collect();
        let now = self.pairs.predict(&self.company_of(place));
        (now, self.pairs.predict_peak(&lifted))
    }

    fn learn_size(&mut self, task: usize, used: ResourceAmount, worker: WorkerKey) {
        let seen = &mut self.tasks[task];
        if seen.kind == ClassKind::Service || !self.rules.learns_sizes {
            return;
        }
        // What a throttled task uses tells nothing of what it would.
        if seen.speed >= 1.0 {
            self.sizes.observe(seen.class, seen.declared, used);
        }
        if seen.worker != Some(worker) {
            return;
        }
        let counted = seen.counted.max(used);
        self.pool.recount(worker, seen.counted, counted);
        seen.counted = counted;
    }

    fn learn_pair(&mut self, class: ClassKey, ratio: f64, level: f64, reading: &LateReading) {
        if !self.rules.learns_pairs {
            return;
        }
        self.pairs.observe(&ServiceReading {
            measured: duration(reading.made),
            service: class,
            latency_p99: Duration::from_secs_f64(0.1 * ratio),
            load: level,
            company: &reading.company,
        });
        for (other, _) in reading
            .company
            .iter()
            .filter(|(other, _)| other.0 >= SERVICES)
        {
            let (row, column) = (usize::from(class.0), usize::from(other.0 - SERVICES));
            if self.load.effect(class, *other) < 0.3 || self.learned[row][column].is_some() {
                continue;
            }
            self.seen[row][column] += 1;
            if self.pairs.effect(class, *other) > 0.15 {
                self.learned[row][column] = Some(self.seen[row][column]);
            }
        }
    }

    fn climb(&mut self, place: usize, action: LadderAction) {
        match action {
            LadderAction::Hold => {}
            LadderAction::Throttle(speed) => self.throttle(place, f64::from(speed) / 1000.0),
            LadderAction::Evict => self.evict_one(place, true),
            LadderAction::Stop => self.evict_one(place, false),
        }
    }

    fn throttle(&mut self, place: usize, speed: f64) {
        let worker = self.pool.worker(self.keys[place]);
        let used = self.on[place].iter().map(|task| self.tasks[*task].counted);
        let cpu: u64 = used.map(|size| size.cpu_millis).sum();
        let overloaded = cpu as f64 > worker.capacity.cpu_millis as f64 * 0.95;
        for task in &self.on[place] {
            let task = &mut self.tasks[*task];
            let blamed = self.pairs.blames(worker, task.class, overloaded);
            if task.kind == ClassKind::Batch && (blamed || task.speed < 1.0) {
                task.speed = speed;
            }
        }
        self.pool.set_pressed(self.keys[place], speed < 1.0);
    }

    fn evict_one(&mut self, place: usize, keeps: bool) {
        let company = self.pool.worker(self.keys[place]).company.clone();
        let effect = |class: ClassKey| -> f64 {
            let services = company.iter().filter(|(other, _)| other.0 < SERVICES);
            services
                .map(|(service, _)| self.pairs.effect(*service, class))
                .sum()
        };
        let on = self.on[place].iter().copied();
        let batch = on.filter(|task| self.tasks[*task].kind == ClassKind::Batch);
        let cost = |task: &usize| {
            let task = &self.tasks[*task];
            (effect(task.class), task.counted.cpu_millis as f64)
        };
        let victim = batch.max_by(|left, right| {
            let (left, right) = (cost(left), cost(right));
            left.partial_cmp(&right)
                .unwrap_or(std::cmp::Ordering::Equal)
        });
        if let Some(task) = victim {
            self.leave(task, keeps);
        }
    }

    fn finish(mut self) -> HourOutcome {
        let due = self
            .tasks
            .iter()
            .filter(|task| task.kind == ClassKind::Batch && (task.done || task.due <= HOUR));
        self.outcome.in_time /= due.count().max(1) as f64;
        self.outcome.missed /= self.requests.max(1.0);
        let learned: Vec<u32> = self.learned.iter().flatten().flatten().copied().collect();
        let sum: u32 = learned.iter().sum();
        self.outcome.readings_to_learn = f64::from(sum) / learned.len().max(1) as f64;
        self.outcome
    }
}

/// Has the model believe that the first batch class doubles and more the latency of every service.
fn believe_wrongly(pairs: &mut InterferenceModel) {
    for service in 0..SERVICES {
        for beside in [0.0, 1.0].repeat(20) {
            pairs.observe(&ServiceReading {
                measured: Duration::ZERO,
                service: ClassKey(service),
                latency_p99: Duration::from_secs_f64(0.05 * (1.0 + 1.5 * beside)),
                load: 1.0,
                company: &[(ClassKey(SERVICES), beside)],
            });
        }
    }
}

fn duration(time: f64) -> Duration {
    Duration::from_secs_f64(time)
}
