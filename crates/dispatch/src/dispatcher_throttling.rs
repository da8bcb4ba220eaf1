//! Throttling and eviction of fillers that slow a service down.

use std::{
    sync::Arc,
    time::Duration, //
};

use crate::{
    Dispatcher,
    FillerEviction,
    OrderOutcome,
    PolicyPart,
    RunNumber,
    TaskKey,
    WorkerKey,
    WorkerOrder,
    load_estimate::LoadEstimate,
    run_state::RunState,
    worker_state::{
        METRICS_WINDOW,
        WorkerState, //
    }, //
};

/// The minimum interval between two evaluations of a worker's metrics: they cover the last half
/// second.
const MIN_EVALUATION_INTERVAL: Duration = Duration::from_millis(450);
/// The ratio of tail latency to target that throttling aims for.
const TAIL_RATIO_GOAL: f64 = 0.9;
/// The ratio of tail latency to target from which a service counts as too slow.
const TAIL_RATIO_LIMIT: f64 = 1.0;
/// The forecast horizon of a service's load: the time until the next metrics arrive and a new
/// throttle factor takes effect.
const LOAD_FORECAST_HORIZON: Duration = Duration::from_millis(700);
/// The lowest throttle factor: instead of throttling it further, a filler is better evicted and run
/// elsewhere.
const MIN_THROTTLE_FACTOR: f64 = 0.25;
/// The granularity of throttle factors, in percent: each change costs a call.
const THROTTLE_STEP_PERCENT: u32 = 25;
/// The effect on a service's load from which a filler counts as a cause of its slowness.
const MIN_CAUSE_EFFECT: f64 = 0.02;
/// The time for which a service may be too slow beside fillers before these are all evicted, whatever
/// else was done: metrics are half a second late, and a stop takes up to a second.
const MAX_VIOLATION_DURATION: Duration = Duration::from_millis(1800);
/// The time after a service was too slow during which no more fillers are placed beside it.
const FILLER_BACKOFF: Duration = Duration::from_millis(700);
/// The time after its start during which a filler is suspected first.
const NEWCOMER_PERIOD: Duration = Duration::from_millis(2500);
/// The time after an order without an answer within which it is carried out, as far as is known.
const LATE_CALL_WINDOW: Duration = Duration::from_secs(15);
/// The factor from a share to percent.
const PERCENT_PER_UNIT: f64 = 100.0;

/// A filler's run, its image, and its effect on a service's load.
type FillerRunEffect = ((TaskKey, RunNumber), Option<Arc<str>>, f64);

/// One tail latency sample of a service's task, with the previous estimate of its load.
struct TailSample {
    task: TaskKey,
    run: RunNumber,
    image: Arc<str>,
    /// The tail latency divided by its target.
    ratio: f64,
    /// The load estimate of the run before this sample.
    load: Option<LoadEstimate>,
}

/// Tracks for how long the services of a worker have been too slow, and whether its fillers can be
/// the cause.
#[derive(Debug, Default)]
pub(crate) struct TargetViolationTracker {
    /// Since when a service has been too slow beside fillers without interruption; `None` while all
    /// meet their targets or no filler runs.
    violated_since: Option<Duration>,
    /// When a service was last seen to be too slow.
    last_violation: Option<Duration>,
    /// Since when no filler has been on the worker; `None` while one is.
    unfilled_since: Option<Duration>,
    /// Whether a service has been too slow, without interruption, since before the present fillers
    /// came.
    is_inherent: bool,
}

impl TargetViolationTracker {
    /// Returns whether a service was too slow a moment ago, so that no more fillers should be
    /// placed.
    pub(crate) fn has_recent_violation(&self, now: Duration) -> bool {
        self.last_violation
            .is_some_and(|at| now < at + FILLER_BACKOFF)
    }

    /// Returns whether a service was too slow without any filler when last seen.
    pub(crate) fn is_slow_without_fillers(&self) -> bool {
        self.is_inherent && self.unfilled_since.is_some()
    }

    /// Returns whether the fillers that came last can have made a service too slow.
    fn may_blame_newcomers(&self) -> bool {
        !self.is_inherent && self.unfilled_since.is_none()
    }

    /// Records whether fillers are on the worker.
    fn record_fillers(&mut self, has_fillers: bool, now: Duration) {
        match has_fillers {
            true => self.unfilled_since = None,
            false => {
                self.unfilled_since.get_or_insert(now);
            }
        }
    }

    /// Records whether a service is too slow; returns whether it has been beside fillers for too
    /// long.
    fn record(&mut self, over: bool, now: Duration) -> bool {
        let was_inherent = self.is_inherent;
        self.is_inherent = over
            && self
                .unfilled_since
                .map_or(was_inherent, |since| now >= since + METRICS_WINDOW);
        if over {
            self.last_violation = Some(now);
        }
        if !over || self.unfilled_since.is_some() {
            self.violated_since = None;
            return false;
        }
        let since = *self.violated_since.get_or_insert(now);
        now >= since + MAX_VIOLATION_DURATION
    }
}

impl Dispatcher {
    /// Learns from the metrics of a worker's services, then throttles or evicts its fillers as
    /// needed.
    pub(crate) fn protect_services(&mut self, key: WorkerKey, now: Duration) {
        let learned = self.worker(key).last_learned_at;
        // The same metrics a second time carry no information.
        if learned.is_some_and(|at| now < at + MIN_EVALUATION_INTERVAL) {
            return;
        }
        self.worker_mut(key).last_learned_at = Some(now);
        let has_fillers = self.worker(key).has_fillers();
        self.worker_mut(key)
            .violations
            .record_fillers(has_fillers, now);
        if !self.worker(key).has_services() {
            self.set_throttle_factors(key, &[], 100, now);
            return;
        }
        self.learn_interference(key, now);
        let worst = slowest_service(self.worker(key));
        let over = worst.is_some_and(|(_, tail)| tail >= TAIL_RATIO_LIMIT);
        let too_long = self.worker_mut(key).violations.record(over, now);
        if too_long {
            for (task, run) in filler_runs(self.worker(key)) {
                self.stop_run(key, task, run);
            }
            return;
        }
        self.throttle_causes(key, now);
        if over && self.worker(key).violations.may_blame_newcomers() {
            self.evict_newcomers(key, now);
        }
    }

    /// Updates the load estimates and the interference model from the tail latencies of a worker's
    /// services.
    fn learn_interference(&mut self, key: WorkerKey, now: Duration) {
        let fading = self.settings.switches.has(PolicyPart::FadingMetrics);
        let fillers_present = self.worker_mut(key).visible_fillers(now, fading);
        let worker = self.worker(key);
        // Nothing is learned beside an impossible CPU usage: a wrong effect would stay in the model
        // for long.
        if fillers_present.iter().any(|filler| filler.share > 1.0) {
            return;
        }
        let switches = self.settings.switches;
        let seen: Vec<TailSample> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.percent >= 100 && run.metric != Some(0))
            .filter_map(|(&(task, run), state)| {
                Some(TailSample {
                    task,
                    run,
                    image: state.image.clone()?,
                    ratio: tail_to_target(state)?,
                    load: state.load,
                })
            })
            .collect();
        for tail in seen {
            let TailSample {
                task,
                run,
                image,
                ratio,
                load: own,
            } = tail;
            let load = self.interference.observe_tail(&image, ratio);
            let step = task.step;
            let Some(state) = self
                .jobs
                .get_mut(&step.job)
                .and_then(|job| job.step_mut(step.occurrence, step.step))
            else {
                continue;
            };
            let shared = switches.has(PolicyPart::SharedStepLoad);
            let previous = if shared { state.load } else { own };
            let mut estimate = previous.unwrap_or_else(|| LoadEstimate::new(now));
            estimate.advance(now);
            if switches.has(PolicyPart::LearnedInterference) {
                self.interference
                    .observe_load(&image, &fillers_present, &mut estimate, load);
            }
            state.load = Some(estimate);
            if let Some(held) = self.workers[key.index()].runs.get_mut(&(task, run)) {
                held.load = Some(estimate);
            }
        }
        self.workers[key.index()].update_service_use(now);
    }

    /// Throttles the fillers that are known to raise a service's load above its limit, no further
    /// than needed; evicts them if the necessary throttle factor is too low.
    fn throttle_causes(&mut self, key: WorkerKey, now: Duration) {
        let Some((service, share)) = self.most_constrained_service(key, now) else {
            self.set_throttle_factors(key, &[], 100, now);
            return;
        };
        let image = self.run_image(key, service);
        let effects = self.filler_effects(self.worker(key), image.as_ref());
        let causes: Vec<(TaskKey, RunNumber)> = effects
            .iter()
            .filter(|(_, _, effect)| *effect >= MIN_CAUSE_EFFECT)
            .map(|&(id, ..)| id)
            .collect();
        if share >= MIN_THROTTLE_FACTOR && self.settings.switches.has(PolicyPart::Throttling) {
            // CAST: A share between 0 and 1.
            let percent =
                (share * PERCENT_PER_UNIT) as u32 / THROTTLE_STEP_PERCENT * THROTTLE_STEP_PERCENT;
            let percent = percent.clamp(THROTTLE_STEP_PERCENT, 100);
            self.set_throttle_factors(key, &causes, percent, now);
            return;
        }
        for &(task, run) in &causes {
            self.stop_run(key, task, run);
        }
        self.log_eviction(key, service, effects, causes.len(), now);
    }

    /// Returns the service that requires the strongest throttling of its fillers, with the throttle
    /// factor that it tolerates.
    fn most_constrained_service(
        &self,
        key: WorkerKey,
        now: Duration,
    ) -> Option<((TaskKey, RunNumber), f64)> {
        let worker = self.worker(key);
        let shares = worker.runs.iter().filter_map(|(&id, run)| {
            let image = run.target.and(run.image.as_ref())?;
            let expected = run.load?.forecast(now, LOAD_FORECAST_HORIZON);
            let effects = self.filler_effects(worker, Some(image));
            let added: f64 = effects.iter().map(|(_, _, effect)| effect).sum();
            let left = self.interference.load_limit(image, TAIL_RATIO_GOAL) - expected;
            (added > MIN_CAUSE_EFFECT && left < added).then(|| (id, left.max(0.0) / added))
        });
        shares.min_by(|(_, left), (_, right)| left.total_cmp(right))
    }

    /// Evicts the newest fillers while no cause is known, except those known to be harmless:
    /// evicting them would not help.
    fn evict_newcomers(&mut self, key: WorkerKey, now: Duration) {
        let worker = self.worker(key);
        let Some((service, _)) = slowest_service(worker) else {
            return;
        };
        let image = self.run_image(key, service);
        let effects = self.filler_effects(worker, image.as_ref());
        if effects
            .iter()
            .any(|(_, _, effect)| *effect >= MIN_CAUSE_EFFECT)
        {
            return;
        }
        let keeps_harmless = self.settings.switches.has(PolicyPart::KeepHarmlessFillers);
        let unknown = |run: &RunState| match (&image, &run.image) {
            (Some(service), Some(filler)) => {
                !keeps_harmless || !self.interference.is_known(service, filler)
            }
            _ => true,
        };
        let newcomers: Vec<(TaskKey, RunNumber)> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.is_filler() && !run.is_stopping())
            .filter(|(_, run)| unknown(run))
            .filter(|(_, run)| now < run.placed_at + NEWCOMER_PERIOD)
            .map(|(&id, _)| id)
            .collect();
        for &(task, run) in &newcomers {
            self.stop_run(key, task, run);
        }
        self.log_eviction(key, service, effects, newcomers.len(), now);
    }

    /// Logs the decision to evict fillers for the sake of a service; `evicted_count` may be 0.
    fn log_eviction(
        &mut self,
        key: WorkerKey,
        service: (TaskKey, RunNumber),
        effects: Vec<FillerRunEffect>,
        evicted_count: usize,
        now: Duration,
    ) {
        let run = self.worker(key).runs.get(&service);
        // CAST: The conversion saturates.
        let tail = run
            .and_then(tail_to_target)
            .map_or(0, |ratio| (ratio * PERCENT_PER_UNIT) as u64);
        let expected = run
            .and_then(|run| run.load)
            .map_or(0.0, |load| load.forecast(now, LOAD_FORECAST_HORIZON));
        self.pending_evictions.push(FillerEviction {
            evicted_at: now,
            worker: key,
            service: service.0,
            image: self.run_image(key, service),
            tail_percent: tail,
            expected_load: expected,
            fillers: effects
                .into_iter()
                .map(|((task, _), image, effect)| (task, image, effect))
                .collect(),
            evicted_count,
        });
    }

    fn run_image(&self, key: WorkerKey, run: (TaskKey, RunNumber)) -> Option<Arc<str>> {
        self.worker(key).runs.get(&run)?.image.clone()
    }

    /// Returns a worker's fillers with the estimated effect of each on a service's load,
    /// unthrottled.
    fn filler_effects(
        &self,
        worker: &WorkerState,
        service: Option<&Arc<str>>,
    ) -> Vec<FillerRunEffect> {
        let capacity = worker.record.capacity.cpu_millis.max(1) as f64;
        let fillers = worker.runs.iter();
        fillers
            .filter(|(_, run)| run.is_filler() && !run.is_stopping())
            .map(|(&id, run)| {
                let share = run.filler_cpu as f64 / capacity;
                let effect = match (service, &run.image) {
                    (Some(service), Some(image)) => self.interference.effect(service, image, share),
                    _ => 0.0,
                };
                (id, run.image.clone(), effect)
            })
            .collect()
    }

    /// Orders throttle factors for a worker's fillers where they change: `percent` for the
    /// causes, 100 percent for the others.
    fn set_throttle_factors(
        &mut self,
        key: WorkerKey,
        causes: &[(TaskKey, RunNumber)],
        percent: u32,
        now: Duration,
    ) {
        let mut changed = Vec::new();
        for (&(task, run), state) in &mut self.worker_mut(key).runs {
            if !state.is_filler() || !state.is_confirmed() {
                continue;
            }
            if state
                .throttle_uncertain_until
                .is_some_and(|until| now >= until)
            {
                state.throttle_uncertain_until = None;
                state.throttle_percent = u32::MAX;
            }
            let target_percent = if causes.contains(&(task, run)) {
                percent
            } else {
                100
            };
            if state.throttle_percent != target_percent {
                state.throttle_percent = target_percent;
                changed.push((task, run, target_percent));
            }
        }
        for (task, run, percent) in changed {
            self.pending_orders.push(WorkerOrder::Throttle {
                worker: key,
                task,
                run,
                percent,
            });
        }
    }

    /// Records the outcome of a throttle order. One that may not be in effect is sent again, and once more when one without an
    /// answer can no longer take effect after that.
    pub fn handle_throttle_outcome(
        &mut self,
        worker: WorkerKey,
        task: TaskKey,
        run: RunNumber,
        outcome: OrderOutcome,
        now: Duration,
    ) {
        let Some(state) = self.worker_mut(worker).runs.get_mut(&(task, run)) else {
            return;
        };
        if outcome == OrderOutcome::Taken {
            return;
        }
        state.throttle_percent = u32::MAX;
        if outcome == OrderOutcome::Unknown {
            state.throttle_uncertain_until = Some(now + LATE_CALL_WINDOW);
        }
    }
}

/// Returns a run's tail latency divided by its target.
pub(crate) fn tail_to_target(run: &RunState) -> Option<f64> {
    let target = run.target?.as_millis().max(1) as f64;
    Some(run.metric? as f64 / target)
}

/// Returns the service run with the highest ratio of tail latency to target.
fn slowest_service(worker: &WorkerState) -> Option<((TaskKey, RunNumber), f64)> {
    let tails = worker.runs.iter();
    tails
        .filter_map(|(&id, run)| Some((id, tail_to_target(run)?)))
        .max_by(|(_, left), (_, right)| left.total_cmp(right))
}

fn filler_runs(worker: &WorkerState) -> Vec<(TaskKey, RunNumber)> {
    let fillers = worker.runs.iter().filter(|(_, run)| run.is_filler());
    fillers.map(|(&id, _)| id).collect()
}
