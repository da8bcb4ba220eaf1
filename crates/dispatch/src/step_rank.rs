//! Order in which steps are planned.

use std::time::Duration;

use crate::{
    Dispatcher,
    PolicyPart,
    StepKey,
    job_state::JobState, //
};

/// The factor of its objective beyond which a job counts as expired.
const EXPIRED_OBJECTIVE_FACTOR: f64 = 3.0;
/// The wait after which a long-running task is planned before short ones. With a shorter wait,
/// short tasks lose on full pools while services gain nothing.
const LONG_RUNNING_YIELD_TIME: Duration = Duration::from_millis(5000);
/// The time before a step's latest start from which free capacity is reserved for it: runs on the
/// workers end within about that time.
const RESERVATION_LEAD_TIME: Duration = Duration::from_millis(1000);

/// Rank of a step; the lowest is planned first. The fields are compared in their order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct StepRank {
    /// The priority of the job's queue; 0 is first.
    priority: u32,
    lateness: Lateness,
    /// Whether no task of the job has started: started jobs are finished first.
    is_unstarted: bool,
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
    Expired,
}

impl StepRank {
    /// Returns whether a step should start soon and its job has not expired.
    pub(crate) fn is_urgent(&self, now: Duration) -> bool {
        self.latest_start <= now + RESERVATION_LEAD_TIME && !self.is_expired()
    }

    /// Returns whether the step's job takes far longer than its objective.
    pub(crate) fn is_expired(&self) -> bool {
        self.lateness == Lateness::Expired
    }
}

impl Dispatcher {
    /// Returns the rank of a job's step.
    pub(crate) fn step_rank(&self, job: &JobState, step: StepKey, now: Duration) -> StepRank {
        let rule = self.queue_rules.get(&job.queue);
        let priority = rule.map_or(u32::MAX, |rule| rule.priority);
        let switches = self.settings.switches;
        if job.graph.is_long_running() {
            let yields = switches.has(PolicyPart::LongRunningLast);
            let since = job.waiting_since(step.occurrence, step.step);
            let is_overdue = !yields || now >= since + LONG_RUNNING_YIELD_TIME;
            // Long-running tasks yield to short ones at first: they would fill the pool and keep
            // out all others. They do not yield for long, because their service's callers wait as
            // well.
            return StepRank {
                priority,
                lateness: Lateness::InTime,
                is_unstarted: !is_overdue,
                latest_start: if is_overdue { since } else { Duration::MAX },
            };
        }
        let longest = job
            .remaining_chains
            .iter()
            .max()
            .copied()
            .unwrap_or_default();
        let objective = rule.map_or(longest, |rule| {
            let stretched = saturating_mul(longest, rule.duration_factor.max(1.0));
            stretched.saturating_add(rule.duration_allowance)
        });
        let start = job.occurrence_start(step.occurrence, self.clock_origin);
        let remaining = job
            .remaining_chains
            .get(usize::from(step.step))
            .copied()
            .unwrap_or_default();
        let finish_estimate = now + remaining;
        let due_at = start.saturating_add(objective);
        let expires_at = start.saturating_add(saturating_mul(objective, EXPIRED_OBJECTIVE_FACTOR));
        let lateness = match () {
            () if finish_estimate > expires_at => Lateness::Expired,
            () if finish_estimate > due_at => Lateness::Late,
            () => Lateness::InTime,
        };
        StepRank {
            priority,
            lateness,
            is_unstarted: !job.started && switches.has(PolicyPart::StartedJobsFirst),
            latest_start: due_at.saturating_sub(remaining),
        }
    }
}

/// Multiplies a duration by a factor of at least 1; a product that is too large becomes the longest duration.
fn saturating_mul(duration: Duration, factor: f64) -> Duration {
    Duration::try_from_secs_f64(duration.as_secs_f64() * factor).unwrap_or(Duration::MAX)
}
