//! Scoring of workers as places for a task.

use std::{
    sync::Arc,
    time::Duration, //
};

use crate::{
    PolicyPart,
    PolicySwitches,
    StepSpec,
    harm_model::HarmModel,
    service_view::FillerProfile,
    worker_state::{
        WorkerState,
        signed, //
    }, //
};

/// The share of its declared CPU that a filler must find idle, in percent. Fillers share the idle
/// CPU, so one more on a busy worker only slows the others down.
const FILLER_ROOM_HUNDREDTHS: i64 = 60;
/// The largest increase in the services' expected overshoot, in multiples of the forecast scale,
/// that a filler may cause. A service above its target costs its users more than a filler's wait
/// does.
const MOST_RISK: f64 = 0.3;
/// The minimum time between another filler's start and that of a starved filler on the same worker.
const STARVED_GAP: Duration = Duration::from_millis(400);
/// The resolution at which risks and effects on a load are compared.
const EFFECT_STEP: f64 = 0.05;
/// The number of levels in which a worker's openness is expressed.
const TENTHS: i64 = 10;

/// Reason for which a worker with free capacity is rejected for a filler.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PlaceRefusal {
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
pub(crate) struct PlaceScore {
    /// Whether no task failed on the worker recently and this task's last failure was elsewhere.
    trusted: bool,
    /// Whether the worker is on the rack of the task's data or, for rack-sensitive steps, of the
    /// step's other tasks.
    near: bool,
    /// The negated interference between fillers and services that the placement causes.
    calm: i64,
    /// The negated number of other service images on the worker: services of one image are kept
    /// together, so that fillers that interfere with them find places elsewhere.
    kin: i64,
    /// The negated openness of the worker: open places are left to fillers that find few.
    thrift: i64,
    /// How well the task fits the free CPU, in millicores.
    fit: i64,
}

/// A task's step and the context in which workers are scored for it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlaceSeeker<'a> {
    pub(crate) spec: &'a StepSpec,
    /// The rack of the step's first placed task.
    pub(crate) step_rack: Option<&'a Arc<str>>,
    pub(crate) harm: &'a HarmModel,
    /// The filler's effects on services; empty for other tasks.
    pub(crate) profile: &'a FillerProfile,
    /// Whether the filler has waited for so long that it accepts the least harmful worker.
    pub(crate) starves: bool,
    pub(crate) switches: PolicySwitches,
    pub(crate) now: Duration,
}

impl PlaceScore {
    /// Scores a worker that has enough free capacity.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the task should rather wait than run there.
    pub(crate) fn new(
        worker: &WorkerState,
        seeker: PlaceSeeker<'_>,
        trusted: bool,
    ) -> Result<Self, PlaceRefusal> {
        let spec = seeker.spec;
        let rack = worker.record.rack();
        let wanted = match (&spec.data_rack, spec.rack_sensitive) {
            (Some(data), _) => Some(data),
            (None, true) => seeker.step_rack,
            (None, false) => None,
        };
        let near = wanted.is_none_or(|wanted| rack == Some(wanted));
        let (calm, fit) = match (spec.filler, spec.target.is_some()) {
            (true, _) => filler_fit(worker, seeker)?,
            (false, true) => service_fit(worker, spec, seeker.harm),
            (false, false) => (0, -leftover(worker, spec)),
        };
        let switches = seeker.switches;
        let thrift = match spec.filler && switches.has(PolicyPart::OpenPlacesLast) {
            true => -openness(worker, spec),
            false => 0,
        };
        let kin = match spec.target {
            Some(_) if switches.has(PolicyPart::ServicesTogether) => -strangers(worker, spec),
            _ => 0,
        };
        Ok(Self {
            trusted,
            near,
            calm,
            kin,
            thrift,
            fit,
        })
    }
}

/// Returns the interference and fit components for a filler: it should slow services least, then
/// find the most idle CPU.
fn filler_fit(worker: &WorkerState, seeker: PlaceSeeker<'_>) -> Result<(i64, i64), PlaceRefusal> {
    let wanted = signed(seeker.spec.size.cpu_millis);
    let idle = worker.idle_cpu();
    if idle * 100 < wanted * FILLER_ROOM_HUNDREDTHS {
        return Err(PlaceRefusal::Busy);
    }
    if worker.shields_services(seeker.now) {
        return Err(PlaceRefusal::Shielded);
    }
    // Fillers of unknown effect are placed one at a time; the effect is visible within a second.
    let singly = seeker.switches.has(PolicyPart::UnknownSingly) && seeker.spec.image.is_some();
    if singly && worker.view.is_learning(seeker.profile, seeker.now) {
        return Err(PlaceRefusal::Learning);
    }
    let share = seeker.spec.size.cpu_millis as f64 / worker.processors();
    let risk = worker.view.risk(seeker.profile, share);
    if risk > MOST_RISK && !seeker.starves {
        return Err(PlaceRefusal::Harm);
    }
    if seeker.starves && worker.view.has_newcomer(STARVED_GAP, seeker.now) {
        return Err(PlaceRefusal::Learning);
    }
    let calm = match seeker.switches.has(PolicyPart::RiskOrder) {
        true => -steps(risk),
        false => 0,
    };
    Ok((calm, idle - wanted))
}

/// Returns, in tenths, the share of filler images that can run beside the worker's services. Images
/// that are harmful elsewhere should get the places that are open to all. A place that would slow
/// the filler comes last.
fn openness(worker: &WorkerState, spec: &StepSpec) -> i64 {
    if worker.idle_cpu() < signed(spec.size.cpu_millis) {
        return TENTHS + 1;
    }
    // CAST: At most ten.
    (worker.view.harmless * TENTHS as f64) as i64
}

/// Returns the interference and fit components for a service's task: it should be slowed least by
/// fillers, then leave the least CPU free.
fn service_fit(worker: &WorkerState, spec: &StepSpec, harm: &HarmModel) -> (i64, i64) {
    let image = spec.image.as_ref();
    let added = image.map_or(0.0, |service| worker.fillers_effect(service, harm));
    (-steps(added), -leftover(worker, spec))
}

/// Returns the number of service images on a worker other than the step's own.
fn strangers(worker: &WorkerState, spec: &StepSpec) -> i64 {
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
    signed(worker.free().cpu_millis) - signed(spec.size.cpu_millis)
}

/// Rounds an effect to the comparison resolution, so that negligible differences do not decide.
fn steps(effect: f64) -> i64 {
    // CAST: It saturates.
    (effect / EFFECT_STEP) as i64
}
