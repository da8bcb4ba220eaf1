//! Jobs of which each owner learns at a time of its own, as from a watch of the store.

use std::{
    collections::HashSet,
    time::Duration, //
};

use indexmap::IndexMap;
use jasminebend_dispatch::JobKey;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

use super::{
    Fleet,
    fleet::accepted,
    ms, //
};

/// The longest time after its claim in which a new owner reads the records and calls no worker.
const MAX_READING_TIME: Duration = Duration::from_millis(1500);
/// The longest time after that until it reaches a worker.
const MAX_CONTACT_DELAY: Duration = Duration::from_millis(1500);

/// The jobs that owners have yet to learn of, and when.
#[derive(Debug)]
pub(super) struct LateLearning {
    /// The longest time until an owner learns of a job.
    max_delay: Duration,
    /// The longest time before its claim at which an owner has read the jobs.
    max_reading_age: Duration,
    accepted_at: IndexMap<JobKey, Duration>,
    unlearned: Vec<UnlearnedJob>,
    /// Until when a successor does not reach a worker that its former owner may reach.
    out_of_reach: Vec<OutOfReach>,
    random: StdRng,
}

/// A worker that an owner does not reach before `until`.
#[derive(Clone, Copy, Debug)]
struct OutOfReach {
    owner: usize,
    worker: usize,
    until: Duration,
}

/// A job that an owner learns of at `due`.
#[derive(Clone, Copy, Debug)]
struct UnlearnedJob {
    owner: usize,
    job: JobKey,
    due: Duration,
}

impl LateLearning {
    /// Returns a random time up to `longest`, which is often zero.
    fn random_time(&mut self, longest: Duration) -> Duration {
        match self.random.random_range(0..2) {
            0 => Duration::ZERO,
            _ => longest.mul_f64(self.random.random_range(0.0..1.0)),
        }
    }

    fn expect(&mut self, owner: usize, job: JobKey, now: Duration) {
        let delay = self.random_time(self.max_delay);
        let due = now + delay;
        self.unlearned.push(UnlearnedJob { owner, job, due });
    }
}

impl Fleet {
    /// Lets each owner learn of each job up to `max_delay` late. A successor has read the jobs up to `max_reading_age` before it
    /// claimed the ownership.
    pub(crate) fn with_late_learning(
        mut self,
        seed: u64,
        max_delay: Duration,
        max_reading_age: Duration,
    ) -> Self {
        self.late_learning = Some(LateLearning {
            max_delay,
            max_reading_age,
            accepted_at: IndexMap::new(),
            unlearned: Vec::new(),
            out_of_reach: Vec::new(),
            random: StdRng::seed_from_u64(seed),
        });
        self
    }

    /// Accepts a job, of which the owners learn later.
    pub(super) fn announce_late(&mut self, job: JobKey) {
        let now = self.now;
        let Some(learning) = &mut self.late_learning else {
            return;
        };
        learning.accepted_at.insert(job, now);
        for owner in 0..self.owners.len() {
            learning.expect(owner, job, now);
        }
    }

    /// Returns the jobs that a new owner has not read, and lets it learn of them later.
    pub(super) fn unread_jobs(&mut self, owner: usize) -> HashSet<JobKey> {
        let now = self.now;
        let Some(learning) = &mut self.late_learning else {
            return HashSet::new();
        };
        let age = learning.random_time(learning.max_reading_age);
        let accepted = learning.accepted_at.iter();
        let unread = accepted.filter(|(_, at)| **at > now.saturating_sub(age));
        let unread: HashSet<JobKey> = unread.map(|(&job, _)| job).collect();
        for &job in learning.accepted_at.clone().keys() {
            if unread.contains(&job) {
                learning.expect(owner, job, now);
            }
        }
        unread
    }

    /// Lets a new owner reach workers late, which its former owner may reach meanwhile.
    pub(super) fn delay_first_contacts(&mut self, owner: usize) {
        let now = self.now;
        let Some(learning) = &mut self.late_learning else {
            return;
        };
        if owner == 0 {
            return;
        }
        // The first worker that follows a new owner lets its former one know.
        let reading_time = learning.random_time(MAX_READING_TIME);
        for worker in 0..self.workers.len() {
            let until = now + reading_time + learning.random_time(MAX_CONTACT_DELAY);
            learning.out_of_reach.push(OutOfReach {
                owner,
                worker,
                until,
            });
        }
    }

    /// Returns whether a worker is out of an owner's reach, but not of that of the owner before it.
    pub(super) fn is_out_of_reach(&self, owner: usize, worker: usize) -> bool {
        let now = self.now;
        let entries = self.late_learning.iter();
        let mut entries = entries.flat_map(|learning| &learning.out_of_reach);
        entries.any(|entry| (entry.owner, entry.worker) == (owner, worker) && now < entry.until)
    }

    /// Lets owners learn of the jobs that are due, and of when they know all jobs of former owners.
    pub(super) fn learn_due_jobs(&mut self) {
        let now = self.now;
        let Some(learning) = &mut self.late_learning else {
            return;
        };
        let grace = self.settings.unconfirmed_grace;
        let last_owner = self.owners.len() - 1;
        // An owner adds no job unless the store confirmed it a short time ago.
        let may_add = |index: usize| {
            let owner = &self.owners[index];
            let is_confirmed = index == last_owner || now < owner.last_confirmed_at + grace;
            now >= owner.suspended_until && is_confirmed && !owner.deposed
        };
        let due = learning
            .unlearned
            .extract_if(.., |entry| entry.due <= now && may_add(entry.owner));
        let due: Vec<UnlearnedJob> = due.collect();
        for entry in due {
            let owner = &mut self.owners[entry.owner];
            let accepted_at = learning.accepted_at[&entry.job];
            let inherited = entry.owner > 0 && accepted_at < owner.claimed_at + grace;
            let (graph, _) = &self.jobs[&entry.job];
            let job = accepted(graph, now, inherited);
            owner.dispatcher.add_job(entry.job, job);
        }
        for (index, owner) in self.owners.iter_mut().enumerate() {
            let adds_until = owner.claimed_at + grace;
            let is_former = |entry: &UnlearnedJob| {
                entry.owner == index && learning.accepted_at[&entry.job] < adds_until
            };
            let knows_all = !learning.unlearned.iter().any(is_former);
            if now >= adds_until && now >= owner.suspended_until && knows_all {
                owner.dispatcher.confirm_former_jobs(now);
            }
        }
    }
}

/// Returns the longest delay after which an owner learns of a job, by seed: short, as usual, and while the store is away.
pub(crate) fn learning_delay(seed: u64) -> Duration {
    let delays = [300, 2500, 6000];
    // CAST: Less than the number of delays.
    ms(delays[(seed % delays.len() as u64) as usize])
}
