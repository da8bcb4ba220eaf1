//! How fillers give way to a service that answers too slowly.

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

/// The least time between two looks at the same figures: they are of the last half second.
const LOOK_EVERY: Duration = Duration::from_millis(450);
/// The share of its target that a service's tail is to stay under.
const AIM: f64 = 0.9;
/// The share from which on it counts as too slow.
const OVER: f64 = 1.0;
/// How far ahead a service's load is looked at: until the next figures come and a pace is in force.
const AHEAD: Duration = Duration::from_millis(700);
/// The least share that a filler is slowed down to; it is better moved than slower.
const LEAST_PACE: f64 = 0.25;
/// The steps in which fillers are slowed, in hundredths: each change is a call.
const PACE_STEP: u32 = 25;
/// The effect on a service's load from which on a filler is known to be a cause.
const CAUSE: f64 = 0.02;
/// How long a service may be too slow until all fillers beside it leave, whatever was tried: figures are half a second
/// late, and a stop takes up to a second.
const PATIENCE: Duration = Duration::from_millis(1800);
/// How long after a service was too slow no more fillers come.
const CALM: Duration = Duration::from_millis(700);
/// How long after a filler came it is the first to be blamed.
const NEW: Duration = Duration::from_millis(2500);
/// Hundredths in a whole.
const WHOLE: f64 = 100.0;

/// A filler, what it runs, and its effect on a service's load.
type FillerEffect = ((TaskKey, RunNumber), Option<Arc<str>>, f64);

/// What a service's task says of itself, and what was known of its load.
struct ServedTail {
    task: TaskKey,
    run: RunNumber,
    image: Arc<str>,
    /// Its tail, as a share of its target.
    ratio: f64,
    load: Option<LoadTrack>,
}

/// For how long the services of a worker have been too slow.
#[derive(Debug, Default)]
pub(crate) struct ServiceWatch {
    over_since: Option<Duration>,
    last_over: Option<Duration>,
}

impl ServiceWatch {
    /// Tells whether a service was too slow just now, so that no more fillers should come.
    pub(crate) fn is_active(&self, now: Duration) -> bool {
        self.last_over.is_some_and(|at| now < at + CALM)
    }

    /// Takes note of whether a service is too slow; tells whether it was for too long.
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
    /// Learns from the figures of a worker's services and has its fillers give way, or go on.
    pub(crate) fn watch_services(&mut self, key: WorkerKey, now: Duration) {
        let learned = self.worker(key).learned;
        // The same figure again would teach nothing.
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

    fn learn_harm(&mut self, key: WorkerKey, now: Duration) {
        let fading = self.settings.switches.has(PolicyPart::FadingFigures);
        let company = self.worker_mut(key).company(now, fading);
        let worker = self.worker(key);
        // A figure that can't be is no figure: what it would teach stays for long.
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

    /// Slows the fillers that are known to raise a service's load above what it can bear, just as far as it
    /// takes; has them go on elsewhere where that would be too slow.
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

    /// Returns the service that bears least of its fillers, and at what share of their pace it bears them.
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

    /// Has the fillers that came last go on elsewhere while no cause is known, but those of which it is known that they
    /// do no harm: to move them helps nobody.
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

    /// Returns a worker's fillers with the believed effect of each on a service's load, at full pace.
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

    /// Tells fillers the share at which they are to work, where it has changed: the causes this one, the others
    /// all of it.
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

    /// Takes note that a change of pace may not be in force, so that it is sent again.
    pub fn pace_unsure(&mut self, worker: WorkerKey, task: TaskKey, run: RunNumber) {
        if let Some(state) = self.worker_mut(worker).runs.get_mut(&(task, run)) {
            state.pace = u32::MAX;
        }
    }
}

/// Returns a service's tail as a share of its target.
pub(crate) fn tail_ratio(run: &RunState) -> Option<f64> {
    let target = run.target?.as_millis().max(1) as f64;
    Some(run.figure? as f64 / target)
}

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
