//! How good a place is for a task.

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

/// The share of its processors that a filler must find idle, in hundredths. Fillers share what is
/// idle, so that one more beside a full worker only slows the others.
const FILLER_ROOM_HUNDREDTHS: i64 = 60;
/// By how much more, in spreads of their loads, services may be expected to exceed their targets beside a filler. One of
/// them above its target costs its users more than a filler's wait does.
const MOST_RISK: f64 = 0.3;
/// How long after another filler one may come that goes where it harms least.
const STARVED_GAP: Duration = Duration::from_millis(400);
/// The smallest difference between two risks, or two effects on a load, that decides.
const EFFECT_STEP: f64 = 0.05;
/// The steps in which it is told for how many images a place is open.
const TENTHS: i64 = 10;

/// Why a worker that has room is no place for a filler.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PlaceRefusal {
    /// What runs there is believed to use its processors.
    Busy,
    /// A service there was too slow just now.
    Shielded,
    /// The effect of another newcomer is not seen yet.
    Learning,
    /// A service there would be slowed too much.
    Harm,
}

/// How good a place is for a task; the greater the better. The parts are compared in their order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct PlaceScore {
    /// Whether no task failed there lately, nor this one.
    trusted: bool,
    /// Whether its data is near, or the rest of its step where that matters.
    near: bool,
    /// Whether it leaves services alone.
    calm: i64,
    /// Whether it keeps services of one image together, so that fillers that harm them find room elsewhere.
    kin: i64,
    /// Whether it leaves room to those that find less of it elsewhere.
    thrift: i64,
    /// How well it uses what is left, in thousandths of a processor.
    fit: i64,
}

/// A step whose task looks for a place, and by what places are weighed for it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlaceSeeker<'a> {
    pub(crate) spec: &'a StepSpec,
    /// Where the rest of its step is.
    pub(crate) step_rack: Option<&'a Arc<str>>,
    pub(crate) harm: &'a HarmModel,
    /// What it does to services, if it fills.
    pub(crate) profile: &'a FillerProfile,
    /// Whether it fills and has waited for so long that it goes where it harms least.
    pub(crate) starves: bool,
    pub(crate) switches: PolicySwitches,
    pub(crate) now: Duration,
}

impl PlaceScore {
    /// Weighs a worker that has room.
    ///
    /// # Errors
    ///
    /// Why the task should rather wait than go there.
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

/// A filler goes where it slows services least, then where most is idle.
fn filler_fit(worker: &WorkerState, seeker: PlaceSeeker<'_>) -> Result<(i64, i64), PlaceRefusal> {
    let wanted = signed(seeker.spec.size.cpu_millis);
    let idle = worker.idle_cpu();
    if idle * 100 < wanted * FILLER_ROOM_HUNDREDTHS {
        return Err(PlaceRefusal::Busy);
    }
    if worker.shields_services(seeker.now) {
        return Err(PlaceRefusal::Shielded);
    }
    // One unknown at a time: its effect shows within a second.
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

/// Counts, in tenths, how many of the fillers' images find a place beside a worker's services. Where all do, those
/// should go that are harmful elsewhere. A place that would slow the filler comes last.
fn openness(worker: &WorkerState, spec: &StepSpec) -> i64 {
    if worker.idle_cpu() < signed(spec.size.cpu_millis) {
        return TENTHS + 1;
    }
    // CAST: At most ten.
    (worker.view.harmless * TENTHS as f64) as i64
}

/// A service's task goes where fillers slow it least, and fills what is left there.
fn service_fit(worker: &WorkerState, spec: &StepSpec, harm: &HarmModel) -> (i64, i64) {
    let image = spec.image.as_ref();
    let added = image.map_or(0.0, |service| worker.fillers_effect(service, harm));
    (-steps(added), -leftover(worker, spec))
}

/// Counts the images that serve on a worker beside a step's own.
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

fn leftover(worker: &WorkerState, spec: &StepSpec) -> i64 {
    signed(worker.free().cpu_millis) - signed(spec.size.cpu_millis)
}

/// Counts an effect in steps, so that what is next to nothing does not decide.
fn steps(effect: f64) -> i64 {
    // CAST: It saturates.
    (effect / EFFECT_STEP) as i64
}
