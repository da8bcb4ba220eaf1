//! Scoring of workers as places for a task.

use std::{
    sync::Arc,
    time::Duration, //
};

use crate::{
    PolicyPart,
    PolicySwitches,
    StepSpec,
    interference_model::InterferenceModel,
    service_snapshot::FillerProfile,
    worker_state::{
        WorkerState,
        signed, //
    }, //
};

/// The share of its declared CPU that a filler must find idle, in percent. Fillers share the idle
/// CPU, so one more on a busy worker only slows the others down.
const MIN_FILLER_IDLE_PERCENT: i64 = 60;
/// The largest increase in the services' expected overshoot, in multiples of the forecast scale,
/// that a filler may cause. A service above its target costs its users more than a filler's wait
/// does.
const MAX_ADDED_OVERSHOOT: f64 = 0.3;
/// The minimum time between another filler's start and that of a starved filler on the same worker.
const MIN_STARVED_FILLER_GAP: Duration = Duration::from_millis(400);
/// The resolution at which risks and effects on a load are compared.
const EFFECT_RESOLUTION: f64 = 0.05;
/// The number of levels in which a worker's openness is expressed.
const OPENNESS_LEVELS: i64 = 10;

/// Reason for which a worker with free capacity is rejected for a filler.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PlacementRejection {
    /// The runs there are estimated to use its CPU.
    Busy,
    /// A service there was too slow a moment ago.
    Shielded,
    /// The effect of another, recently placed filler is not visible yet.
    Learning,
    /// A service there would be slowed down too much.
    Harm,
}

/// Score of a worker as a place for a task; greater is better. The fields are compared in their
/// order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct PlacementScore {
    /// The negated number of runs that a suspected task would endanger; 0 for any other task.
    few_endangered_runs: i64,
    /// Whether no task failed on the worker recently and this task's last failure was elsewhere.
    is_trusted: bool,
    /// Whether the worker is on the rack of the task's data or, for rack-sensitive steps, of the
    /// step's other tasks.
    is_near: bool,
    /// Whether nothing began on the worker recently, for tasks whose workers have crashed.
    is_apart: bool,
    /// The negated interference between fillers and services that the placement causes.
    low_interference: i64,
    /// The negated number of other service images on the worker: services of one image are kept
    /// together, so that fillers that interfere with them find places elsewhere.
    image_affinity: i64,
    /// The negated openness of the worker: open places are left to fillers that find few.
    spared_openness: i64,
    /// How well the task fits the free CPU, in millicores.
    fit: i64,
}

/// A task's step and the context in which workers are scored for it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlacementContext<'a> {
    pub(crate) spec: &'a StepSpec,
    /// The rack of the step's first placed task.
    pub(crate) step_rack: Option<&'a Arc<str>>,
    pub(crate) interference: &'a InterferenceModel,
    /// The filler's effects on services; empty for other tasks.
    pub(crate) profile: &'a FillerProfile,
    /// Whether the filler has waited for so long that it accepts the least harmful worker.
    pub(crate) is_starving: bool,
    /// Whether the task may crash its worker.
    pub(crate) is_suspect: bool,
    /// Whether a worker has crashed under the task, so that it should start apart from others.
    pub(crate) prefers_isolation: bool,
    pub(crate) switches: PolicySwitches,
    pub(crate) now: Duration,
}

impl PlacementScore {
    /// Scores a worker that has enough free capacity.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the task should rather wait than run there.
    pub(crate) fn new(
        worker: &WorkerState,
        context: PlacementContext<'_>,
        is_trusted: bool,
    ) -> Result<Self, PlacementRejection> {
        let spec = context.spec;
        let rack = worker.record.rack();
        let preferred_rack = match (&spec.data_rack, spec.rack_sensitive) {
            (Some(data), _) => Some(data),
            (None, true) => context.step_rack,
            (None, false) => None,
        };
        let is_near = preferred_rack.is_none_or(|preferred_rack| rack == Some(preferred_rack));
        let (low_interference, fit) = match (spec.filler, spec.tail_target.is_some()) {
            (true, _) => filler_fit(worker, context)?,
            (false, true) => service_fit(worker, spec, context.interference),
            (false, false) => (0, -leftover(worker, spec)),
        };
        let switches = context.switches;
        let spared_openness = match spec.filler && switches.has(PolicyPart::OpenWorkersLast) {
            true => -openness(worker, spec),
            false => 0,
        };
        let image_affinity = match spec.tail_target {
            Some(_) if switches.has(PolicyPart::ServicesTogether) => {
                -other_service_images(worker, spec)
            }
            _ => 0,
        };
        Ok(Self {
            few_endangered_runs: if context.is_suspect {
                -endangered_runs(worker)
            } else {
                0
            },
            is_trusted,
            is_near,
            is_apart: !context.prefers_isolation || !worker.has_recent_start(context.now),
            low_interference,
            image_affinity,
            spared_openness,
            fit,
        })
    }
}

/// Returns the interference and fit components for a filler: it should slow services least, then
/// find the most idle CPU.
fn filler_fit(
    worker: &WorkerState,
    context: PlacementContext<'_>,
) -> Result<(i64, i64), PlacementRejection> {
    let declared_cpu = signed(context.spec.size.cpu_millis);
    let idle = worker.idle_cpu();
    if idle * 100 < declared_cpu * MIN_FILLER_IDLE_PERCENT {
        return Err(PlacementRejection::Busy);
    }
    if is_shielded(worker, context) {
        return Err(PlacementRejection::Shielded);
    }
    // Fillers of unknown effect are placed one at a time; the effect is visible within a second. The
    // members of a gang can't be.
    let is_starving_gang = context.is_starving && context.spec.gang;
    let singly = context.switches.has(PolicyPart::UnknownFillersSingly)
        && context.spec.image.is_some()
        && !is_starving_gang;
    if singly
        && worker
            .service_snapshot
            .awaits_filler_effect(context.profile, context.now)
    {
        return Err(PlacementRejection::Learning);
    }
    let share = context.spec.size.cpu_millis as f64 / worker.cpu_capacity_millis();
    let risk = worker.service_snapshot.risk(context.profile, share);
    if risk > MAX_ADDED_OVERSHOOT && !context.is_starving {
        return Err(PlacementRejection::Harm);
    }
    if context.is_starving
        && !is_starving_gang
        && worker
            .service_snapshot
            .has_recent_filler(MIN_STARVED_FILLER_GAP, context.now)
    {
        return Err(PlacementRejection::Learning);
    }
    let low_interference = match context.switches.has(PolicyPart::PlacementByRisk) {
        true => -quantized(risk),
        false => 0,
    };
    Ok((low_interference, idle - declared_cpu))
}

/// Returns whether a service that was too slow a moment ago keeps a filler away. One starved filler,
/// or gang, at a time may run beside services that are too slow by themselves.
fn is_shielded(worker: &WorkerState, context: PlacementContext<'_>) -> bool {
    let is_occupied = worker.has_fillers() && !context.spec.gang;
    let is_open = context.is_starving && worker.is_slow_without_fillers() && !is_occupied;
    worker.has_recent_violation(context.now) && !is_open
}

/// Returns, in tenths, the share of filler images that can run beside the worker's services. Images
/// that are harmful elsewhere should get the places that are open to all. A place that would slow
/// the filler comes last.
fn openness(worker: &WorkerState, spec: &StepSpec) -> i64 {
    if worker.idle_cpu() < signed(spec.size.cpu_millis) {
        return OPENNESS_LEVELS + 1;
    }
    // CAST: At most ten.
    (worker.service_snapshot.harmless_share * OPENNESS_LEVELS as f64) as i64
}

/// Returns how many runs would be lost with a worker; services count most.
fn endangered_runs(worker: &WorkerState) -> i64 {
    const SERVICE_WEIGHT: i64 = 100;
    let weights = worker.runs.values().map(|run| match run.target {
        Some(_) => SERVICE_WEIGHT,
        None => 1,
    });
    weights.sum()
}

/// Returns the interference and fit components for a service's task: it should be slowed least by
/// fillers, then leave the least CPU free.
fn service_fit(
    worker: &WorkerState,
    spec: &StepSpec,
    interference: &InterferenceModel,
) -> (i64, i64) {
    let image = spec.image.as_ref();
    let added = image.map_or(0.0, |service| worker.fillers_effect(service, interference));
    (-quantized(added), -leftover(worker, spec))
}

/// Returns the number of service images on a worker other than the step's own.
fn other_service_images(worker: &WorkerState, spec: &StepSpec) -> i64 {
    let mut images: Vec<&Arc<str>> = Vec::new();
    for run in worker.runs.values().filter(|run| run.target.is_some()) {
        if let Some(image) = &run.image
            && spec.image.as_ref() != Some(image)
            && !images.contains(&image)
        {
            images.push(image);
        }
    }
    signed(images.len() as u64)
}

/// Returns the CPU that stays free beside the task, in millicores; negative if it does not fit.
fn leftover(worker: &WorkerState, spec: &StepSpec) -> i64 {
    signed(worker.free_capacity().cpu_millis) - signed(spec.size.cpu_millis)
}

/// Rounds an effect to the comparison resolution, so that negligible differences do not decide.
fn quantized(effect: f64) -> i64 {
    // CAST: The conversion saturates.
    (effect / EFFECT_RESOLUTION) as i64
}
