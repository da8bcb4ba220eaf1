//! Order in which steps are planned.

use std::time::Duration;

use crate::{
    Dispatcher,
    PolicyPart,
    StepKey,
    job_state::JobState, //
};

/// The factor of its objective beyond which a job counts as expired.
const HOPELESS: f64 = 3.0;
/// The wait after which a long-running task is planned before short ones. With a shorter wait,
/// short tasks lose on full pools while services gain nothing.
const LASTING_WAIT: Duration = Duration::from_millis(5000);
/// The time before a step's latest start from which free capacity is reserved for it: runs on the
/// workers end within about that time.
const PRESSING: Duration = Duration::from_millis(1000);

/// Rank of a step; the lowest is planned first. The fields are compared in their order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct StepRank {
    /// The priority of the job's queue; 0 is first.
    priority: u32,
    lateness: Lateness,
    /// Whether no task of the job has started: started jobs are finished first.
    fresh: bool,
    /// The latest time at which the step can start for the job to meet its objective; for
    /// long-running steps, since when they wait, or `Duration::MAX` while they yield.
    latest_start: Duration,
}

/// Whether a job can still meet its objective.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Lateness {
    /// The job can meet its objective.
    InTime,
    /// The job will miss its objective.
    Late,
    /// The job will take so much longer than its objective that it is assumed nobody waits for it.
    Hopeless,
}

impl StepRank {
    /// Returns whether a step should start soon and its job has not expired.
    pub(crate) fn is_pressing(&self, now: Duration) -> bool {
        self.latest_start <= now + PRESSING && self.lateness != Lateness::Hopeless
    }
}

impl Dispatcher {
    /// Returns the rank of a job's step.
    pub(crate) fn rank(&self, job: &JobState, step: StepKey, now: Duration) -> StepRank {
        let rule = self.rules.get(&job.queue);
        let priority = rule.map_or(u32::MAX, |rule| rule.priority);
        let switches = self.settings.switches;
        if job.graph.lasts() {
            let patient = switches.has(PolicyPart::LongRunningLast);
            let waiting = job.waits_since(step.occurrence, step.step);
            let starves = !patient || now >= waiting + LASTING_WAIT;
            // Long-running tasks yield to short ones at first: they would fill the pool and keep
            // out all others. They do not yield for long, because their service's callers wait as
            // well.
            return StepRank {
                priority,
                lateness: Lateness::InTime,
                fresh: !starves,
                latest_start: if starves { waiting } else { Duration::MAX },
            };
        }
        let longest = job.chains.iter().max().copied().unwrap_or_default();
        let objective = rule.map_or(longest, |rule| {
            longest.mul_f64(rule.stretch.max(1.0)) + rule.allowance
        });
        let begun = job.begun(step.occurrence, self.clock_origin);
        let left = job
            .chains
            .get(usize::from(step.step))
            .copied()
            .unwrap_or_default();
        let ready = now + left;
        let lateness = match () {
            () if ready > begun + objective.mul_f64(HOPELESS) => Lateness::Hopeless,
            () if ready > begun + objective => Lateness::Late,
            () => Lateness::InTime,
        };
        StepRank {
            priority,
            lateness,
            fresh: !job.started && switches.has(PolicyPart::BegunFirst),
            latest_start: (begun + objective).saturating_sub(left),
        }
    }
}
