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
    JobOutcome,
    OrderEnd,
    OrderRefusal,
    RunEnd,
    RunNumber,
    RunningTask,
    TaskKey,
    WorkerClock,
    WorkerKey,
    WorkerOrder,
    dispatcher::StepOrigin,
    run_state::{
        RunPhase,
        RunState, //
    },
    worker_state::WorkerState, //
};

/// The most ends that a worker tells at a time; a list of this length may be cut short.
const ENDS_AT_A_TIME: usize = 500;
/// The wait of a renewal while a service's figures beside fillers are watched: they are of the last
/// half second, so that a shorter one would show the same twice.
const WATCHING_WAIT: Duration = Duration::from_millis(500);
/// The wait while something runs: a lost answer or a task that stands still is seen this soon.
const WORKING_WAIT: Duration = Duration::from_millis(700);
/// How long a task may stand still until it counts as stuck. A hundredth of the longest usual task
/// takes a tenth of this.
const STUCK: Duration = Duration::from_millis(1000);

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
            self.note_missing(key, sent, &listed);
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
                self.release(key, task, run);
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
        let seen = worker.runs.contains_key(&(ended.task, ended.run));
        self.release(key, ended.task, ended.run);
        let change = self.settle_end(key, &ended, seen, now);
        let worker = self.worker_mut(key);
        worker.pending_acks.push_back((ended.number, change));
    }

    /// Takes a run off its worker and its task; the task is pending again unless it has another.
    fn release(&mut self, key: WorkerKey, task: TaskKey, run: RunNumber) {
        self.worker_mut(key).drop_run(task, run);
        self.stops.swap_remove(&(key, task, run));
        let step = task.step;
        let Some(job) = self.jobs.get_mut(&step.job) else {
            return;
        };
        let over = job.is_over();
        let Some(step_state) = job.step_mut(step.occurrence, step.step) else {
            return;
        };
        let Some(task_state) = step_state.tasks.get_mut(task.index as usize) else {
            return;
        };
        let before = task_state.runs.len();
        task_state.runs.retain(|&held| held != (key, run));
        let left = task_state.runs.len() < before;
        let pending = task_state.is_pending();
        if left {
            step_state.note_left(key);
        }
        if pending && !over && step_state.open {
            self.open.insert(step);
        }
    }

    fn note_running(&mut self, key: WorkerKey, running: RunningTask, now: Duration) {
        let id = (running.task, running.run);
        let Some(state) = self.worker_mut(key).runs.get_mut(&id) else {
            self.adopt(key, running, now);
            return;
        };
        if matches!(state.phase, RunPhase::Sent) {
            state.phase = RunPhase::Running(now);
        }
        let at_work = state.target.is_some() && running.percent >= 100 && state.percent < 100;
        if running.percent != state.percent {
            state.percent = running.percent;
            state.moved = now;
        }
        state.figure = running.figure;
        let filler = state.is_filler();
        let stuck = state.is_confirmed()
            && state.pace >= 100
            && state.percent < 100
            && now > state.moved + STUCK;
        if at_work {
            self.worker_mut(key).health.note_done();
        }
        let starved = filler && self.worker(key).idle_cpu() < 0;
        if let Some(checkpoint) = running.checkpoint {
            self.note_checkpoint(running.task, checkpoint);
        }
        if stuck && !starved {
            self.worker_mut(key).health.note_failure(running.task, now);
            self.stop_run(key, running.task, running.run);
        }
    }

    /// Takes over a run that a former owner started, or stops it if nothing asks for it.
    fn adopt(&mut self, key: WorkerKey, running: RunningTask, now: Duration) {
        let step = running.task.step;
        let wanted = self.jobs.get_mut(&step.job).and_then(|job| {
            let over = job.is_over();
            let spec = job.graph.steps.get(usize::from(step.step))?.clone();
            job.started = true;
            Some((over, spec))
        });
        let Some((over, spec)) = wanted else {
            self.decided.push(WorkerOrder::Stop {
                worker: key,
                task: running.task,
                run: running.run,
            });
            return;
        };
        self.open_occurrence(step.job, step.occurrence);
        let state = RunState {
            task: running.task,
            phase: RunPhase::Running(now),
            reserved: spec.reserved(),
            filler_cpu: if spec.filler { spec.size.cpu_millis } else { 0 },
            image: spec.image.clone(),
            target: spec.target,
            placed: now,
            percent: running.percent,
            moved: now,
            figure: running.figure,
            load: None,
            pace: 100,
            stop_sent: None,
            stop_tries: 0,
        };
        self.worker_mut(key).add(running.run, state);
        let mut surplus = over;
        if let Some(job) = self.jobs.get_mut(&step.job)
            && let Some(step_state) = job.step_mut(step.occurrence, step.step)
            && let Some(task) = step_state.tasks.get_mut(running.task.index as usize)
        {
            surplus |= task.done || (!task.runs.is_empty() && !spec.copies);
            task.runs.push((key, running.run));
            step_state.note_placed(key);
        }
        if let Some(checkpoint) = running.checkpoint {
            self.note_checkpoint(running.task, checkpoint);
        }
        if surplus {
            self.stop_run(key, running.task, running.run);
        }
    }

    /// Drops the runs that a worker surely does not have: it confirmed them, or their stop, before it
    /// was asked for its list, and lists them no more.
    fn note_missing(&mut self, key: WorkerKey, sent: Duration, listed: &[(TaskKey, RunNumber)]) {
        let gone: Vec<(TaskKey, RunNumber)> = self
            .worker(key)
            .runs
            .iter()
            .filter(|(id, state)| {
                let known = match state.phase {
                    RunPhase::Running(at) | RunPhase::Stopping(Some(at)) => at <= sent,
                    RunPhase::Sent | RunPhase::Unsure | RunPhase::Stopping(None) => false,
                };
                known && !listed.contains(id)
            })
            .map(|(&id, _)| id)
            .collect();
        for (task, run) in gone {
            self.release(key, task, run);
        }
    }

    fn note_checkpoint(&mut self, task: TaskKey, checkpoint: Arc<str>) {
        let step = task.step;
        if let Some(job) = self.jobs.get_mut(&step.job)
            && let Some(step) = job.step_mut(step.occurrence, step.step)
            && let Some(task) = step.tasks.get_mut(task.index as usize)
        {
            task.checkpoint = Some(checkpoint);
        }
    }

    /// Counts all runs of a worker as over.
    pub(crate) fn lose_runs(&mut self, key: WorkerKey, now: Duration) {
        let runs: Vec<(TaskKey, RunNumber)> = self.worker(key).runs.keys().copied().collect();
        for (task, run) in runs {
            self.release(key, task, run);
            self.note_away(task, now);
        }
    }

    fn note_away(&mut self, task: TaskKey, now: Duration) {
        let step = task.step;
        if let Some(job) = self.jobs.get_mut(&step.job)
            && let Some(step) = job.step_mut(step.occurrence, step.step)
            && let Some(task) = step.tasks.get_mut(task.index as usize)
        {
            task.away_since = Some(now);
        }
    }

    /// Draws the consequences of an end, and returns the change that has to be on record before the
    /// end is acknowledged.
    fn settle_end(&mut self, key: WorkerKey, ended: &EndedRun, seen: bool, now: Duration) -> u64 {
        let settled = self.ledger.on_record();
        let step = ended.task.step;
        let Some(job) = self.jobs.get(&step.job) else {
            return settled;
        };
        let Some(spec) = job.graph.steps.get(usize::from(step.step)).cloned() else {
            return settled;
        };
        self.open_occurrence(step.job, step.occurrence);
        match ended.end {
            RunEnd::Done => self.worker_mut(key).health.note_done(),
            RunEnd::Failed => self.worker_mut(key).health.note_failure(ended.task, now),
            _ => {}
        }
        if spec.lasting {
            self.note_away(ended.task, now);
            return settled;
        }
        if let Some(checkpoint) = &ended.checkpoint {
            self.note_checkpoint(ended.task, Arc::clone(checkpoint));
        }
        match ended.end {
            RunEnd::Done => {
                // Of a gang or of copies, another worker may have told the same to the former owner.
                let own = seen && !spec.gang && !spec.copies;
                let origin = if own {
                    StepOrigin::Own
                } else {
                    StepOrigin::Unknown
                };
                self.note_done(ended.task, spec.gang, origin)
            }
            RunEnd::Failed => self.note_failed(key, ended, spec.gang),
            RunEnd::Stopped | RunEnd::Lapsed if ended.checkpoint.is_some() => {
                self.ledger.note(step.job)
            }
            _ => settled,
        }
    }

    fn note_done(&mut self, task: TaskKey, gang: bool, origin: StepOrigin) -> u64 {
        let step = task.step;
        let mut surplus = Vec::new();
        let Some(job) = self.jobs.get_mut(&step.job) else {
            return 0;
        };
        if job.is_over() {
            return self.ledger.on_record();
        }
        let Some(state) = job.step_mut(step.occurrence, step.step) else {
            return 0;
        };
        for (index, held) in state.tasks.iter_mut().enumerate() {
            // CAST: A step has at most 20,000 tasks.
            let index = index as u32;
            if held.done || (!gang && index != task.index) {
                continue;
            }
            held.done = true;
            held.checkpoint = None;
            state.done += 1;
            let key = step.task(index);
            surplus.extend(held.runs.iter().map(|&(worker, run)| (worker, key, run)));
        }
        let whole = state.is_whole();
        if !gang {
            for (worker, key, run) in surplus {
                self.stop_run(worker, key, run);
            }
        }
        let change = self.ledger.note(step.job);
        if whole {
            self.open.swap_remove(&step);
            self.open_steps(step.job, step.occurrence, origin);
            self.finish_if_whole(task);
        }
        change
    }

    fn finish_if_whole(&mut self, task: TaskKey) {
        let step = task.step;
        let Some(job) = self.jobs.get(&step.job) else {
            return;
        };
        // The same end is heard from each member of a gang, and again by a successor, so that nothing is
        // counted up.
        let whole = job.occurrences.values().filter(|state| state.is_whole());
        if whole.count() >= job.graph.occurrences() as usize {
            self.finish(step.job, JobOutcome::Completed);
        }
    }

    fn note_failed(&mut self, key: WorkerKey, ended: &EndedRun, gang: bool) -> u64 {
        let step = ended.task.step;
        let Some(job) = self.jobs.get_mut(&step.job) else {
            return 0;
        };
        if job.is_over() {
            return self.ledger.on_record();
        }
        let queue = Arc::clone(&job.queue);
        let Some(state) = job.step_mut(step.occurrence, step.step) else {
            return 0;
        };
        // A gang fails as one: its count stands at its first task.
        let counted = if gang { 0 } else { ended.task.index };
        let mut failures = 0;
        if let Some(task) = state.tasks.get_mut(counted as usize) {
            if !task.failures.contains(&ended.run) {
                task.failures.push(ended.run);
            }
            task.failed_on = Some(key);
            failures = task.failures.len();
        }
        let attempts = self
            .rules
            .get(&queue)
            .map_or(1, |rule| rule.attempts.max(1));
        let change = self.ledger.note(step.job);
        if failures >= attempts as usize {
            self.finish(step.job, JobOutcome::Failed);
        }
        change
    }
}
