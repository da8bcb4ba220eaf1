//! Workers ordered by the processors that they have left.

use crate::WorkerKey;

const STEP_MILLIS: u64 = 250;
const LINEAR_STEPS: u64 = 16;
const STEPS_PER_DOUBLING: u64 = 8;
const BUCKETS: usize = 192;

/// Workers in buckets by the processors that they have left. Moving a worker costs the same however
/// many there are, and a search visits only buckets that may have room.
#[derive(Clone, Debug)]
pub(crate) struct RoomIndex {
    buckets: Vec<Vec<WorkerKey>>,
    places: Vec<Option<(usize, usize)>>,
}

impl RoomIndex {
    pub(crate) fn new() -> Self {
        Self {
            buckets: vec![Vec::new(); BUCKETS],
            places: Vec::new(),
        }
    }

    pub(crate) fn set(&mut self, worker: WorkerKey, cpu_millis: u64) {
        let bucket = bucket_of(cpu_millis);
        if let Some(Some((held, _))) = self.places.get(worker.slot())
            && *held == bucket
        {
            return;
        }
        self.remove(worker);
        if self.places.len() <= worker.slot() {
            self.places.resize(worker.slot() + 1, None);
        }
        self.places[worker.slot()] = Some((bucket, self.buckets[bucket].len()));
        self.buckets[bucket].push(worker);
    }

    pub(crate) fn remove(&mut self, worker: WorkerKey) {
        let Some(place) = self.places.get_mut(worker.slot()) else {
            return;
        };
        let Some((bucket, at)) = place.take() else {
            return;
        };
        self.buckets[bucket].swap_remove(at);
        if let Some(moved) = self.buckets[bucket].get(at) {
            self.places[moved.slot()] = Some((bucket, at));
        }
    }

    /// Visits workers that may have this much, the fullest first.
    pub(crate) fn fullest_first(&self, cpu_millis: u64) -> impl Iterator<Item = WorkerKey> {
        let buckets = &self.buckets[bucket_of(cpu_millis)..];
        buckets.iter().flatten().copied()
    }

    /// Visits workers that may have this much, the emptiest first.
    pub(crate) fn emptiest_first(&self, cpu_millis: u64) -> impl Iterator<Item = WorkerKey> {
        let buckets = &self.buckets[bucket_of(cpu_millis)..];
        buckets.iter().rev().flatten().copied()
    }
}

fn bucket_of(cpu_millis: u64) -> usize {
    let steps = cpu_millis / STEP_MILLIS;
    if steps < LINEAR_STEPS {
        // CAST: Less than sixteen.
        return steps as usize;
    }
    let doubling = u64::from(steps.ilog2());
    let within = (steps >> (doubling - 3)) & (STEPS_PER_DOUBLING - 1);
    let bucket = LINEAR_STEPS + (doubling - 4) * STEPS_PER_DOUBLING + within;
    // CAST: The last bucket bounds it.
    (bucket as usize).min(BUCKETS - 1)
}
