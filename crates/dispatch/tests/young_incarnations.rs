//! Leases and starts on workers whose incarnation began a short time ago, and may execute calls for the former one.

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
    DispatchSettings,
    Dispatcher,
    JobKey,
    LeaseRenewal,
    OrderOutcome,
    RestartMark,
    RunNumber,
    StartOrder,
    StepKey,
    TaskKey,
    WorkerClock,
    WorkerKey,
    WorkerOrder, //
};
use jasminebend_standins::{
    SimulatedWorker,
    TaskWork, //
};

/// When the owner of a test begins to act; its wall clock reads the same.
const BEGINS_AT: Duration = Duration::from_secs(200);
/// The interval between two plans.
const TURN: Duration = Duration::from_millis(50);

fn accept(owner: &mut Dispatcher, inherited: bool) {
    let configuration = configuration(3);
    owner.set_configuration(configuration.clone());
    let queue = configuration.queues.keys().next().expect("there is one");
    let job = AcceptedJob {
        queue: queue.clone(),
        rule: None,
        graph: graph(vec![step(1, &[])]).into(),
        accepted: BEGINS_AT,
        inherited,
    };
    owner.add_job(JobKey::new(7), job);
}

fn first_task() -> TaskKey {
    let step = StepKey {
        job: JobKey::new(7),
        occurrence: 0,
        step: 0,
    };
    step.task(0)
}

fn renew(owner: &mut Dispatcher, key: WorkerKey, worker: &mut SimulatedWorker, at: Duration) {
    let order = owner.next_renewal(key, true, at);
    let report = worker.renew_lease(at, owner.worker_token(key), order);
    let report = report.expect("the owner is not fenced");
    owner.handle_renewal_report(key, at, report, at);
}

fn starts(owner: &mut Dispatcher, at: Duration) -> bool {
    owner.expire_leases(at);
    let orders = owner.plan(at).orders;
    orders
        .iter()
        .any(|order| matches!(order, WorkerOrder::Start(_)))
}

/// Returns whether a successor would learn that calls for the worker's former incarnation may yet act; `None` if it would not learn
/// of a restart.
fn may_act_late(owner: &Dispatcher, now: Duration) -> Option<bool> {
    let marks = owner.restart_marks(now);
    marks.get("w0").map(|mark| mark.may_act_late)
}

fn simulated_worker(id: &str, born: Duration) -> SimulatedWorker {
    SimulatedWorker::new(id, ResourceAmount::new(4000, 4000), 100, born)
}

/// Whether a successor reaches a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Contact {
    /// Never.
    None,
    /// Never, but the registry shows that the worker has restarted since it was recorded.
    NoneSinceRestart,
    /// Once.
    Once,
}

/// Returns how long a successor waits for a lease of a worker of this age before it starts the worker's task again.
fn wait_for_worker(age: Option<Duration>, contact: Contact, is_wall_known: bool) -> Duration {
    let settings = DispatchSettings::default();
    let born = BEGINS_AT.saturating_sub(age.unwrap_or_default());
    let mut worker = simulated_worker("w0", born);
    worker.set_max_lease(settings.max_lease_duration);
    if age.is_none() {
        worker.record_mut().incarnation = None;
    }
    let start = StartOrder {
        worker: WorkerKey::new(0),
        task: first_task(),
        run: RunNumber::of_owner(1, 1),
        payload: "".into(),
        checkpoint: None,
        ticket: None,
    };
    let work = TaskWork {
        run_time: Duration::MAX,
        fails: false,
        size: ResourceAmount::new(1000, 100),
    };
    let far_deadline = Duration::from_secs(10_000);
    let outcome = worker.start(BEGINS_AT, 1, &start, far_deadline, work);
    assert_eq!(outcome, OrderOutcome::Taken);
    let mut spare = simulated_worker("w1", ms(1000));
    let mut successor = Dispatcher::new(2, settings);
    if is_wall_known {
        successor.note_wall(BEGINS_AT, BEGINS_AT);
    }
    let until = BEGINS_AT + successor.inherited_orders_lifetime(true);
    let mut recorded = worker.record().clone();
    if contact == Contact::NoneSinceRestart {
        recorded.incarnation = Some(ms(1000));
    }
    successor.upsert_worker(recorded, Some(until));
    let key = successor.upsert_worker(worker.record().clone(), Some(until));
    let other = successor.upsert_worker(spare.record().clone(), Some(until));
    accept(&mut successor, true);
    if contact == Contact::Once {
        renew(&mut successor, key, &mut worker, BEGINS_AT);
    }
    let mut at = BEGINS_AT;
    while !starts(&mut successor, at) {
        at += TURN;
        renew(&mut successor, other, &mut spare, at);
        assert!(at < BEGINS_AT + ms(60_000), "the task starts again");
    }
    at - BEGINS_AT
}

/// Guards against two runs of a task: an incarnation that began lately executes calls for the former one, under the longest lease.
#[test]
fn successor_waits_for_the_longest_lease_of_a_young_worker() {
    let settings = DispatchSettings::default();
    let longest = settings.max_lease_duration + settings.max_stop_duration;
    for age in [Some(ms(0)), Some(ms(2000)), Some(ms(19_000)), None] {
        let wait = wait_for_worker(age, Contact::Once, true);
        assert!(wait >= longest, "{age:?}: {wait:?}");
        let wait = wait_for_worker(age, Contact::NoneSinceRestart, true);
        assert!(age.is_none() || wait >= longest, "{age:?}: {wait:?}");
    }
    for contact in [Contact::Once, Contact::NoneSinceRestart] {
        let wait = wait_for_worker(Some(ms(60_000)), contact, false);
        assert!(wait >= longest, "unknown wall, {contact:?}: {wait:?}");
    }
}

/// Guards against tasks that stand still after a takeover: every worker is young once.
#[test]
fn successor_waits_for_a_regular_lease_of_a_young_worker_that_has_not_restarted() {
    let settings = DispatchSettings::default();
    let regular = WorkerClock::longest(settings.lease_duration + settings.max_stop_duration);
    for age in [ms(0), ms(2000), ms(19_000)] {
        let wait = wait_for_worker(Some(age), Contact::None, true);
        assert!(wait <= regular + 2 * TURN, "{age:?}: {wait:?}");
    }
}

/// Guards against tasks of lost workers that wait longer than usual although nothing has restarted.
#[test]
fn successor_waits_for_a_regular_lease_of_an_old_worker() {
    let settings = DispatchSettings::default();
    let regular = WorkerClock::longest(settings.lease_duration + settings.max_stop_duration);
    for contact in [Contact::None, Contact::NoneSinceRestart, Contact::Once] {
        let wait = wait_for_worker(Some(ms(33_000)), contact, true);
        assert!(wait <= regular + 2 * TURN, "{contact:?}: {wait:?}");
    }
}

/// An owner that starts runs only on recorded workers, and a worker that has just restarted in its term.
struct RestartedWorker {
    owner: Dispatcher,
    key: WorkerKey,
    worker: SimulatedWorker,
    now: Duration,
}

impl RestartedWorker {
    fn new(is_born_known: bool) -> Self {
        let mut worker = simulated_worker("w0", ms(1000));
        if !is_born_known {
            worker.record_mut().incarnation = None;
        }
        let owner = Dispatcher::new(256, DispatchSettings::default());
        let mut owner = owner.with_former_token(None);
        owner.note_wall(BEGINS_AT, BEGINS_AT);
        owner.require_recorded_workers();
        let key = owner.upsert_worker(worker.record().clone(), None);
        let mut this = Self {
            owner,
            key,
            worker,
            now: BEGINS_AT,
        };
        this.record();
        this.renew();
        this.now += ms(100);
        this.worker.restart(this.now);
        if !is_born_known {
            this.worker.record_mut().incarnation = None;
        }
        this.renew();
        accept(&mut this.owner, false);
        this
    }

    fn record(&mut self) {
        let records = self.owner.begin_recording();
        self.owner.finish_recording(&records);
    }

    fn register(&mut self) {
        let record = self.worker.record().clone();
        self.owner.upsert_worker(record, None);
    }

    fn renew(&mut self) {
        renew(&mut self.owner, self.key, &mut self.worker, self.now);
    }

    /// Returns whether the task starts within `time`.
    fn starts_within(&mut self, time: Duration) -> bool {
        let until = self.now + time;
        while self.now < until {
            self.now += TURN;
            self.renew();
            if starts(&mut self.owner, self.now) {
                return true;
            }
        }
        false
    }
}

/// Guards against two runs of a task: a successor learns neither from the registry nor from the records that a worker has restarted.
#[test]
fn runs_start_on_a_restarted_worker_once_a_successor_would_know_of_it() {
    let mut restarted = RestartedWorker::new(true);
    assert!(!restarted.starts_within(ms(1000)));
    restarted.record();
    assert!(!restarted.starts_within(ms(1000)), "not registered");
    restarted.register();
    assert!(!restarted.starts_within(ms(1000)), "not recorded");
    restarted.record();
    assert!(restarted.starts_within(ms(100)));
}

/// Guards against a restarted worker that stays idle while the store is away.
#[test]
fn runs_start_on_a_restarted_worker_once_its_longest_lease_has_passed() {
    let mut restarted = RestartedWorker::new(true);
    assert!(!restarted.starts_within(ms(10_000)));
    assert!(restarted.starts_within(ms(2000)));
}

/// Guards against a worker that stays idle since nothing tells when it began.
#[test]
fn runs_start_on_a_worker_of_unknown_age() {
    assert!(RestartedWorker::new(false).starts_within(ms(100)));
}

/// Guards against an order that is sent to a worker after its owner has learnt of its restart.
#[test]
fn planned_start_is_dropped_when_its_worker_has_restarted() {
    let mut restarted = RestartedWorker::new(true);
    restarted.register();
    restarted.record();
    restarted.now += TURN;
    restarted.renew();
    let orders = restarted.owner.plan(restarted.now).orders;
    let [WorkerOrder::Start(start)] = &orders[..] else {
        panic!("{orders:?}");
    };
    restarted.worker.restart(restarted.now);
    let order = LeaseRenewal {
        deadline: None,
        acknowledged: 0,
        max_wait: Duration::ZERO,
    };
    let report = restarted.worker.renew_lease(restarted.now, 1, order);
    let report = report.expect("the owner is not fenced");
    let (key, now) = (restarted.key, restarted.now);
    restarted
        .owner
        .handle_renewal_report(key, now - TURN, report, now);
    assert!(!restarted.owner.is_start_still_valid(start));
}

/// How a successor learns that a worker has restarted, which it does not reach.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RestartSign {
    /// The former owner has it on record.
    Recorded,
    /// The registry lists another incarnation than the former owner's record.
    Listed,
}

/// Guards against two runs of a task: a young worker that a successor doesn't reach carries out a start for its former incarnation
/// after the former owners have stopped.
#[test]
fn late_start_on_a_young_worker_that_is_not_reached_ends_first() {
    for sign in [RestartSign::Recorded, RestartSign::Listed] {
        for is_wall_known in [false, true] {
            check_late_start(sign, is_wall_known);
        }
    }
}

fn check_late_start(sign: RestartSign, is_wall_known: bool) {
    let settings = DispatchSettings::default();
    let born = BEGINS_AT - ms(1000);
    let mut worker = simulated_worker("w0", born);
    worker.set_max_lease(settings.max_lease_duration);
    let start = StartOrder {
        worker: WorkerKey::new(0),
        task: first_task(),
        run: RunNumber::of_owner(1, 1),
        payload: "".into(),
        checkpoint: None,
        ticket: None,
    };
    let work = TaskWork {
        run_time: Duration::MAX,
        fails: false,
        size: ResourceAmount::new(1000, 100),
    };
    let mut spare = simulated_worker("w1", ms(1000));
    let mut successor = Dispatcher::new(2, settings);
    if is_wall_known {
        successor.note_wall(BEGINS_AT, BEGINS_AT);
    }
    let until = BEGINS_AT + successor.inherited_orders_lifetime(true);
    let mut recorded = worker.record().clone();
    if sign == RestartSign::Listed {
        recorded.incarnation = Some(ms(1000));
    }
    successor.upsert_worker(recorded, Some(until));
    if sign == RestartSign::Recorded {
        let mark = RestartMark {
            incarnation: born,
            may_act_late: true,
        };
        successor.inherit_restart("w0", mark);
    }
    successor.upsert_worker(worker.record().clone(), Some(until));
    let other = successor.upsert_worker(spare.record().clone(), Some(until));
    accept(&mut successor, true);
    let carried_out_at = BEGINS_AT + ms(3000);
    let mut at = BEGINS_AT;
    while !starts(&mut successor, at) {
        at += TURN;
        if at == carried_out_at {
            let far_deadline = Duration::from_secs(10_000);
            let outcome = worker.start(at, 1, &start, far_deadline, work);
            assert_eq!(outcome, OrderOutcome::Taken);
        }
        renew(&mut successor, other, &mut spare, at);
        assert!(at < BEGINS_AT + ms(60_000), "the task starts again");
    }
    worker.advance_to(at);
    assert_eq!(worker.running_tasks(), Vec::new(), "{:?}", at - BEGINS_AT);
}

/// Guards against a takeover that waits for late calls although the worker refuses them, or none is outstanding.
#[test]
fn restart_of_which_no_call_can_act_late_is_recorded_as_such() {
    let mut answered = RestartedWorker::new(true);
    assert_eq!(may_act_late(&answered.owner, answered.now), Some(false));
    assert!(answered.owner.take_changed_restarts());
    assert!(!answered.owner.take_changed_restarts());
    answered
        .owner
        .handle_renewal_failure(answered.key, OrderOutcome::Unknown, answered.now);
    answered.now += ms(100);
    answered.worker.restart(answered.now);
    answered.register();
    assert_eq!(may_act_late(&answered.owner, answered.now), Some(true));
    answered.renew();
    assert_eq!(may_act_late(&answered.owner, answered.now), Some(true));
    answered.owner.take_changed_restarts();
    answered.renew();
    assert_eq!(may_act_late(&answered.owner, answered.now), Some(false));
    assert!(answered.owner.take_changed_restarts());
    assert_eq!(
        may_act_late(&answered.owner, answered.now + ms(40_000)),
        None
    );
}

/// Guards against a restart that a successor takes for an earlier one: the registry lists an incarnation that has restarted since.
#[test]
fn late_entry_of_an_earlier_incarnation_marks_no_restart() {
    let mut restarted = RestartedWorker::new(true);
    let entry = restarted.worker.record().clone();
    restarted.now += ms(100);
    restarted.worker.restart(restarted.now);
    restarted.renew();
    restarted.renew();
    restarted.owner.upsert_worker(entry, None);
    let marks = restarted.owner.restart_marks(restarted.now);
    let mark = RestartMark {
        incarnation: restarted.now,
        may_act_late: false,
    };
    assert_eq!(marks.get("w0"), Some(&mark));
}

/// Guards against two runs of a task: calls were under way as the registry told of a restart, their owner was killed before it
/// found them unanswered, and its successor waits as if none could act late.
#[test]
fn calls_under_way_at_a_restart_are_recorded_as_outstanding() {
    for (is_renewing, is_starting) in [(false, false), (true, false), (false, true)] {
        let mut restarted = RestartedWorker::new(true);
        restarted.register();
        restarted.record();
        restarted.renew();
        assert_eq!(
            may_act_late(&restarted.owner, restarted.now),
            Some(false),
            "the worker follows its token"
        );
        restarted.now += TURN;
        if is_starting {
            assert!(starts(&mut restarted.owner, restarted.now));
        }
        if is_renewing {
            restarted
                .owner
                .next_renewal(restarted.key, true, restarted.now);
        }
        restarted.now += TURN;
        restarted.worker.restart(restarted.now);
        restarted.register();
        assert_eq!(
            may_act_late(&restarted.owner, restarted.now),
            Some(is_renewing || is_starting),
            "renewal {is_renewing}, start {is_starting}"
        );
    }
}

/// Guards against a takeover that waits for a start which the worker had answered as the registry told of its restart.
#[test]
fn answered_start_is_not_recorded_as_outstanding() {
    let mut restarted = RestartedWorker::new(true);
    restarted.register();
    restarted.record();
    restarted.renew();
    restarted.now += TURN;
    let orders = restarted.owner.plan(restarted.now).orders;
    let [WorkerOrder::Start(start)] = &orders[..] else {
        panic!("{orders:?}");
    };
    let (key, now) = (restarted.key, restarted.now);
    let (task, run) = (start.task, start.run);
    restarted
        .owner
        .handle_start_outcome(key, task, run, OrderOutcome::Taken, now);
    restarted.now += TURN;
    restarted.worker.restart(restarted.now);
    restarted.register();
    assert_eq!(may_act_late(&restarted.owner, restarted.now), Some(false));
}
