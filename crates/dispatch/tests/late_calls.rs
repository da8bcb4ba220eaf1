//! Calls that were sent to a worker's former incarnation and are carried out on the present one.

#![expect(
    clippy::unwrap_used,
    reason = "a test's helpers panic as the test does"
)]

mod common;

use std::time::Duration;

use common::{
    configuration,
    graph,
    ms,
    step, //
};
use jasminebend_base::ResourceAmount;
use jasminebend_dispatch::{
    AcceptedJob,
    Admission,
    DispatchSettings,
    Dispatcher,
    JobKey,
    LeaseRenewal,
    OrderOutcome,
    StartOrder,
    TaskKey,
    WorkerKey,
    WorkerOrder, //
};
use jasminebend_standins::{
    SimulatedWorker,
    TaskWork,
    WorkerEvent, //
};

/// The token of the first owner, the highest of its term.
const FIRST_OWNER: u64 = 256;
const QUEUE: &str = "queue";
/// When the worker restarts.
const RESTART: Duration = Duration::from_millis(103_000);
/// The time between two calls.
const TURN: Duration = Duration::from_millis(50);
/// When a late call is carried out, after the restart.
const LATE_BY: Duration = Duration::from_millis(4000);
const SHORT_TASK: Duration = Duration::from_millis(300);
const LONG_TASK: Duration = Duration::from_millis(60_000);

/// An owner and a worker, of which the owner renews the lease.
struct Scene {
    now: Duration,
    owner: Dispatcher,
    worker: SimulatedWorker,
    key: WorkerKey,
    run_time: Duration,
}

/// A call to the worker with the token that it carries.
struct Call {
    token: u64,
    order: CallOrder,
}

enum CallOrder {
    Renewal(LeaseRenewal),
    Start(StartOrder, Duration),
}

impl Call {
    fn acknowledged(&self) -> u64 {
        match &self.order {
            CallOrder::Renewal(renewal) => renewal.acknowledged,
            CallOrder::Start(..) => 0,
        }
    }
}

impl Scene {
    fn new(run_time: Duration) -> Self {
        Self::with_former_token(run_time, None)
    }

    fn with_former_token(run_time: Duration, former_token: Option<u64>) -> Self {
        let settings = DispatchSettings::default();
        let capacity = ResourceAmount::new(4000, 4000);
        let mut worker = SimulatedWorker::new("w0", capacity, 100, ms(1000));
        worker.set_max_lease(settings.max_lease_duration);
        let mut owner = Dispatcher::new(FIRST_OWNER, settings).with_former_token(former_token);
        owner.set_configuration(configuration(3));
        let key = owner.upsert_worker(worker.record().clone(), None);
        Self {
            now: RESTART - ms(2000),
            owner,
            worker,
            key,
            run_time,
        }
    }

    fn worker_token(&self) -> u64 {
        self.owner.worker_token(self.key)
    }

    fn add_job(&mut self, number: u64) {
        let job = AcceptedJob {
            queue: QUEUE.into(),
            rule: None,
            graph: graph(vec![step(1, &[])]).into(),
            accepted: self.now,
            inherited: false,
        };
        self.owner.add_job(JobKey::new(number), job);
    }

    /// Returns the next renewal, which is not carried out yet.
    fn next_renewal(&mut self) -> Call {
        let token = self.worker_token();
        let order = self.owner.next_renewal(self.key, true, self.now);
        Call {
            token,
            order: CallOrder::Renewal(order),
        }
    }

    /// Returns the starts that the owner orders now, which are not carried out yet.
    fn plan_starts(&mut self) -> Vec<Call> {
        let token = self.worker_token();
        let orders = self.owner.plan(self.now).orders;
        let mut starts = Vec::new();
        for order in orders {
            if let WorkerOrder::Start(start) = order {
                let deadline = self.owner.grant_order_deadline(start.worker, self.now);
                let order = CallOrder::Start(start, deadline.unwrap());
                starts.push(Call { token, order });
            }
        }
        starts
    }

    /// Lets the worker carry out a call whose answer is lost.
    fn carry_out_late(&mut self, call: &Call) {
        match &call.order {
            CallOrder::Renewal(renewal) => {
                drop(self.worker.renew_lease(self.now, call.token, *renewal));
            }
            CallOrder::Start(start, deadline) => drop(self.start(call.token, start, *deadline)),
        }
    }

    fn start(&mut self, token: u64, start: &StartOrder, deadline: Duration) -> OrderOutcome {
        let work = TaskWork {
            run_time: self.run_time,
            fails: false,
            size: ResourceAmount::new(1000, 100),
        };
        self.worker.start(self.now, token, start, deadline, work)
    }

    /// Lets the worker answer a renewal, the owner commit, and the worker carry out the starts and stops that the owner orders.
    fn turn(&mut self) {
        self.now += TURN;
        let call = self.next_renewal();
        self.answer(call);
    }

    /// Takes turns until a renewal acknowledges an end, and returns it; it is not carried out yet.
    fn next_acknowledgement(&mut self) -> Call {
        loop {
            self.now += TURN;
            let call = self.next_renewal();
            if call.acknowledged() > 0 {
                return call;
            }
            self.answer(call);
        }
    }

    fn answer(&mut self, call: Call) {
        let CallOrder::Renewal(renewal) = call.order else {
            unreachable!();
        };
        let now = self.now;
        let report = self.worker.renew_lease(now, call.token, renewal).unwrap();
        self.owner.handle_renewal_report(self.key, now, report, now);
        if !self.owner.take_records_to_commit(10).is_empty() {
            self.owner.confirm_commit();
        }
        for call in self.plan_starts() {
            if let CallOrder::Start(start, deadline) = &call.order {
                let outcome = self.start(call.token, start, *deadline);
                self.owner
                    .handle_start_outcome(self.key, start.task, start.run, outcome, now);
            }
        }
    }

    fn turn_for(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.turn();
        }
    }

    /// Restarts the worker; the calls that are under way have no answer.
    fn restart(&mut self, calls: &[Call]) {
        self.now = RESTART;
        self.worker.restart(self.now);
        for call in calls {
            match &call.order {
                CallOrder::Renewal(_) => {
                    let unknown = OrderOutcome::Unknown;
                    self.owner
                        .handle_renewal_failure(self.key, unknown, self.now);
                }
                CallOrder::Start(start, _) => self.owner.handle_start_outcome(
                    self.key,
                    start.task,
                    start.run,
                    OrderOutcome::Unknown,
                    self.now,
                ),
            }
        }
    }

    /// Returns the tasks that the worker executes as the owner, which no longer reaches it, has given up its runs.
    fn tasks_after_lapse(&mut self) -> Vec<TaskKey> {
        while self.owner.total_run_count() > 0 {
            self.now += TURN;
            self.owner.expire_leases(self.now);
            assert!(self.now < RESTART + ms(60_000), "the lease has not lapsed");
        }
        self.worker.advance_to(self.now);
        self.worker.running_tasks()
    }

    fn start_count(&self) -> usize {
        let events = self.worker.events().iter();
        events
            .filter(|(_, event)| matches!(event, WorkerEvent::Started(..)))
            .count()
    }
}

/// Guards against two runs of a task: a renewal of before the restart, carried out late, extended the new incarnation's lease
/// beyond what the owner counts.
#[test]
fn late_renewal_extends_no_lease_of_the_next_incarnation() {
    let mut scene = Scene::new(LONG_TASK);
    scene.turn_for(ms(1900));
    let late = scene.next_renewal();
    scene.restart(std::slice::from_ref(&late));
    scene.add_job(1);
    scene.turn_for(LATE_BY);
    assert_eq!(scene.worker.running_tasks().len(), 1);
    scene.carry_out_late(&late);
    assert_eq!(scene.tasks_after_lapse(), Vec::new());
}

/// Guards against two runs of a task: a start of before the restart, carried out late, extended the new incarnation's lease
/// beyond what the owner counts.
#[test]
fn late_start_extends_no_lease_of_the_next_incarnation() {
    let mut scene = Scene::new(LONG_TASK);
    scene.turn_for(ms(1900));
    scene.add_job(1);
    let late = scene.plan_starts();
    assert_eq!(late.len(), 1);
    scene.restart(&late);
    scene.add_job(2);
    scene.turn_for(LATE_BY);
    assert!(!scene.worker.running_tasks().is_empty());
    scene.carry_out_late(&late[0]);
    assert_eq!(scene.tasks_after_lapse(), Vec::new());
}

/// Guards against a task that runs again after it was done: a renewal of before the restart, carried out late, acknowledged ends
/// of the new incarnation that nobody had read.
#[test]
fn late_acknowledgement_forgets_no_end_of_the_next_incarnation() {
    let mut scene = Scene::new(SHORT_TASK);
    for number in 1..=3 {
        scene.add_job(number);
    }
    let late = scene.next_acknowledgement();
    assert_eq!(scene.start_count(), 3);
    scene.restart(std::slice::from_ref(&late));
    scene.turn_for(ms(1000));
    scene.carry_out_late(&late);
    scene.add_job(4);
    scene.turn_for(LATE_BY);
    assert_eq!(scene.start_count(), 4);
}

/// Guards against a start and an acknowledgement that reach a restarted worker before it refuses calls for its former incarnation.
#[test]
fn restarted_worker_gets_no_start_before_it_answers_with_its_own_token() {
    let mut scene = Scene::new(LONG_TASK);
    scene.turn_for(ms(1900));
    let token = scene.worker_token();
    scene.restart(&[]);
    scene.add_job(1);
    scene.turn();
    assert_eq!(scene.start_count(), 0);
    assert_eq!(scene.worker_token(), token + 1);
    let renewal = scene.owner.next_renewal(scene.key, true, scene.now);
    assert_eq!((renewal.acknowledged, renewal.max_wait), (0, ms(0)));
    scene.turn();
    assert_eq!(scene.start_count(), 1);
    assert_eq!(scene.worker_token(), token + 1);
}

/// Guards against calls with a successor's token, and against runs that late calls reach, on a worker that has restarted more often
/// than the term has tokens.
#[test]
fn worker_for_which_the_terms_tokens_are_used_up_gets_no_start() {
    let tokens = 3;
    let mut scene = Scene::with_former_token(LONG_TASK, Some(FIRST_OWNER - tokens));
    scene.turn_for(ms(1900));
    for restart in 1..=tokens {
        scene.worker.restart(scene.now);
        scene.turn_for(ms(200));
        let token = FIRST_OWNER - tokens + 1 + restart;
        assert_eq!(scene.worker_token(), token.min(FIRST_OWNER));
        scene.add_job(restart);
        scene.turn_for(ms(200));
        let runs = scene.worker.run_count();
        assert_eq!(runs > 0, restart < tokens, "after {restart} restarts");
    }
    let lapses_at = scene.worker.lease_lapses_at();
    scene.turn_for(ms(2000));
    assert!(scene.worker.lease_lapses_at() > lapses_at, "it is renewed");
}

/// Guards against a first owner that waits for orders of former ones, and a later one that does not, whatever its token.
#[test]
fn first_owner_is_the_one_without_a_former_one() {
    let is_granted = |former_token: Option<u64>| {
        let mut scene = Scene::with_former_token(LONG_TASK, former_token);
        scene.turn();
        assert!(scene.owner.is_takeover_complete());
        let mut service = step(50, &[]);
        service.long_running = true;
        let service = graph(vec![service]);
        let admission = scene
            .owner
            .admit(JobKey::new(9), QUEUE, &service, scene.now);
        admission == Admission::Granted
    };
    assert!(!is_granted(None));
    assert!(is_granted(Some(FIRST_OWNER - 1)));
    assert!(is_granted(Some(0)));
}

/// Guards against two runs of a task: a worker that was heard once since its restart, and is cut off before it follows the new
/// token, carries out a start for its former incarnation.
#[test]
fn late_start_on_a_worker_that_was_cut_off_before_its_fence_ends_first() {
    let mut scene = Scene::new(LONG_TASK);
    scene.turn_for(ms(1900));
    scene.add_job(1);
    let late = scene.plan_starts();
    scene.restart(&late);
    scene.turn();
    scene.now += ms(5000);
    scene.carry_out_late(&late[0]);
    assert_eq!(scene.worker.running_tasks().len(), 1, "carried out");
    assert_eq!(scene.tasks_after_lapse(), Vec::new());
}

/// Guards against two runs of a task: a worker that nobody has heard since its restart carries out a start for its former
/// incarnation.
#[test]
fn late_start_on_a_worker_that_is_silent_since_its_restart_ends_first() {
    let mut scene = Scene::new(LONG_TASK);
    scene.turn_for(ms(1900));
    scene.add_job(1);
    let late = scene.plan_starts();
    scene.restart(&late);
    scene.now += ms(3000);
    let record = scene.worker.record().clone();
    scene.owner.upsert_worker(record, None);
    scene.carry_out_late(&late[0]);
    assert_eq!(scene.worker.running_tasks().len(), 1, "carried out");
    assert_eq!(scene.tasks_after_lapse(), Vec::new());
}

/// Guards against tasks that wait for late calls although their starts were answered: they ended with the incarnation that ran them.
#[test]
fn answered_starts_end_with_their_incarnation_whatever_is_outstanding() {
    let mut scene = Scene::new(LONG_TASK);
    scene.turn_for(ms(1000));
    scene.add_job(1);
    scene.turn_for(ms(900));
    assert_eq!(scene.worker.running_tasks().len(), 1);
    scene.add_job(2);
    let late = scene.plan_starts();
    scene.restart(&late);
    let record = scene.worker.record().clone();
    scene.owner.upsert_worker(record, None);
    assert_eq!(scene.owner.total_run_count(), 2);
    scene.now += ms(6000);
    scene.owner.expire_leases(scene.now);
    assert_eq!(scene.owner.total_run_count(), 1);
}

/// Guards against a task that runs again after it was done: a renewal of before the restart, carried out before the new incarnation
/// has answered anyone, acknowledged ends of it that nobody had read.
#[test]
fn late_acknowledgement_before_the_first_answer_forgets_no_end() {
    let mut scene = Scene::new(SHORT_TASK);
    for number in 1..=3 {
        scene.add_job(number);
    }
    scene.turn_for(ms(1900));
    assert_eq!(scene.start_count(), 3);
    let late = scene.next_renewal();
    scene.restart(std::slice::from_ref(&late));
    scene.carry_out_late(&late);
    scene.turn_for(ms(1000));
    scene.add_job(4);
    scene.turn_for(LATE_BY);
    assert_eq!(scene.start_count(), 4);
}

/// Guards against a task that runs again after it was done: an acknowledgement that no renewal had carried before the restart was
/// carried out before the new incarnation had answered anyone.
#[test]
fn late_new_acknowledgement_before_the_first_answer_forgets_no_end() {
    let mut scene = Scene::new(SHORT_TASK);
    for number in 1..=3 {
        scene.add_job(number);
    }
    let late = scene.next_acknowledgement();
    assert_eq!(scene.start_count(), 3);
    scene.restart(std::slice::from_ref(&late));
    scene.carry_out_late(&late);
    scene.turn_for(ms(1000));
    scene.add_job(4);
    scene.turn_for(LATE_BY);
    assert_eq!(scene.start_count(), 4);
}

/// Guards against ends that stay with their worker for good: the renewal that acknowledged them had no answer. Guards also against
/// a renewal that repeats an answered acknowledgement, which a later incarnation may carry out.
#[test]
fn acknowledgement_is_repeated_until_it_is_answered() {
    let mut scene = Scene::new(SHORT_TASK);
    scene.add_job(1);
    for _ in 0..3 {
        let lost = scene.next_acknowledgement();
        assert_eq!(lost.acknowledged(), 1);
        let (key, now) = (scene.key, scene.now);
        scene
            .owner
            .handle_renewal_failure(key, OrderOutcome::Unknown, now);
    }
    let answered = scene.next_acknowledgement();
    assert_eq!(answered.acknowledged(), 1);
    scene.answer(answered);
    assert_eq!(scene.next_renewal().acknowledged(), 0);
    let events = scene.worker.events().iter();
    let acknowledged = events.filter(|(_, event)| matches!(event, WorkerEvent::Acknowledged(..)));
    assert_eq!(acknowledged.count(), 1);
}

/// Guards against two runs of a task: a worker confirmed the stop of a start that it had left unanswered, so that the task started
/// again, and its next incarnation, which knows of no stop, carries the start out.
#[test]
fn late_start_whose_stop_a_former_incarnation_confirmed_ends_first() {
    let mut scene = Scene::new(LONG_TASK);
    scene.turn_for(ms(1000));
    scene.add_job(1);
    let late = scene.plan_starts();
    let CallOrder::Start(start, _) = &late[0].order else {
        unreachable!();
    };
    let (task, run, now) = (start.task, start.run, scene.now);
    let unknown = OrderOutcome::Unknown;
    scene
        .owner
        .handle_start_outcome(scene.key, task, run, unknown, now);
    let stopped = scene.worker.stop(now, late[0].token, task, run);
    scene
        .owner
        .handle_stop_outcome(scene.key, task, run, stopped, now);
    scene.turn_for(ms(900));
    assert_eq!(scene.worker.running_tasks(), vec![task], "started again");
    scene.restart(&[]);
    let record = scene.worker.record().clone();
    scene.owner.upsert_worker(record, None);
    scene.now += ms(3000);
    scene.carry_out_late(&late[0]);
    assert_eq!(scene.worker.running_tasks().len(), 1, "carried out");
    assert_eq!(scene.tasks_after_lapse(), Vec::new());
}

/// Guards against two runs of a task: a worker restarts and is silent since, and neither an answer nor the registry tells of that
/// before its lease has lapsed; it carries out a start for its former incarnation.
#[test]
fn late_start_after_a_restart_that_nobody_knows_of_ends_first() {
    let mut scene = Scene::new(LONG_TASK);
    scene.turn_for(ms(1900));
    scene.add_job(1);
    let late = scene.plan_starts();
    scene.restart(&late);
    scene.now += ms(3000);
    scene.carry_out_late(&late[0]);
    assert_eq!(scene.worker.running_tasks().len(), 1, "carried out");
    assert_eq!(scene.tasks_after_lapse(), Vec::new());
}
