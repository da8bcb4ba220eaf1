//! Times at which workers had no lease, and the check that no task starts after an end that is taken note of.

use std::time::Duration;

use jasminebend_dispatch::{
    LeaseRenewal,
    RunResult,
    TaskKey, //
};
use jasminebend_standins::{
    SimulatedWorker,
    WorkerEvent, //
};

use super::Fleet;

/// When the lease of each worker had lapsed, and when each restarted.
#[derive(Debug, Default)]
pub(super) struct LeaseLapses {
    workers: Vec<WorkerLapses>,
}

#[derive(Clone, Debug, Default)]
struct WorkerLapses {
    /// The first and the last moment of each time without a lease.
    lapses: Vec<(Duration, Duration)>,
    has_lease: bool,
    /// When each incarnation began.
    births: Vec<Duration>,
}

impl LeaseLapses {
    /// Records which workers have no lease at `now`.
    pub(super) fn follow(&mut self, workers: &[SimulatedWorker], now: Duration) {
        self.workers.resize(workers.len(), WorkerLapses::default());
        for (worker, state) in workers.iter().zip(&mut self.workers) {
            let born = worker.booted_at();
            if state.births.last() != Some(&born) {
                state.births.push(born);
            }
            let had_lease = std::mem::replace(&mut state.has_lease, worker.lease_lapses_at() > now);
            if state.has_lease {
                continue;
            }
            match state.lapses.last_mut() {
                Some((_, last)) if !had_lease => *last = now,
                _ => state.lapses.push((now, now)),
            }
        }
    }
}

impl WorkerLapses {
    fn had_lapsed_between(&self, from: Duration, to: Duration) -> bool {
        let mut lapses = self.lapses.iter();
        lapses.any(|(first, last)| *first <= to && *last >= from)
    }

    fn has_restarted_between(&self, from: Duration, to: Duration) -> bool {
        let mut births = self.births.iter();
        births.any(|born| *born > from && *born <= to)
    }
}

impl Fleet {
    /// Returns the tasks that began after a run of them had ended as done, if that end was acknowledged before or later and the
    /// worker's lease had not lapsed in between.
    pub(crate) fn starts_after_acknowledged_ends(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for (worker, lapses) in self.workers.iter().zip(&self.lease_lapses.workers) {
            for (task, ended_at, acknowledged_at) in acknowledged_ends(worker, lapses) {
                let starts = self.starts_of(task).into_iter();
                let late = starts.filter(|start| *start > ended_at);
                violations.extend(late.map(|start| {
                    let id = &worker.record().id;
                    format!(
                        "{task} began at {start:?}, after its end on {id} at {ended_at:?}, acknowledged at {acknowledged_at:?}"
                    )
                }));
            }
        }
        violations
    }

    /// Returns the ends that workers still list although they can be reached.
    pub(crate) fn unacknowledged_ends(&mut self) -> Vec<String> {
        let now = self.now;
        let mut ends = Vec::new();
        for index in 0..self.workers.len() {
            if !self.is_reachable(index) {
                continue;
            }
            let order = LeaseRenewal {
                deadline: None,
                acknowledged: 0,
                max_wait: Duration::ZERO,
            };
            let report = self.workers[index].renew_lease(now, u64::MAX, order);
            let listed = report.map(|report| report.completions).unwrap_or_default();
            ends.extend(
                listed
                    .into_iter()
                    .map(|end| format!("worker-{index} still lists {end:?}")),
            );
        }
        ends
    }
}

/// Returns the tasks of which a run ended as done, when it ended, and when that was acknowledged, but for those whose worker was
/// without a lease in between.
fn acknowledged_ends(
    worker: &SimulatedWorker,
    lapses: &WorkerLapses,
) -> Vec<(TaskKey, Duration, Duration)> {
    let mut ended: Vec<(TaskKey, Duration)> = Vec::new();
    let mut acknowledged = Vec::new();
    for (at, event) in worker.events() {
        match event {
            WorkerEvent::Ended(task, _, RunResult::Done) => ended.push((*task, *at)),
            WorkerEvent::Acknowledged(task, RunResult::Done) => {
                ended.retain(|(_, ended_at)| !lapses.has_restarted_between(*ended_at, *at));
                let position = ended.iter().position(|(of, _)| of == task);
                let Some((task, ended_at)) = position.map(|position| ended.remove(position)) else {
                    continue;
                };
                if !lapses.had_lapsed_between(ended_at, *at) {
                    acknowledged.push((task, ended_at, *at));
                }
            }
            _ => {}
        }
    }
    acknowledged
}
