//! Placement, throttling and eviction of fillers beside services. Each test computes the metrics
//! that the workers would report as a function of load and fillers; there is no network and no
//! worker process.

#![expect(
    clippy::unwrap_used,
    reason = "a test's helpers panic as the test does"
)]

mod common;

use std::{
    sync::Arc,
    time::Duration, //
};

use common::{
    configuration,
    graph,
    ms,
    step, //
};
use indexmap::IndexMap;
use jasminebend_base::{
    DomainName,
    ResourceAmount, //
};
use jasminebend_dispatch::{
    AcceptedJob,
    CrashEvidence,
    DispatchSettings,
    Dispatcher,
    FleetWorker,
    JobGraph,
    JobKey,
    OrderOutcome,
    ProgressRecord,
    RenewalReport,
    RunNumber,
    RunningTask,
    StartOrder,
    StepSpec,
    TaskCrashes,
    TaskKey,
    WorkerCrash,
    WorkerKey,
    WorkerOrder, //
};

/// A simulated pool whose services have the tail latency that the test defines.
struct Pool {
    dispatcher: Dispatcher,
    now: Duration,
    workers: Vec<WorkerKey>,
    /// The throttle factor, in percent, of each run.
    running: IndexMap<(WorkerKey, TaskKey, RunNumber), u32>,
    stop_count: usize,
    /// Whether no record is stored.
    store_is_away: bool,
    /// Returns the tail latency in milliseconds of a service's task beside harmful fillers on this
    /// share of the CPU.
    tail: fn(f64) -> u64,
    /// Replaces `tail` where the latency depends on time and task.
    tail_by_task: Option<fn(Duration, TaskKey, f64) -> u64>,
    /// The CPU in millicores that an unthrottled filler reports to use.
    filler_cpu_millis: u64,
    /// How many of the next throttle orders get no answer, and are carried out late.
    late_throttle_count: usize,
    /// The throttle orders that are carried out late, each with its time.
    late_throttles: Vec<(Duration, (WorkerKey, TaskKey, RunNumber), u32)>,
}

/// How late a late order is carried out.
const ORDER_DELAY: Duration = Duration::from_secs(8);

impl Pool {
    fn new(workers: usize, tail: fn(f64) -> u64) -> Self {
        let mut dispatcher = Dispatcher::new(1, DispatchSettings::default());
        dispatcher.set_configuration(configuration(3));
        let mut pool = Self {
            dispatcher,
            now: ms(1000),
            workers: Vec::new(),
            running: IndexMap::new(),
            stop_count: 0,
            store_is_away: false,
            tail,
            tail_by_task: None,
            filler_cpu_millis: 4000,
            late_throttle_count: 0,
            late_throttles: Vec::new(),
        };
        for _ in 0..workers {
            pool.add_worker();
        }
        pool.report_metrics();
        pool
    }

    /// Adds an empty worker.
    fn add_worker(&mut self) {
        let record = FleetWorker {
            id: format!("worker-{}", self.workers.len()).into(),
            vm: None,
            pool: "pool".into(),
            address: String::new(),
            domain: DomainName::from("domain-a"),
            labels: Vec::new(),
            capacity: ResourceAmount::new(32_000, 128_000),
            draining: false,
            incarnation: None,
        };
        let worker = self.dispatcher.upsert_worker(record, None);
        self.workers.push(worker);
    }

    fn with_tail_by_task(mut self, tail: fn(Duration, TaskKey, f64) -> u64) -> Self {
        self.tail_by_task = Some(tail);
        self
    }

    fn tail(&self, task: TaskKey, share: f64) -> u64 {
        self.tail_by_task
            .map_or_else(|| (self.tail)(share), |tail| tail(self.now, task, share))
    }

    fn submit(&mut self, number: u64, graph: JobGraph) {
        let job = AcceptedJob {
            queue: "queue".into(),
            rule: None,
            graph: Arc::new(graph),
            accepted: self.now,
            inherited: false,
        };
        self.dispatcher.add_job(JobKey::new(number), job);
    }

    /// Advances the time, planning and reporting metrics every half second.
    fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.plan();
            self.now += ms(500);
            self.report_metrics();
        }
    }

    /// Plans, carries out all orders at once and, unless the store is away, stores all records.
    fn plan(&mut self) {
        if !self.store_is_away && !self.dispatcher.take_records_to_commit(45).is_empty() {
            self.dispatcher.confirm_commit();
        }
        for order in self.dispatcher.plan(self.now).orders {
            match order {
                WorkerOrder::Start(start) => self.start(&start),
                WorkerOrder::Stop { worker, task, run } => {
                    self.running.swap_remove(&(worker, task, run));
                    self.stop_count += 1;
                    let end = OrderOutcome::Taken;
                    self.dispatcher
                        .handle_stop_outcome(worker, task, run, end, self.now);
                }
                WorkerOrder::Throttle {
                    worker,
                    task,
                    run,
                    percent,
                } => self.throttle((worker, task, run), percent),
            }
        }
        let now = self.now;
        let due = self.late_throttles.extract_if(.., |(due, ..)| *due <= now);
        for (_, id, percent) in due.collect::<Vec<_>>() {
            self.set_throttle(id, percent);
        }
    }

    fn throttle(&mut self, id: (WorkerKey, TaskKey, RunNumber), percent: u32) {
        let mut outcome = OrderOutcome::Taken;
        if self.late_throttle_count > 0 {
            self.late_throttle_count -= 1;
            let due = self.now + ORDER_DELAY;
            self.late_throttles.push((due, id, percent));
            outcome = OrderOutcome::Unknown;
        } else {
            self.set_throttle(id, percent);
        }
        let (worker, task, run) = id;
        self.dispatcher
            .handle_throttle_outcome(worker, task, run, outcome, self.now);
    }

    fn set_throttle(&mut self, id: (WorkerKey, TaskKey, RunNumber), percent: u32) {
        if let Some(known) = self.running.get_mut(&id) {
            *known = percent;
        }
    }

    /// Replaces the owner by one that knows the workers, but not what it has ordered.
    fn replace_owner(&mut self) {
        let mut successor = Dispatcher::new(2, DispatchSettings::default());
        successor.set_configuration(configuration(3));
        for &worker in &self.workers {
            successor.upsert_worker(self.dispatcher.worker_record(worker).clone(), None);
        }
        self.dispatcher = successor;
    }

    /// Ends a service that its caller has cancelled.
    fn end_service(&mut self) {
        self.running.retain(|(_, task, _), _| !is_service(*task));
    }

    fn throttled_fillers(&self) -> usize {
        let percents = self.running.iter();
        percents
            .filter(|((_, task, _), percent)| !is_service(*task) && **percent < 100)
            .count()
    }

    fn start(&mut self, start: &StartOrder) {
        self.running
            .insert((start.worker, start.task, start.run), 100);
        self.dispatcher.handle_start_outcome(
            start.worker,
            start.task,
            start.run,
            OrderOutcome::Taken,
            self.now,
        );
    }

    /// Answers a lease renewal of each worker with the metrics of its runs.
    fn report_metrics(&mut self) {
        for &worker in &self.workers {
            let here: Vec<(TaskKey, RunNumber, u32)> = self
                .running
                .iter()
                .filter(|((at, ..), _)| *at == worker)
                .map(|(&(_, task, run), &percent)| (task, run, percent))
                .collect();
            let harmful: u32 = here
                .iter()
                .filter(|(task, ..)| is_harmful(*task))
                .map(|(.., percent)| percent)
                .sum();
            // Each filler takes 4 of the 32 cores.
            let share = f64::from(harmful) / 100.0 * 4.0 / 32.0;
            // CAST: Less than 100.
            let progress = (self.now.as_millis() / 500 % 90) as u32;
            let running = here.iter().map(|&(task, run, percent)| RunningTask {
                task,
                run,
                checkpoint: None,
                // Fillers make progress for as long as the test runs.
                progress_percent: if is_service(task) { 100 } else { progress },
                metric: Some(if is_service(task) {
                    self.tail(task, share)
                } else {
                    self.filler_cpu_millis / 100 * u64::from(percent)
                }),
            });
            let report = RenewalReport {
                clock: self.now,
                incarnation: None,
                running: running.collect(),
                completions: Vec::new(),
            };
            self.dispatcher
                .handle_renewal_report(worker, self.now, report, self.now);
        }
    }

    /// Returns the learned effect of a filler image on the load of the only service image; 0 if
    /// none was observed.
    fn learned_effect(&self, image: &str) -> f32 {
        let learned = self.dispatcher.learned_record();
        let pairs = &learned.services[0].fillers;
        let pair = pairs.iter().find(|(name, _)| name == image);
        pair.map_or(0.0, |(_, effect)| effect.mean)
    }

    fn count_running(&self, wanted: fn(TaskKey) -> bool) -> usize {
        let running = self.running.keys();
        running.filter(|(_, task, _)| wanted(*task)).count()
    }

    fn count_on_worker(&self, worker: WorkerKey, wanted: fn(TaskKey) -> bool) -> usize {
        let here = self.running.keys();
        here.filter(|(at, task, _)| *at == worker && wanted(*task))
            .count()
    }
}

/// Returns a task's job number: 1 to 9 are services, 10 to 99 harmful fillers, others harmless
/// fillers.
fn job_number(task: TaskKey) -> u64 {
    u64::from_str_radix(&task.job().to_string(), 16).unwrap()
}

fn is_service(task: TaskKey) -> bool {
    job_number(task) < 10
}

fn is_harmful(task: TaskKey) -> bool {
    (10..100).contains(&job_number(task))
}

fn service(image: &str, count: u32) -> JobGraph {
    graph(vec![StepSpec {
        long_running: true,
        tail_target: Some(ms(18)),
        image: Some(image.into()),
        size: ResourceAmount::new(6000, 12_000),
        ..step(count, &[])
    }])
}

/// A service so large that no worker has capacity for two of its tasks.
fn large_service(image: &str, count: u32) -> JobGraph {
    let mut graph = service(image, count);
    graph.steps[0].size = ResourceAmount::new(20_000, 12_000);
    graph
}

fn filler(image: &str, count: u32) -> JobGraph {
    graph(vec![StepSpec {
        filler: true,
        checkpoints: true,
        image: Some(image.into()),
        size: ResourceAmount::new(4000, 6000),
        estimate: ms(3000),
        ..step(count, &[])
    }])
}

/// Returns the tail latency in milliseconds of a queue at a load of 0.5 plus twice the share of
/// harmful fillers.
fn queue_tail_ms(share: f64) -> u64 {
    let load = (0.5 + 2.0 * share).min(0.98);
    (4.0 / (1.0 - load)) as u64
}

/// As above, but a single filler suffices to exceed the target.
fn sensitive_queue_tail_ms(share: f64) -> u64 {
    queue_tail_ms(1.5 * share)
}

/// Guards against a service that stays above its target because harmful fillers placed beside it
/// are neither throttled nor evicted.
#[test]
fn harmful_fillers_are_throttled_until_the_service_meets_its_target() {
    let mut pool = Pool::new(1, queue_tail_ms);
    pool.submit(1, service("service-a", 2));
    pool.run_for(ms(1000));
    pool.submit(10, filler("harmful", 4));
    pool.run_for(ms(20_000));
    let worker = pool.workers[0];
    let throttle_percents: u32 = pool
        .running
        .iter()
        .filter(|((_, task, _), _)| is_harmful(*task))
        .map(|(_, percent)| percent)
        .sum();
    let share = f64::from(throttle_percents) / 100.0 * 4.0 / 32.0;
    assert!(
        queue_tail_ms(share) < 18,
        "{} fillers, {share}",
        pool.count_on_worker(worker, is_harmful)
    );
}

/// Guards against throttling harmless fillers together with the harmful ones beside them.
#[test]
fn harmless_fillers_are_not_throttled() {
    let mut pool = Pool::new(2, queue_tail_ms);
    pool.submit(1, service("service-a", 4));
    pool.run_for(ms(1000));
    pool.submit(100, filler("harmless", 6));
    pool.run_for(ms(8000));
    pool.submit(10, filler("harmful", 4));
    pool.run_for(ms(20_000));
    let harmless = pool
        .running
        .iter()
        .filter(|((_, task, _), _)| job_number(*task) == 100);
    let throttle_percents: Vec<u32> = harmless.map(|(_, percent)| *percent).collect();
    assert_eq!(throttle_percents, vec![100; 6]);
}

/// Guards against spreading every service over all workers: a filler that interferes with one of
/// the services would then find no place.
#[test]
fn services_of_one_image_are_placed_together() {
    let mut pool = Pool::new(4, |_| 6);
    for (number, image) in ["service-a", "service-b", "service-c", "service-d"]
        .into_iter()
        .enumerate()
    {
        pool.submit(number as u64 + 1, service(image, 2));
    }
    pool.run_for(ms(1000));
    for &worker in &pool.workers {
        let here = pool.running.keys().filter(|(at, ..)| *at == worker);
        let mut images: Vec<u64> = here.map(|(_, task, _)| job_number(*task)).collect();
        images.sort_unstable();
        images.dedup();
        assert!(images.len() <= 1, "{images:?}");
    }
}

/// Guards against harmless fillers that occupy the only worker without services, so that harmful
/// fillers find no place.
#[test]
fn harmless_fillers_leave_workers_without_services_to_harmful_ones() {
    let mut pool = Pool::new(2, queue_tail_ms);
    pool.submit(1, service("service-a", 4));
    pool.run_for(ms(1000));
    let candidates = pool.workers.iter().copied();
    let service_worker = candidates
        .max_by_key(|&worker| pool.count_on_worker(worker, is_service))
        .unwrap();
    let free_worker = pool
        .workers
        .iter()
        .copied()
        .find(|&worker| worker != service_worker)
        .unwrap();
    pool.submit(10, filler("harmful", 10));
    pool.run_for(ms(20_000));
    // By now their effect is known.
    pool.dispatcher.cancel_job(JobKey::new(10));
    pool.run_for(ms(2000));
    pool.submit(101, filler("harmless", 1));
    pool.run_for(ms(2000));
    let harmless = pool.running.keys();
    let harmless =
        harmless.filter(|(at, task, _)| *at == service_worker && job_number(*task) == 101);
    assert_eq!(harmless.count(), 1);
    pool.submit(11, filler("harmful", 4));
    pool.run_for(ms(2000));
    let harmful = pool.running.keys();
    let harmful = harmful.filter(|(at, task, _)| *at == free_worker && job_number(*task) == 11);
    assert_eq!(harmful.count(), 4);
}

/// Guards against a new owner that has to learn again which fillers are harmful, during which
/// services are above their targets for ten seconds.
#[test]
fn successor_restores_the_learned_interference() {
    let mut predecessor = Pool::new(1, sensitive_queue_tail_ms);
    predecessor.submit(1, service("service-a", 2));
    predecessor.run_for(ms(1000));
    predecessor.submit(10, filler("harmful", 2));
    predecessor.submit(100, filler("harmless", 1));
    predecessor.run_for(ms(20_000));
    let mut pool = Pool::new(1, sensitive_queue_tail_ms);
    let learned = predecessor.dispatcher.learned_record();
    pool.dispatcher.restore_learned(&learned);
    assert_eq!(pool.dispatcher.learned_record(), learned);
    pool.submit(1, service("service-a", 2));
    pool.run_for(ms(2000));
    pool.submit(10, filler("harmful", 2));
    pool.submit(100, filler("harmless", 3));
    pool.plan();
    let worker = pool.workers[0];
    assert_eq!(pool.count_on_worker(worker, is_harmful), 0);
    assert_eq!(
        pool.count_on_worker(worker, |task| job_number(task) == 100),
        3
    );
}

/// Guards against placing several fillers of unknown effect beside one service at once: together
/// they would slow it down before the first metric shows it.
#[test]
fn fillers_of_unknown_effect_start_one_at_a_time() {
    let mut pool = Pool::new(1, |_| 6);
    pool.submit(1, service("service-a", 1));
    pool.run_for(ms(1000));
    pool.submit(10, filler("unknown", 5));
    pool.plan();
    let worker = pool.workers[0];
    assert_eq!(pool.count_on_worker(worker, is_harmful), 1);
    pool.run_for(ms(20_000));
    assert!(pool.count_on_worker(worker, is_harmful) > 1);
}

/// Guards against harmless fillers that wait beside idle cores: a smaller filler of another image
/// has no place because it interferes with the services there, and that result must not be applied
/// to other images.
#[test]
fn unplaceable_filler_does_not_block_other_images() {
    let mut pool = Pool::new(1, queue_tail_ms);
    pool.submit(1, service("service-a", 2));
    pool.run_for(ms(1000));
    pool.submit(10, filler("harmful", 2));
    pool.run_for(ms(20_000));
    pool.submit(11, filler("harmful", 8));
    pool.submit(100, filler("harmless", 3));
    pool.run_for(ms(4000));
    let harmless = pool.running.keys();
    let harmless = harmless.filter(|(_, task, _)| job_number(*task) == 100);
    assert_eq!(harmless.count(), 3);
}

/// Guards against blaming harmless fillers for a service's rising load. Service 1 gets slower with
/// its callers after fillers were placed beside its tasks, while service 2 of the same image gets
/// faster. The tasks of service 1 without fillers show that the fillers are not the cause.
#[test]
fn load_rise_of_all_tasks_of_a_service_is_not_attributed_to_fillers() {
    let mut pool = Pool::new(8, |_| 6).with_tail_by_task(|now, task, _| {
        let swing = 0.25 * (now.as_secs_f64() * std::f64::consts::TAU / 14.0).sin();
        let swing = if job_number(task) == 1 { swing } else { -swing };
        (4.0 / (0.6 - swing)) as u64
    });
    pool.submit(1, large_service("service-a", 4));
    pool.submit(2, large_service("service-a", 4));
    // The load of service 1 is at its minimum now.
    pool.run_for(ms(9500));
    pool.submit(100, filler("harmless", 2));
    for _ in 0..10 {
        pool.run_for(ms(500));
        assert!(pool.learned_effect("harmless") < 0.5);
    }
    assert_eq!(pool.stop_count, 0);
}

/// Guards against placing slightly harmful fillers on the worker with the most idle CPU, whose
/// service is close to its target, instead of beside a service with most of its target left.
#[test]
fn filler_is_placed_where_services_have_the_most_headroom() {
    let mut pool = Pool::new(2, |_| 6).with_tail_by_task(|_, task, share| {
        let own = if job_number(task) == 1 { 0.6 } else { 0.3 };
        let load = (own + 0.4 * share).min(0.98);
        (4.0 / (1.0 - load)) as u64
    });
    pool.submit(1, service("service-a", 3));
    pool.submit(2, service("service-b", 5));
    pool.run_for(ms(2000));
    pool.submit(10, filler("harmful", 4));
    pool.run_for(ms(20_000));
    // By now their effect is known.
    pool.dispatcher.cancel_job(JobKey::new(10));
    pool.run_for(ms(2000));
    pool.submit(11, filler("harmful", 2));
    pool.run_for(ms(1000));
    let worker = pool
        .running
        .keys()
        .find(|(_, task, _)| job_number(*task) == 2);
    let worker = worker.unwrap().0;
    assert_eq!(pool.count_on_worker(worker, is_harmful), 2);
}

/// Guards against a load estimate that becomes NaN, which panics in the owner's loop, so that the
/// leases of all runs lapse. It happened when a service's tasks reported at the same time, after
/// pauses.
#[test]
fn load_estimate_stays_finite_after_pauses_between_reports() {
    let mut pool = Pool::new(2, |_| 6).with_tail_by_task(|now, _, share| {
        let busy = now.as_millis() / 9500 % 2 == 0;
        let load = (if busy { 0.9 } else { 0.1 } + 2.0 * share).min(0.98);
        (4.0 / (1.0 - load)) as u64
    });
    pool.submit(1, service("service-a", 8));
    pool.run_for(ms(1000));
    for pause in (0..400).map(|round| ms(500 + round * 97 % 9000)) {
        pool.now += pause;
        pool.report_metrics();
        pool.plan();
    }
    pool.submit(100, filler("harmless", 1));
    let placed = (0..40).any(|_| {
        pool.run_for(ms(500));
        pool.count_running(|task| job_number(task) == 100) == 1
    });
    assert!(placed);
}

/// Guards against blaming a harmless filler that starts just after a harmful one has ended, while
/// the service's metrics still reflect the latter.
#[test]
fn filler_is_not_blamed_for_one_that_has_just_ended() {
    let mut pool = Pool::new(1, queue_tail_ms);
    pool.submit(1, service("service-a", 2));
    pool.run_for(ms(3000));
    pool.submit(10, filler("harmful", 1));
    pool.run_for(ms(3000));
    // The share of the ended filler that the metrics still reflect after half a second.
    pool.tail_by_task = Some(|_, _, _| queue_tail_ms(0.125 * 0.3));
    pool.dispatcher.cancel_job(JobKey::new(10));
    pool.submit(100, filler("harmless", 1));
    pool.run_for(ms(500));
    assert!(pool.learned_effect("harmless") < 0.1);
    assert!(pool.learned_effect("harmful") > 1.0);
}

/// Guards against evicting recently placed fillers that are known to be harmless when a service is
/// above its target because of its callers. Each eviction loses the work done.
#[test]
fn recently_placed_harmless_fillers_are_not_evicted() {
    let mut pool = Pool::new(1, queue_tail_ms);
    pool.submit(1, service("service-a", 2));
    pool.submit(100, filler("harmless", 2));
    pool.run_for(ms(8000));
    pool.submit(101, filler("harmless", 2));
    pool.run_for(ms(500));
    let stop_count = pool.stop_count;
    assert_eq!(pool.count_running(|task| job_number(task) == 101), 2);
    pool.tail_by_task = Some(|_, _, _| 30);
    pool.run_for(ms(1500));
    assert_eq!(pool.stop_count, stop_count);
}

/// Guards against learning from impossible metrics: a service that has just started reports a tail
/// latency of 0, and a filler reports more CPU use than the worker has.
#[test]
fn impossible_metrics_do_not_change_the_model() {
    let mut pool = Pool::new(1, queue_tail_ms);
    pool.submit(1, service("service-a", 2));
    pool.run_for(ms(3000));
    pool.submit(10, filler("harmful", 1));
    pool.run_for(ms(3000));
    let learned = pool.dispatcher.learned_record();
    pool.tail_by_task = Some(|_, _, _| 0);
    pool.run_for(ms(3000));
    assert_eq!(pool.dispatcher.learned_record(), learned);
    pool.tail_by_task = None;
    for cpu_millis in [40_000, u64::MAX] {
        pool.filler_cpu_millis = cpu_millis;
        pool.run_for(ms(3000));
        assert_eq!(pool.dispatcher.learned_record(), learned);
    }
}

/// Guards against adding fillers beside throttled harmful ones. Unthrottled, those would already
/// push the service above its target, so one more seemed to add no risk.
#[test]
fn no_filler_starts_beside_throttled_harmful_fillers() {
    let mut pool = Pool::new(1, |_| 6).with_tail_by_task(|now, _, share| {
        let own = (0.3 + (now.as_secs_f64() - 6.0) * 0.04).clamp(0.3, 0.62);
        (4.0 / (1.0 - (own + 0.8 * share).min(0.98))) as u64
    });
    pool.submit(1, large_service("service-a", 1));
    pool.run_for(ms(3000));
    pool.submit(10, filler("harmful", 3));
    pool.run_for(ms(14_000));
    assert_eq!(pool.count_running(is_harmful), 3);
    pool.submit(11, filler("harmful", 6));
    for _ in 0..20 {
        pool.run_for(ms(500));
        assert!(pool.count_running(|task| job_number(task) == 11) == 0);
    }
}

/// Guards against blaming harmless fillers for a load that swings within seven seconds: the error
/// of a load estimate that lags behind was attributed to the fillers.
#[test]
fn fast_load_swing_is_not_attributed_to_fillers() {
    let mut pool = Pool::new(8, |_| 6).with_tail_by_task(|now, task, _| {
        let swing = 0.3 * (now.as_secs_f64() * std::f64::consts::TAU / 7.0).sin();
        let swing = if job_number(task) == 1 { swing } else { -swing };
        (4.0 / (0.6 - swing)) as u64
    });
    pool.submit(1, large_service("service-a", 4));
    pool.submit(2, large_service("service-a", 4));
    pool.run_for(ms(4500));
    pool.submit(100, filler("harmless", 8));
    for _ in 0..40 {
        pool.run_for(ms(500));
        assert!(
            pool.learned_effect("harmless") < 0.3,
            "{}",
            pool.learned_effect("harmless")
        );
    }
    assert_eq!(pool.stop_count, 0);
}

/// Returns the tail latency in milliseconds of a service whose load rises after 15 s; from then on
/// a harmful filler pushes it above its target even at the strongest throttling.
fn rising_service_tail_ms(now: Duration, _task: TaskKey, share: f64) -> u64 {
    let own = if now < ms(15_000) { 0.3 } else { 0.77 };
    (4.0 / (1.0 - (own + 1.5 * share).min(0.98))) as u64
}

/// Returns the longest time within a minute without a run of a harmful filler whose effect is
/// known.
fn longest_pause_of_harmful_fillers(service_worker: JobGraph) -> Duration {
    let mut pool = Pool::new(3, |_| 6).with_tail_by_task(rising_service_tail_ms);
    pool.submit(1, service_worker);
    pool.run_for(ms(3000));
    pool.submit(10, filler("harmful", 3));
    pool.run_for(ms(20_000));
    let (mut pause, mut longest) = (Duration::ZERO, Duration::ZERO);
    for _ in 0..120 {
        pool.run_for(ms(500));
        pause = match pool.count_running(is_harmful) {
            0 => pause + ms(500),
            _ => Duration::ZERO,
        };
        longest = longest.max(pause);
    }
    longest
}

/// Guards against starving a filler job that interferes with services on every worker while most of
/// the pool is free.
#[test]
fn harmful_filler_runs_while_most_of_the_pool_is_free() {
    let mut service_worker = service("service-a", 6);
    service_worker.steps[0].max_per_worker = Some(2);
    let pause = longest_pause_of_harmful_fillers(service_worker);
    assert!(pause < ms(3000), "{pause:?}");
}

/// Guards against starving a filler that interferes with services on every worker because it is
/// suspected of crashing its workers.
#[test]
fn suspected_harmful_filler_runs_while_most_of_the_pool_is_free() {
    let mut pool = pool_with_known_harm(2);
    pool.submit(11, filler("harmful", 2));
    pool.dispatcher
        .restore_job(JobKey::new(11), &suspected_tasks(2));
    let has_run = (0..10).any(|_| {
        pool.run_for(ms(500));
        pool.count_running(|task| job_number(task) == 11) > 0
    });
    assert!(has_run);
}

/// Guards against starving a gang of fillers, of known or unknown interference, with more tasks than
/// there are workers, while most of the pool is free.
#[test]
fn harmful_gang_runs_while_most_of_the_pool_is_free() {
    for image in ["harmful", "unknown"] {
        let mut pool = pool_with_known_harm(2);
        let mut gang = filler(image, 4);
        gang.steps[0].gang = true;
        pool.submit(11, gang);
        let has_run = (0..10).any(|_| {
            pool.run_for(ms(500));
            pool.count_running(|task| job_number(task) == 11) == 4
        });
        assert!(has_run, "{image}");
    }
}

/// Returns the record of a job whose first tasks have met two early crashes.
fn suspected_tasks(count: u32) -> ProgressRecord {
    let crash = |number: u64| WorkerCrash {
        run: RunNumber::of_owner(1, number),
        worker: "gone".into(),
        at: ms(500),
        early: true,
        alone: false,
        widespread: false,
        evidence: CrashEvidence::Restarted,
        incarnation: None,
    };
    let crashes = (0..count).map(|index| TaskCrashes {
        occurrence: 0,
        step: 0,
        index,
        crashes: vec![crash(1_000_000), crash(1_000_001)],
        started_on: None,
        begun_in: None,
    });
    ProgressRecord {
        crashes: crashes.collect(),
        ..ProgressRecord::default()
    }
}

/// Guards against slowing services down for a starved filler although the pool has little free
/// capacity.
#[test]
fn harmful_filler_waits_in_a_busy_pool() {
    let pause = longest_pause_of_harmful_fillers(large_service("service-a", 3));
    assert!(pause > ms(30_000), "{pause:?}");
}

/// Returns a pool in which harmful fillers are known to interfere with the services, of which each worker executes so many.
fn pool_with_known_harm(services_per_worker: u32) -> Pool {
    let mut services = service("service-a", 3 * services_per_worker);
    services.steps[0].max_per_worker = Some(services_per_worker);
    let mut pool = Pool::new(3, |_| 6).with_tail_by_task(rising_service_tail_ms);
    pool.submit(1, services);
    pool.run_for(ms(3000));
    pool.submit(10, filler("harmful", 3));
    pool.run_for(ms(20_000));
    pool.dispatcher.cancel_job(JobKey::new(10));
    pool
}

fn runs_soon(pool: &mut Pool, wanted: fn(TaskKey) -> bool) -> bool {
    (0..40).any(|_| {
        pool.run_for(ms(500));
        pool.count_running(wanted) > 0
    })
}

/// Submits a job of fillers that slow services down, with another step, before it, that fits on no worker.
fn submit_beside_unplaceable_step(pool: &mut Pool, gang: bool) {
    let mut both = filler("harmful", 1);
    let mut first = both.steps[0].clone();
    first.gang = gang;
    first.label = Some("missing".into());
    both.steps.insert(0, first);
    pool.submit(11, both);
}

/// Guards against starving a step of fillers beside another of its job that fits on no worker: both share the time of
/// the last search.
#[test]
fn starved_step_runs_beside_one_of_its_job_that_fits_nowhere() {
    let mut pool = pool_with_known_harm(2);
    submit_beside_unplaceable_step(&mut pool, false);
    assert!(runs_soon(&mut pool, |task| job_number(task) == 11));
}

/// Guards against starving a step of fillers beside a gang of its job that fits on no worker: each plan searches for
/// the gang first.
#[test]
fn starved_step_runs_beside_a_gang_of_its_job_that_fits_nowhere() {
    let mut pool = pool_with_known_harm(2);
    submit_beside_unplaceable_step(&mut pool, true);
    assert!(runs_soon(&mut pool, |task| job_number(task) == 11));
}

/// Guards against starving one of several long-running fillers because another one of its job runs from time to time.
#[test]
fn each_starved_long_running_filler_of_a_job_runs() {
    let mut pool = pool_with_known_harm(2);
    let mut lasting = filler("harmful", 2);
    lasting.steps[0].long_running = true;
    lasting.steps[0].max_per_worker = Some(1);
    pool.submit(11, lasting);
    assert!(runs_soon(&mut pool, |task| job_number(task) == 11 && task.index == 1));
}

/// Guards against starving the last ones of many long-running fillers because the first ones, once evicted, are started
/// again before them.
#[test]
fn starved_long_running_fillers_of_a_job_take_turns() {
    let mut pool = pool_with_known_harm(2);
    let mut lasting = filler("harmful", 6);
    lasting.steps[0].long_running = true;
    pool.submit(11, lasting);
    let mut has_run = [false; 6];
    for _ in 0..40 {
        pool.run_for(ms(500));
        let tasks = pool.running.keys().map(|(_, task, _)| *task);
        for task in tasks.filter(|task| job_number(*task) == 11) {
            has_run[task.index as usize] = true;
        }
    }
    assert_eq!(has_run, [true; 6]);
}

/// Guards against starving a long-running filler for as long as another one of its job runs beside no service.
#[test]
fn starved_long_running_filler_runs_beside_one_that_is_never_evicted() {
    let mut pool = pool_with_known_harm(2);
    pool.add_worker();
    let mut lasting = filler("harmful", 2);
    lasting.steps[0].long_running = true;
    lasting.steps[0].max_per_worker = Some(1);
    pool.submit(11, lasting);
    assert!(runs_soon(&mut pool, |task| job_number(task) == 11 && task.index == 1));
}

/// Guards against starving fillers in an idle pool whose services are too slow by themselves, without any filler.
#[test]
fn filler_runs_beside_services_that_are_too_slow_by_themselves() {
    let mut services = service("service-a", 6);
    services.steps[0].max_per_worker = Some(2);
    let mut pool = Pool::new(3, |_| 25);
    pool.submit(1, services);
    pool.run_for(ms(10_000));
    pool.submit(11, filler("harmful", 1));
    assert!(runs_soon(&mut pool, |task| job_number(task) == 11));
}

/// Guards against evicting a starved filler as soon as it runs beside services that are too slow by themselves, and against
/// long waits for its next run: it would never end.
#[test]
fn filler_makes_progress_beside_services_that_are_too_slow_by_themselves() {
    let mut pool = pool_of_slow_services(1);
    pool.submit(11, filler("harmless", 1));
    assert!(runs_soon(&mut pool, is_harmful));
    pool.run_for(ms(1000));
    assert!(pool.count_running(is_harmful) > 0);
    let (mut pause, mut longest, mut rounds_at_work) = (0, 0, 0);
    for _ in 0..120 {
        pool.run_for(ms(500));
        let is_at_work = pool.count_running(is_harmful) > 0;
        pause = if is_at_work { 0 } else { pause + 1 };
        longest = longest.max(pause);
        rounds_at_work += u32::from(is_at_work);
    }
    assert!(longest < 6, "{longest} rounds of 500 ms");
    assert!(rounds_at_work >= 40, "{rounds_at_work} of 120 rounds");
}

/// Guards against starving a gang of fillers, with more tasks than there are workers, whose services are too slow by
/// themselves.
#[test]
fn gang_of_fillers_runs_beside_services_that_are_too_slow_by_themselves() {
    let mut pool = pool_of_slow_services(1);
    let mut gang = filler("harmful", 3);
    gang.steps[0].gang = true;
    pool.submit(11, gang);
    assert!(runs_soon(&mut pool, is_harmful));
    assert_eq!(pool.count_running(is_harmful), 3);
}

/// Guards against gathering fillers beside services that are too slow by themselves.
#[test]
fn starved_fillers_run_one_at_a_time_beside_services_that_are_too_slow_by_themselves() {
    let mut pool = pool_of_slow_services(1);
    for number in 11..16 {
        pool.submit(number, filler("harmful", 2));
    }
    let mut has_run = [false; 5];
    for _ in 0..240 {
        for _ in 0..5 {
            pool.plan();
            pool.now += ms(100);
        }
        pool.report_metrics();
        assert!(pool.count_running(is_harmful) <= 1);
        let tasks = pool.running.keys().map(|(_, task, _)| *task);
        for task in tasks.filter(|task| is_harmful(*task)) {
            has_run[job_number(task) as usize - 11] = true;
        }
    }
    assert_eq!(has_run, [true; 5]);
}

/// Guards against starting fillers beside a service that only other fillers make too slow.
#[test]
fn starved_filler_does_not_start_while_other_fillers_slow_the_service() {
    let mut pool = Pool::new(1, |_| 6);
    pool.submit(1, service("service-a", 2));
    pool.submit(100, filler("harmless", 4));
    pool.run_for(ms(10_000));
    pool.tail_by_task = Some(|_, _, _| 25);
    pool.run_for(ms(500));
    pool.submit(11, filler("harmful", 1));
    for _ in 0..10 {
        let has_others = pool.count_running(|task| job_number(task) == 100) > 0;
        pool.run_for(ms(500));
        assert!(!has_others || pool.count_running(is_harmful) == 0);
    }
}

/// Guards against taking a service to be too slow by itself while its metrics still reflect a filler that has just ended.
#[test]
fn starved_filler_waits_until_the_metrics_reflect_no_filler() {
    let mut pool = Pool::new(1, |_| 6);
    pool.submit(1, service("service-a", 2));
    pool.submit(100, filler("harmless", 1));
    pool.run_for(ms(8000));
    pool.tail_by_task = Some(|_, _, _| 25);
    pool.run_for(ms(500));
    pool.submit(11, filler("harmful", 1));
    pool.run_for(ms(1000));
    assert_eq!(pool.count_running(|task| job_number(task) == 100), 1);
    pool.dispatcher.cancel_job(JobKey::new(100));
    pool.run_for(ms(500));
    pool.plan();
    assert_eq!(pool.count_running(is_harmful), 0);
    assert!(runs_soon(&mut pool, is_harmful));
}

/// Guards against sparing a filler of unknown effect that has just come when a service that was barely fast enough becomes
/// too slow.
#[test]
fn newcomer_is_evicted_at_once_when_a_service_becomes_too_slow() {
    let mut pool = Pool::new(1, |_| 17);
    pool.submit(1, service("service-a", 2));
    pool.run_for(ms(8000));
    pool.submit(100, filler("unknown", 1));
    pool.plan();
    assert_eq!(pool.count_running(|task| job_number(task) == 100), 1);
    pool.tail_by_task = Some(|_, _, _| 19);
    pool.run_for(ms(1000));
    assert_eq!(pool.stop_count, 1);
}

/// Guards against a filler that keeps a service too slow after the service has ceased to be so by itself.
#[test]
fn filler_is_evicted_once_it_keeps_a_service_too_slow() {
    let mut pool = Pool::new(1, |_| 6).with_tail_by_task(|now, _, share| match share > 0.0 {
        _ if now.as_millis() / 7000 % 2 == 0 => 25,
        true => 22,
        false => 12,
    });
    pool.submit(1, service("service-a", 2));
    pool.run_for(ms(10_000));
    pool.submit(11, filler("unknown", 1));
    let (mut harm, mut longest, mut starts) = (0, 0, 0);
    for _ in 0..240 {
        let was_at_work = pool.count_running(is_harmful) > 0;
        pool.run_for(ms(500));
        let is_at_work = pool.count_running(is_harmful) > 0;
        starts += u32::from(is_at_work && !was_at_work);
        let is_harm = is_at_work && pool.now.as_millis() / 7000 % 2 == 1;
        harm = if is_harm { harm + 1 } else { 0 };
        longest = longest.max(harm);
    }
    assert!(starts > 0);
    assert!(longest <= 5, "{longest} rounds of 500 ms");
}

/// Returns a pool whose services are too slow by themselves.
fn pool_of_slow_services(workers: usize) -> Pool {
    let mut pool = Pool::new(workers, |_| 25);
    pool.submit(1, service("service-a", 2));
    pool.run_for(ms(10_000));
    pool
}

/// Guards against a start of a suspected filler that no successor learns of.
#[test]
fn suspected_harmful_filler_starts_only_after_its_announcement() {
    let mut pool = pool_with_known_harm(2);
    pool.run_for(ms(1000));
    pool.store_is_away = true;
    pool.submit(11, filler("harmful", 1));
    pool.dispatcher
        .restore_job(JobKey::new(11), &suspected_tasks(1));
    for _ in 0..20 {
        pool.run_for(ms(500));
        assert_eq!(pool.count_running(|task| job_number(task) == 11), 0);
    }
    pool.store_is_away = false;
    let has_run = (0..10).any(|_| {
        pool.run_for(ms(500));
        pool.count_running(|task| job_number(task) == 11) > 0
    });
    assert!(has_run);
}

/// Guards against fillers that wait although they may start anywhere, because a suspected one of their job is preferred.
#[test]
fn unsuspected_harmful_fillers_start_before_suspected_ones() {
    let mut pool = pool_with_known_harm(2);
    pool.submit(11, filler("harmful", 2));
    pool.dispatcher
        .restore_job(JobKey::new(11), &suspected_tasks(1));
    let started = (0..20).find_map(|_| {
        pool.run_for(ms(500));
        let mut running = pool.running.keys();
        running
            .find(|(_, task, _)| job_number(*task) == 11)
            .map(|(_, task, _)| task.index)
    });
    assert_eq!(started, Some(1));
}

/// Guards against a gang of harmful fillers that is started while its pool is needed.
#[test]
fn harmful_gang_waits_while_most_of_the_pool_is_used() {
    for (services_per_worker, may_run) in [(2, true), (3, false)] {
        let mut pool = pool_with_known_harm(services_per_worker);
        let mut gang = filler("harmful", 3);
        gang.steps[0].gang = true;
        pool.submit(11, gang);
        let has_run = (0..10).any(|_| {
            pool.run_for(ms(500));
            pool.count_running(|task| job_number(task) == 11) == 3
        });
        assert_eq!(has_run, may_run, "{services_per_worker}");
    }
}

/// Guards against fillers that stay throttled for good: the owner that had throttled them was replaced, and the service is gone.
#[test]
fn fillers_that_a_former_owner_throttled_work_at_full_speed_without_services() {
    let mut pool = Pool::new(1, queue_tail_ms);
    pool.submit(1, service("service-a", 2));
    pool.run_for(ms(1000));
    pool.submit(10, filler("harmful", 4));
    pool.run_for(ms(20_000));
    assert!(pool.throttled_fillers() > 0);
    pool.replace_owner();
    pool.end_service();
    pool.submit(10, filler("harmful", 4));
    pool.run_for(ms(3000));
    assert_eq!(pool.throttled_fillers(), 0);
}

/// Guards against fillers that stay throttled for good: an order without an answer was carried out after the later one that ended
/// the throttling.
#[test]
fn late_throttle_order_does_not_last() {
    let mut pool = Pool::new(1, queue_tail_ms);
    pool.late_throttle_count = 1;
    pool.submit(1, service("service-a", 2));
    pool.run_for(ms(1000));
    pool.submit(10, filler("harmful", 4));
    while pool.late_throttle_count > 0 {
        pool.run_for(ms(500));
    }
    pool.dispatcher.cancel_job(JobKey::new(1));
    pool.run_for(ms(1500));
    pool.end_service();
    pool.run_for(ms(2000));
    assert_eq!(pool.throttled_fillers(), 0);
    pool.run_for(ORDER_DELAY);
    assert!(pool.late_throttles.is_empty());
    assert!(pool.throttled_fillers() > 0, "the late order did nothing");
    pool.run_for(ms(20_000));
    assert_eq!(pool.throttled_fillers(), 0);
}
