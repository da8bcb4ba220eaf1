//! Throttling and eviction of fillers that slow a service down.

use std::{
    sync::Arc,
    time::Duration, //
};

use crate::{
    DecisionNote,
    Dispatcher,
    PolicyPart,
    RunNumber,
    TaskKey,
    WorkerKey,
    WorkerOrder,
    load_track::LoadTrack,
    run_state::RunState,
    worker_state::WorkerState, //
};

/// The minimum interval between two evaluations of a worker's metrics: they cover the last half
/// second.
const LOOK_EVERY: Duration = Duration::from_millis(450);
/// The ratio of tail latency to target that throttling aims for.
const AIM: f64 = 0.9;
/// The ratio of tail latency to target from which a service counts as too slow.
const OVER: f64 = 1.0;
/// The forecast horizon of a service's load: the time until the next metrics arrive and a new
/// throttle factor takes effect.
const AHEAD: Duration = Duration::from_millis(700);
/// The lowest throttle factor; below it a filler is evicted, since moving it costs less.
const LEAST_PACE: f64 = 0.25;
/// The granularity of throttle factors, in percent: each change costs a call.
const PACE_STEP: u32 = 25;
/// The effect on a service's load from which a filler counts as a cause of its slowness.
const CAUSE: f64 = 0.02;
/// The time for which a service may be too slow before all fillers beside it are evicted, whatever
/// else was done: metrics are half a second late, and a stop takes up to a second.
const PATIENCE: Duration = Duration::from_millis(1800);
/// The time after a service was too slow during which no more fillers are placed beside it.
const CALM: Duration = Duration::from_millis(700);
/// The time after its start during which a filler is suspected first.
const NEW: Duration = Duration::from_millis(2500);
/// The factor from a share to percent.
const WHOLE: f64 = 100.0;

/// A filler's run, its image, and its effect on a service's load.
type FillerEffect = ((TaskKey, RunNumber), Option<Arc<str>>, f64);

/// One tail latency sample of a service's task, with the previous estimate of its load.
struct ServedTail {
    task: TaskKey,
    run: RunNumber,
    image: Arc<str>,
    /// The tail latency divided by its target.
    ratio: f64,
    load: Option<LoadTrack>,
}

/// Tracks for how long the services of a worker have been too slow.
#[derive(Debug, Default)]
pub(crate) struct ServiceWatch {
    over_since: Option<Duration>,
    last_over: Option<Duration>,
}

impl ServiceWatch {
    /// Returns whether a service was too slow a moment ago, so that no more fillers should be
    /// placed.
    pub(crate) fn is_active(&self, now: Duration) -> bool {
        self.last_over.is_some_and(|at| now < at + CALM)
    }

    /// Records whether a service is too slow; returns whether it has been for too long.
    fn note(&mut self, over: bool, now: Duration) -> bool {
        if !over {
            self.over_since = None;
            return false;
        }
        self.last_over = Some(now);
        let since = *self.over_since.get_or_insert(now);
        now >= since + PATIENCE
    }
}

impl Dispatcher {
    /// Learns from the metrics of a worker's services, then throttles or evicts its fillers as
    /// needed.
    pub(crate) fn watch_services(&mut self, key: WorkerKey, now: Duration) {
        let learned = self.worker(key).learned;
        // The same metrics a second time carry no information.
        if learned.is_some_and(|at| now < at + LOOK_EVERY) {
            return;
        }
        self.worker_mut(key).learned = Some(now);
        if !self.worker(key).serves() {
            self.set_paces(key, &[], 100);
            return;
        }
        self.learn_harm(key, now);
        let worst = worst_service(self.worker(key));
        let over = worst.is_some_and(|(_, tail)| tail >= OVER);
        let too_long = self.worker_mut(key).watch.note(over, now);
        if too_long {
            for (task, run) in fillers(self.worker(key)) {
                self.stop_run(key, task, run);
            }
            return;
        }
        self.slow_causes(key, now);
        if over {
            self.blame_newcomers(key, now);
        }
    }

    /// Updates the load estimates and the interference model from the tail latencies of a worker's
    /// services.
    fn learn_harm(&mut self, key: WorkerKey, now: Duration) {
        let fading = self.settings.switches.has(PolicyPart::FadingFigures);
        let company = self.worker_mut(key).company(now, fading);
        let worker = self.worker(key);
        // An impossible CPU usage is discarded: what it teaches would stay for long.
        if company.iter().any(|filler| filler.share > 1.0) {
            return;
        }
        let switches = self.settings.switches;
        let seen: Vec<ServedTail> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.percent >= 100 && run.figure != Some(0))
            .filter_map(|(&(task, run), state)| {
                Some(ServedTail {
                    task,
                    run,
                    image: state.image.clone()?,
                    ratio: tail_ratio(state)?,
                    load: state.load,
                })
            })
            .collect();
        for tail in seen {
            let ServedTail {
                task,
                run,
                image,
                ratio,
                load: own,
            } = tail;
            let load = self.harm.load(&image, ratio);
            let step = task.step;
            let Some(state) = self
                .jobs
                .get_mut(&step.job)
                .and_then(|job| job.step_mut(step.occurrence, step.step))
            else {
                continue;
            };
            let shared = switches.has(PolicyPart::StepLoads);
            let known = if shared { state.load } else { own };
            let mut track = known.unwrap_or_else(|| LoadTrack::new(now));
            track.advance(now);
            if switches.has(PolicyPart::LearnedPairs) {
                self.harm.learn(&image, &company, &mut track, load);
            }
            state.load = Some(track);
            if let Some(held) = self.workers[key.place()].runs.get_mut(&(task, run)) {
                held.load = Some(track);
            }
        }
        self.workers[key.place()].weigh_services(now);
    }

    /// Throttles the fillers that are known to raise a service's load above its limit, no further
    /// than needed; evicts them if the necessary throttle factor is too low.
    fn slow_causes(&mut self, key: WorkerKey, now: Duration) {
        let Some((service, share)) = self.tightest_service(key, now) else {
            self.set_paces(key, &[], 100);
            return;
        };
        let image = self.image_of(key, service);
        let effects = self.effects(self.worker(key), image.as_ref());
        let causes: Vec<(TaskKey, RunNumber)> = effects
            .iter()
            .filter(|(_, _, effect)| *effect >= CAUSE)
            .map(|&(id, ..)| id)
            .collect();
        if share >= LEAST_PACE && self.settings.switches.has(PolicyPart::Pacing) {
            // CAST: A share between 0 and 1.
            let pace = (share * WHOLE) as u32 / PACE_STEP * PACE_STEP;
            self.set_paces(key, &causes, pace.clamp(PACE_STEP, 100));
            return;
        }
        for &(task, run) in &causes {
            self.stop_run(key, task, run);
        }
        self.note_give_way(key, service, effects, causes.len(), now);
    }

    /// Returns the service that requires the strongest throttling of its fillers, with the throttle
    /// factor that it tolerates.
    fn tightest_service(
        &self,
        key: WorkerKey,
        now: Duration,
    ) -> Option<((TaskKey, RunNumber), f64)> {
        let worker = self.worker(key);
        let shares = worker.runs.iter().filter_map(|(&id, run)| {
            let image = run.target.and(run.image.as_ref())?;
            let expected = run.load?.expected(now, AHEAD);
            let effects = self.effects(worker, Some(image));
            let added: f64 = effects.iter().map(|(_, _, effect)| effect).sum();
            let left = self.harm.limit(image, AIM) - expected;
            (added > CAUSE && left < added).then(|| (id, left.max(0.0) / added))
        });
        shares.min_by(|(_, left), (_, right)| left.total_cmp(right))
    }

    /// Evicts the newest fillers while no cause is known, except those known to be harmless:
    /// evicting them would not help.
    fn blame_newcomers(&mut self, key: WorkerKey, now: Duration) {
        let worker = self.worker(key);
        let Some((service, _)) = worst_service(worker) else {
            return;
        };
        let image = self.image_of(key, service);
        let effects = self.effects(worker, image.as_ref());
        if effects.iter().any(|(_, _, effect)| *effect >= CAUSE) {
            return;
        }
        let spares = self.settings.switches.has(PolicyPart::HarmlessStay);
        let unknown = |run: &RunState| match (&image, &run.image) {
            (Some(service), Some(filler)) => !spares || !self.harm.knows(service, filler),
            _ => true,
        };
        let newcomers: Vec<(TaskKey, RunNumber)> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.is_filler() && !run.is_stopping())
            .filter(|(_, run)| unknown(run))
            .filter(|(_, run)| now < run.placed + NEW)
            .map(|(&id, _)| id)
            .collect();
        for &(task, run) in &newcomers {
            self.stop_run(key, task, run);
        }
        self.note_give_way(key, service, effects, newcomers.len(), now);
    }

    /// Logs that fillers were evicted for the sake of a service.
    fn note_give_way(
        &mut self,
        key: WorkerKey,
        service: (TaskKey, RunNumber),
        effects: Vec<FillerEffect>,
        moved: usize,
        now: Duration,
    ) {
        let run = self.worker(key).runs.get(&service);
        // CAST: It saturates.
        let tail = run
            .and_then(tail_ratio)
            .map_or(0, |ratio| (ratio * WHOLE) as u64);
        let expected = run
            .and_then(|run| run.load)
            .map_or(0.0, |load| load.expected(now, AHEAD));
        self.notes.push(DecisionNote {
            at: now,
            worker: key,
            service: service.0,
            image: self.image_of(key, service),
            tail_percent: tail,
            expected_load: expected,
            fillers: effects
                .into_iter()
                .map(|((task, _), image, effect)| (task, image, effect))
                .collect(),
            moved,
        });
    }

    fn image_of(&self, key: WorkerKey, run: (TaskKey, RunNumber)) -> Option<Arc<str>> {
        self.worker(key).runs.get(&run)?.image.clone()
    }

    /// Returns a worker's fillers with the estimated effect of each on a service's load,
    /// unthrottled.
    fn effects(&self, worker: &WorkerState, service: Option<&Arc<str>>) -> Vec<FillerEffect> {
        let capacity = worker.record.capacity.cpu_millis.max(1) as f64;
        let fillers = worker.runs.iter();
        fillers
            .filter(|(_, run)| run.is_filler() && !run.is_stopping())
            .map(|(&id, run)| {
                let share = run.filler_cpu as f64 / capacity;
                let effect = match (service, &run.image) {
                    (Some(service), Some(image)) => self.harm.effect(service, image, share),
                    _ => 0.0,
                };
                (id, run.image.clone(), effect)
            })
            .collect()
    }

    /// Orders throttle factors for a worker's fillers where they change: `pace` percent for the
    /// causes, 100 percent for the others.
    fn set_paces(&mut self, key: WorkerKey, causes: &[(TaskKey, RunNumber)], pace: u32) {
        let mut changed = Vec::new();
        for (&(task, run), state) in &mut self.worker_mut(key).runs {
            if !state.is_filler() || !state.is_confirmed() {
                continue;
            }
            let wanted = if causes.contains(&(task, run)) {
                pace
            } else {
                100
            };
            if state.pace != wanted {
                state.pace = wanted;
                changed.push((task, run, wanted));
            }
        }
        for (task, run, percent) in changed {
            self.decided.push(WorkerOrder::Pace {
                worker: key,
                task,
                run,
                percent,
            });
        }
    }

    /// Records that a throttle order may not be in effect, so that it is sent again.
    pub fn pace_unsure(&mut self, worker: WorkerKey, task: TaskKey, run: RunNumber) {
        if let Some(state) = self.worker_mut(worker).runs.get_mut(&(task, run)) {
            state.pace = u32::MAX;
        }
    }
}

/// Returns a run's tail latency divided by its target.
pub(crate) fn tail_ratio(run: &RunState) -> Option<f64> {
    let target = run.target?.as_millis().max(1) as f64;
    Some(run.figure? as f64 / target)
}

/// Returns the service run with the highest ratio of tail latency to target.
fn worst_service(worker: &WorkerState) -> Option<((TaskKey, RunNumber), f64)> {
    let tails = worker.runs.iter();
    tails
        .filter_map(|(&id, run)| Some((id, tail_ratio(run)?)))
        .max_by(|(_, left), (_, right)| left.total_cmp(right))
}

fn fillers(worker: &WorkerState) -> Vec<(TaskKey, RunNumber)> {
    let fillers = worker.runs.iter().filter(|(_, run)| run.is_filler());
    fillers.map(|(&id, _)| id).collect()
}
