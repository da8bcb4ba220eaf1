//! What the dispatcher learns from workers.

use std::{
    sync::Arc,
    time::Duration, //
};

use crate::{
    Dispatcher,
    EndedRun,
    FleetWorker,
    HoldOrder,
    HoldReport,
    OrderEnd,
    OrderRefusal,
    RunNumber,
    TaskKey,
    WorkerClock,
    WorkerKey,
    run_state::RunPhase,
    worker_state::WorkerState, //
};

/// The most ends that a worker tells at a time; a list of this length may be cut short.
const ENDS_AT_A_TIME: usize = 500;
/// The wait of a renewal while a service's figures beside fillers are watched: they are of the last
/// half second, so that a shorter one would show the same twice.
const WATCHING_WAIT: Duration = Duration::from_millis(500);
/// The wait while something runs: a lost answer or a task that stands still is seen this soon.
const WORKING_WAIT: Duration = Duration::from_millis(700);

impl Dispatcher {
    /// Returns for how long workers may go on with what a former owner told them, from the moment of its
    /// replacement: it may have gone on for a time, unless it is known to be gone.
    pub fn inheritance(&self, former_is_gone: bool) -> Duration {
        let lease = WorkerClock::longest(self.settings.lease);
        match former_is_gone {
            true => lease,
            false => lease + self.settings.unconfirmed,
        }
    }

    /// Says anew until when workers that were not heard yet may go on with what a former owner told them.
    pub fn extend_inheritance(&mut self, until: Duration) {
        let inherited = self.workers.iter_mut();
        for worker in inherited.filter(|worker| worker.inherited_until.is_some()) {
            worker.inherited_until = Some(until);
        }
    }

    /// Takes in a worker that the registry lists. `inherited` says until when it may go on with what a
    /// former owner told it.
    pub fn list_worker(&mut self, record: FleetWorker, inherited: Option<Duration>) -> WorkerKey {
        let key = match self.by_id.get(&record.id) {
            Some(&key) => {
                self.renew_record(key, record);
                return key;
            }
            None => WorkerKey::new(self.workers.len()),
        };
        self.by_id.insert(Arc::clone(&record.id), key);
        let mut state = WorkerState::new(record);
        state.inherited_until = inherited;
        state.changed = self.plans;
        self.workers.push(state);
        key
    }

    /// Tells whether the registry lists a worker just so already.
    pub fn lists_so(&self, record: &FleetWorker) -> bool {
        self.worker_key(&record.id).is_some_and(|key| {
            let known = self.worker(key);
            known.listed && known.record == *record
        })
    }

    /// Takes note that the registry lists a worker no longer.
    pub fn unlist_worker(&mut self, id: &str) {
        if let Some(&key) = self.by_id.get(id) {
            self.worker_mut(key).listed = false;
        }
    }

    /// Takes note that the registry is about to be listed anew.
    pub fn unlist_all(&mut self) {
        for worker in &mut self.workers {
            worker.listed = false;
        }
    }

    /// Returns the workers that are to be called.
    pub fn attended_workers(&self) -> Vec<WorkerKey> {
        (0..self.workers.len())
            .map(WorkerKey::new)
            .filter(|key| !self.is_retired(*key))
            .collect()
    }

    /// Returns how many workers are known.
    pub fn worker_count(&self) -> usize {
        self.workers.len()
    }

    /// Returns what the workers that may run something say of themselves.
    pub fn worker_records(&self) -> Vec<FleetWorker> {
        let known = self.workers.iter().enumerate();
        known
            .filter(|(place, _)| !self.is_retired(WorkerKey::new(*place)))
            .map(|(_, worker)| worker.record.clone())
            .collect()
    }

    /// Returns when a worker last answered.
    pub fn heard(&self, key: WorkerKey) -> Option<Duration> {
        self.worker(key).heard
    }

    /// Tells whether an end of a worker was looked at before.
    pub fn has_processed(&self, id: &str, number: u64) -> bool {
        self.worker_key(id)
            .is_some_and(|key| number <= self.worker(key).processed)
    }

    /// Returns the key of a worker.
    pub fn worker_key(&self, id: &str) -> Option<WorkerKey> {
        self.by_id.get(id).copied()
    }

    /// Returns what a worker says of itself.
    pub fn worker_record(&self, key: WorkerKey) -> &FleetWorker {
        &self.worker(key).record
    }

    /// Tells whether a worker need not be called any more: it is not listed and runs nothing.
    pub fn is_retired(&self, key: WorkerKey) -> bool {
        let worker = self.worker(key);
        !worker.listed && worker.runs.is_empty() && worker.inherited_until.is_none()
    }

    /// Returns the worker's incarnation, as far as it is known.
    pub fn incarnation(&self, key: WorkerKey) -> Option<Duration> {
        self.worker(key).born
    }

    /// Returns what the next renewal of a worker's lease says, and takes note that it is given. An owner
    /// that is not `confirmed` looks, and grants nothing.
    pub fn hold_order(&mut self, key: WorkerKey, confirmed: bool, now: Duration) -> HoldOrder {
        let lease = self.settings.lease;
        let wait = self.hold_wait(key);
        let worker = self.worker_mut(key);
        // A call that may not arrive grants nothing: the lease would never lapse in the books of an owner
        // that goes on calling a dead worker.
        let answers = confirmed && worker.unanswered == 0;
        HoldOrder {
            deadline: answers.then(|| worker.clock.grant(lease, now)).flatten(),
            // After a silence another life may answer, whose ends have the same numbers.
            acknowledged: if worker.unanswered == 0 {
                worker.acknowledged
            } else {
                0
            },
            wait,
        }
    }

    /// Tells whether a worker has told ends that wait for the record; it would tell them again at
    /// once.
    pub fn owes_acknowledgement(&self, key: WorkerKey) -> bool {
        !self.worker(key).pending_acks.is_empty()
    }

    /// Returns the deadline of an order that is sent at `now`, on the worker's clock.
    pub fn order_deadline(&mut self, key: WorkerKey, now: Duration) -> Option<Duration> {
        let lease = self.settings.lease;
        self.worker_mut(key).clock.grant(lease, now)
    }

    /// Takes in a worker's answer to a renewal that was sent at `sent`.
    pub fn hold_answered(
        &mut self,
        key: WorkerKey,
        sent: Duration,
        report: HoldReport,
        now: Duration,
    ) {
        let former = self.worker(key).born;
        let lease = self.settings.lease;
        let reborn = former.is_some() && report.born.is_some() && former != report.born;
        let worker = self.worker_mut(key);
        if reborn {
            // A start that was sent just now may run in the new life, so that runs are not given up here:
            // those that the new life does not have are missed below.
            worker.forget_life();
        }
        worker.born = report.born.or(worker.born);
        worker.clock.hear(report.clock, now);
        if reborn {
            // What a start has granted to the new life is over by then.
            worker.clock.grant(lease, now);
        }
        worker.heard = Some(now);
        worker.unanswered = 0;
        worker.closed = false;
        worker.fenced = true;
        worker.inherited_until = None;
        let cut_short = report.ended.len() >= ENDS_AT_A_TIME;
        for ended in report.ended {
            self.note_end(key, ended, now);
        }
        let listed: Vec<(TaskKey, RunNumber)> = report
            .running
            .iter()
            .map(|running| (running.task, running.run))
            .collect();
        for running in report.running {
            self.note_running(key, running, now);
        }
        if !cut_short {
            self.note_missing(key, sent, &listed, now);
        }
        self.acknowledge();
        self.watch_services(key, now);
    }

    /// Takes note that the process stood still: what it knows of the workers is old, and any of them may have
    /// begun another life without a call that failed.
    pub fn note_pause(&mut self) {
        for worker in &mut self.workers {
            worker.unanswered = worker.unanswered.max(1);
        }
    }

    /// Takes note that a renewal got no answer.
    pub fn hold_unanswered(&mut self, key: WorkerKey, end: OrderEnd) {
        let worker = self.worker_mut(key);
        worker.unanswered += 1;
        worker.closed = end == OrderEnd::Refused(OrderRefusal::Closed);
    }

    /// Takes note of how the start of a run went.
    pub fn start_ended(
        &mut self,
        key: WorkerKey,
        task: TaskKey,
        run: RunNumber,
        end: OrderEnd,
        now: Duration,
    ) {
        self.window.note_answered();
        match end {
            OrderEnd::Taken => {
                if let Some(state) = self.worker_mut(key).runs.get_mut(&(task, run))
                    && state.phase == RunPhase::Sent
                {
                    state.phase = RunPhase::Running(now);
                }
            }
            OrderEnd::Unknown => {
                if let Some(state) = self.worker_mut(key).runs.get_mut(&(task, run)) {
                    state.phase = RunPhase::Unsure;
                    self.stop_run(key, task, run);
                }
            }
            OrderEnd::Refused(refusal) => {
                self.start_refused(key, task, refusal, now);
                self.release(key, task, run, now);
            }
        }
    }

    /// Takes note of how the stop of a run went.
    pub fn stop_ended(
        &mut self,
        key: WorkerKey,
        task: TaskKey,
        run: RunNumber,
        end: OrderEnd,
        now: Duration,
    ) {
        self.window.note_answered();
        let answered = match end {
            OrderEnd::Taken | OrderEnd::Refused(OrderRefusal::Old) => Some(now),
            OrderEnd::Refused(_) | OrderEnd::Unknown => return,
        };
        if let Some(state) = self.worker_mut(key).runs.get_mut(&(task, run)) {
            state.phase = RunPhase::Stopping(answered);
        }
    }

    /// Gives up what runs on workers whose lease has surely lapsed.
    pub fn note_lapses(&mut self, now: Duration) {
        for place in 0..self.workers.len() {
            let key = WorkerKey::new(place);
            // A look at a worker does not change it.
            let worker = &mut self.workers[place];
            if worker.inherited_until.is_some_and(|until| now > until) {
                worker.inherited_until = None;
            }
            let over = worker.clock.has_lapsed(now) || worker.has_left();
            if !worker.runs.is_empty() && over {
                self.lose_runs(key, now);
            }
        }
    }

    fn renew_record(&mut self, key: WorkerKey, record: FleetWorker) {
        let worker = self.worker_mut(key);
        let leaves = record.draining && !worker.record.draining;
        worker.record = record;
        worker.listed = true;
        if leaves {
            self.move_lasting(key);
        }
    }

    /// Has the tasks that last go on elsewhere before their worker takes them with it.
    fn move_lasting(&mut self, key: WorkerKey) {
        let lasting: Vec<(TaskKey, RunNumber)> = self
            .worker(key)
            .runs
            .keys()
            .copied()
            .filter(|(task, _)| self.step_spec(task.step).is_some_and(|spec| spec.lasting))
            .collect();
        for (task, run) in lasting {
            self.stop_run(key, task, run);
        }
    }

    fn hold_wait(&self, key: WorkerKey) -> Duration {
        let worker = self.worker(key);
        let longest = self.settings.longest_wait;
        if !worker.fenced || worker.unanswered > 0 || !worker.pending_acks.is_empty() {
            return Duration::ZERO;
        }
        let fills = worker.filler_cpu > 0;
        if fills && worker.serves() {
            return WATCHING_WAIT.min(longest);
        }
        let only_steady = worker.runs.values().all(|run| run.target.is_some());
        match only_steady {
            true => longest,
            false => WORKING_WAIT.min(longest),
        }
    }

    fn start_refused(
        &mut self,
        key: WorkerKey,
        task: TaskKey,
        refusal: OrderRefusal,
        now: Duration,
    ) {
        match refusal {
            OrderRefusal::Unsent | OrderRefusal::Closed => self.worker_mut(key).unanswered += 1,
            OrderRefusal::Unwell | OrderRefusal::Room | OrderRefusal::Malformed => {
                self.worker_mut(key).health.set_aside(now);
            }
            OrderRefusal::Ticket => {
                let step = task.step;
                if let Some(job) = self.jobs.get_mut(&step.job)
                    && let Some(step) = job.step_mut(step.occurrence, step.step)
                {
                    step.tickets.swap_remove(&key);
                }
            }
            OrderRefusal::Fenced | OrderRefusal::Old | OrderRefusal::Late => {}
        }
    }

    fn note_end(&mut self, key: WorkerKey, ended: EndedRun, now: Duration) {
        if ended.number <= self.worker(key).processed {
            return;
        }
        let worker = self.worker_mut(key);
        worker.processed = ended.number;
        // It was listed by a worker that followed this owner already: a former one can't have heard of its end.
        let seen = worker.runs.get(&(ended.task, ended.run));
        let placed = seen.map(|run| run.placed);
        self.release(key, ended.task, ended.run, now);
        if let Some(placed) = placed {
            self.note_run_time(&ended, placed, now);
        }
        let change = self.settle_end(key, &ended, placed.is_some(), now);
        let worker = self.worker_mut(key);
        worker.pending_acks.push_back((ended.number, change));
    }
}
