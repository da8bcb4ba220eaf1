//! Which step goes first.

use std::time::Duration;

use crate::{
    Dispatcher,
    PolicyPart,
    StepKey,
    job_state::JobState, //
};

/// How many times its objective a job may take until nobody waits for it any more.
const HOPELESS: f64 = 3.0;
/// After how long without a run a long-running task comes before short ones: earlier, short ones lose on full pools, and
/// services win nothing.
const LASTING_WAIT: Duration = Duration::from_millis(5000);
/// How long before a step's latest start room begins to be kept for it: what runs there ends within about that time.
const PRESSING: Duration = Duration::from_millis(1000);

/// The rank of a step: the least goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct StepRank {
    priority: u32,
    lateness: Lateness,
    /// Whether nothing of the job has started: what is begun is finished first.
    fresh: bool,
    latest_start: Duration,
}

/// Whether a job can still be in time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Lateness {
    /// It can be in time.
    InTime,
    /// It will be late.
    Late,
    /// Nobody waits for it any more.
    Hopeless,
}

impl StepRank {
    /// Tells whether a step should start soon, and is not given up.
    pub(crate) fn is_pressing(&self, now: Duration) -> bool {
        self.latest_start <= now + PRESSING && self.lateness != Lateness::Hopeless
    }
}

impl Dispatcher {
    /// Ranks a step of a job.
    pub(crate) fn rank(&self, job: &JobState, step: StepKey, now: Duration) -> StepRank {
        let rule = self.rules.get(&job.queue);
        let priority = rule.map_or(u32::MAX, |rule| rule.priority);
        let switches = self.settings.switches;
        if job.graph.lasts() {
            let patient = switches.has(PolicyPart::LongRunningLast);
            let waiting = job.waits_since(step.occurrence, step.step);
            let starves = !patient || now >= waiting + LASTING_WAIT;
            // What stays for good waits behind what comes and goes: it would fill the pool, and keep out all else.
            // It does not wait for long: its own callers do without it.
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
