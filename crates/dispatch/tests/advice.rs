//! Requests to the advice service, which allows only some workers to run a step.

mod common;

use std::{
    sync::Arc,
    time::Duration, //
};

use common::{
    configuration,
    graph,
    ms,
    step, //
};
use jasminebend_base::{
    DomainName,
    ResourceAmount, //
};
use jasminebend_dispatch::{
    AcceptedJob,
    AdviceRequest,
    AdviceRule,
    DispatchSettings,
    Dispatcher,
    FleetConfiguration,
    FleetWorker,
    JobKey,
    OrderOutcome,
    RenewalReport,
    RunNumber,
    RunningTask,
    StepSpec,
    TaskKey,
    WorkerKey,
    WorkerOrder, //
};

/// Leaves a term tokens for each incarnation of a worker that restarts.
const FENCING_TOKEN: u64 = 256;
const VALIDITY: Duration = Duration::from_secs(5);

fn worker_id(number: usize) -> Arc<str> {
    format!("worker-{number:02}").into()
}

fn worker(number: usize) -> FleetWorker {
    FleetWorker {
        id: worker_id(number),
        vm: None,
        pool: "pool".into(),
        address: format!("worker-{number}:1"),
        domain: DomainName::from("domain-a"),
        labels: vec!["rack".into(), format!("only-{number}").into()],
        capacity: ResourceAmount::new(4000, 4000),
        draining: false,
        incarnation: None,
    }
}

fn configuration_with_advice() -> Arc<FleetConfiguration> {
    let mut configuration = FleetConfiguration::clone(&configuration(3));
    for rule in configuration.queues.values_mut() {
        rule.advice = Some(AdviceRule {
            base_duration: ms(20),
            per_worker_duration: ms(5),
            validity: VALIDITY,
        });
    }
    Arc::new(configuration)
}

/// Guards against a step that waits for good beside empty workers: each request names the same workers, none of which
/// may run it.
#[test]
fn advice_is_requested_for_every_worker_of_a_large_pool() {
    for allowed in ["worker-00", "worker-39"] {
        let mut dispatcher = Dispatcher::new(1, DispatchSettings::default());
        dispatcher.set_configuration(configuration_with_advice());
        let keys: Vec<WorkerKey> = (0..40)
            .map(|number| dispatcher.upsert_worker(worker(number), None))
            .collect();
        let job = AcceptedJob {
            queue: "queue".into(),
            rule: None,
            graph: Arc::new(graph(vec![step(1, &[])])),
            accepted: ms(1000),
            inherited: false,
        };
        dispatcher.add_job(JobKey::new(1), job);
        let mut starts = 0;
        for turn in 0..300 {
            let now = ms(1000 + turn * 100);
            for &key in &keys {
                dispatcher.next_renewal(key, true, now);
                let report = RenewalReport {
                    clock: now,
                    incarnation: None,
                    running: Vec::new(),
                    completions: Vec::new(),
                };
                dispatcher.handle_renewal_report(key, now, report, now);
            }
            let outcome = dispatcher.plan(now);
            let is_start = |order: &&WorkerOrder| matches!(order, WorkerOrder::Start(_));
            starts += outcome.orders.iter().filter(is_start).count();
            for request in outcome.advice_requests {
                let named = request.workers.into_iter();
                let tickets = named
                    .filter(|id| **id == *allowed)
                    .map(|id| (id, Arc::from("ticket")));
                dispatcher.store_tickets(request.step, tickets.collect(), now + VALIDITY);
            }
        }
        assert!(starts > 0, "{allowed} is never used");
    }
}

/// A pool of equal workers, whose advice service answers at once.
struct Site {
    dispatcher: Dispatcher,
    now: Duration,
    keys: Vec<WorkerKey>,
    running: Vec<(WorkerKey, TaskKey, RunNumber)>,
    /// The time of each request for advice and the number of workers that it names.
    requests: Vec<(Duration, usize)>,
    /// The number of requests that get no answer from now on.
    lost_answers: usize,
    /// The numbers of the workers that may run any step.
    permitted: Vec<usize>,
}

impl Site {
    fn new(workers: usize, permitted: Vec<usize>) -> Self {
        let mut dispatcher = Dispatcher::new(1, DispatchSettings::default());
        dispatcher.set_configuration(configuration_with_advice());
        let mut site = Self {
            dispatcher,
            now: ms(1000),
            keys: Vec::new(),
            running: Vec::new(),
            requests: Vec::new(),
            lost_answers: 0,
            permitted,
        };
        for _ in 0..workers {
            site.add_worker();
        }
        site
    }

    fn add_worker(&mut self) {
        let record = worker(self.keys.len());
        let key = self.dispatcher.upsert_worker(record, None);
        self.keys.push(key);
    }

    /// Submits a job of tasks that each take a whole worker.
    fn submit(&mut self, number: u64, count: u32, label: Option<&str>) {
        let spec = StepSpec {
            size: ResourceAmount::new(4000, 4000),
            label: label.map(Arc::from),
            long_running: true,
            ..step(count, &[])
        };
        let job = AcceptedJob {
            queue: "queue".into(),
            rule: None,
            graph: Arc::new(graph(vec![spec])),
            accepted: self.now,
            inherited: false,
        };
        self.dispatcher.add_job(JobKey::new(number), job);
    }

    /// Advances the time until a job runs, and returns how long that took; `None` after `limit`.
    fn time_until_start(&mut self, number: u64, limit: Duration) -> Option<Duration> {
        let began = self.now;
        while self.now < began + limit {
            self.advance();
            let mut running = self.running.iter();
            if running.any(|(_, task, _)| task.job() == JobKey::new(number)) {
                return Some(self.now - began);
            }
        }
        None
    }

    fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.advance();
        }
    }

    fn advance(&mut self) {
        self.now += ms(100);
        for &key in &self.keys {
            self.dispatcher.next_renewal(key, true, self.now);
            let here = self.running.iter().filter(|(at, ..)| *at == key);
            let running = here.map(|&(_, task, run)| RunningTask {
                task,
                run,
                checkpoint: None,
                progress_percent: 100,
                metric: None,
            });
            let report = RenewalReport {
                clock: self.now,
                incarnation: None,
                running: running.collect(),
                completions: Vec::new(),
            };
            self.dispatcher
                .handle_renewal_report(key, self.now, report, self.now);
        }
        let outcome = self.dispatcher.plan(self.now);
        for order in outcome.orders {
            self.carry_out(&order);
        }
        for request in outcome.advice_requests {
            self.answer(&request);
        }
    }

    fn carry_out(&mut self, order: &WorkerOrder) {
        let taken = OrderOutcome::Taken;
        match order {
            WorkerOrder::Start(start) => {
                self.running.push((start.worker, start.task, start.run));
                self.dispatcher.handle_start_outcome(
                    start.worker,
                    start.task,
                    start.run,
                    taken,
                    self.now,
                );
            }
            WorkerOrder::Stop { worker, task, run } => {
                self.running
                    .retain(|running| *running != (*worker, *task, *run));
                self.dispatcher
                    .handle_stop_outcome(*worker, *task, *run, taken, self.now);
            }
            WorkerOrder::Throttle { .. } => {}
        }
    }

    fn answer(&mut self, request: &AdviceRequest) {
        self.requests.push((self.now, request.workers.len()));
        if self.lost_answers > 0 {
            self.lost_answers -= 1;
            return;
        }
        let permitted = self.permitted.iter().map(|number| worker_id(*number));
        let good = permitted.filter(|id| request.workers.contains(id));
        let tickets = good.map(|id| (id, Arc::from("ticket"))).collect();
        self.dispatcher
            .store_tickets(request.step, tickets, self.now + VALIDITY);
    }
}

/// Guards against a step that stands beside free workers for a long time in a very large pool: each request names only a part
/// of the workers and the next one waited for the retry interval.
#[test]
fn permitted_worker_of_a_very_large_pool_is_soon_found() {
    for permitted in [0, 199, 399] {
        let mut site = Site::new(400, vec![permitted]);
        site.submit(1, 1, None);
        let wait = site.time_until_start(1, ms(30_000));
        assert!(
            wait.is_some_and(|wait| wait < ms(2500)),
            "{permitted}: {wait:?}"
        );
    }
}

/// Guards against a step that waits for the ticket of an occupied worker to expire although a free worker may run it.
#[test]
fn advice_is_requested_although_an_occupied_worker_is_permitted() {
    let mut site = Site::new(40, vec![0, 39]);
    site.submit(1, 1, Some("only-39"));
    site.submit(2, 1, None);
    let wait = site.time_until_start(2, ms(30_000));
    assert!(wait.is_some_and(|wait| wait < ms(1000)), "{wait:?}");
}

/// Guards against naming all other workers again before the ticket of the only permitted one is renewed.
#[test]
fn ticket_of_a_permitted_worker_is_renewed_first() {
    let mut site = Site::new(400, vec![0]);
    for round in 0..10 {
        let (holder, waiter) = (2 * round + 1, 2 * round + 2);
        site.submit(holder, 1, Some("only-0"));
        assert!(site.time_until_start(holder, ms(3000)).is_some());
        site.submit(waiter, 1, None);
        site.run_for(ms(10_000 + 700 * round));
        site.dispatcher.cancel_job(JobKey::new(holder));
        let wait = site.time_until_start(waiter, ms(30_000));
        assert!(wait.is_some_and(|wait| wait < ms(2500)), "{wait:?}");
        site.dispatcher.cancel_job(JobKey::new(waiter));
    }
}

/// Guards against a new worker that no request names because each one renews the tickets of occupied workers.
#[test]
fn advice_is_requested_for_a_new_worker_beside_many_permitted_ones() {
    let mut site = Site::new(150, (0..=150).collect());
    site.submit(1, 150, None);
    site.run_for(ms(5000));
    assert_eq!(site.running.len(), 150);
    site.submit(2, 400, None);
    site.run_for(ms(20_000));
    site.add_worker();
    let wait = site.time_until_start(2, ms(30_000));
    assert!(wait.is_some_and(|wait| wait < ms(3500)), "{wait:?}");
}

/// Guards against frequent calls that can't help: the step has tickets, and each worker is occupied.
#[test]
fn little_advice_is_requested_while_all_workers_are_occupied() {
    let mut site = Site::new(40, (0..40).collect());
    site.submit(1, 40, None);
    site.run_for(ms(5000));
    assert_eq!(site.running.len(), 40);
    site.requests.clear();
    site.submit(2, 1, None);
    site.run_for(ms(10_000));
    assert!(site.requests.len() <= 3, "{:?}", site.requests);
}

/// Guards against a step whose advice is never requested again after an answer was lost, or only after that for all other
/// workers, and against calls that pile up because each is repeated at once.
#[test]
fn lost_advice_is_requested_again() {
    let mut site = Site::new(400, vec![399]);
    site.lost_answers = 1;
    site.submit(1, 1, None);
    let wait = site.time_until_start(1, ms(30_000));
    assert!(wait.is_some_and(|wait| wait < ms(2000)), "{wait:?}");
    assert!(site.requests[1].0 >= site.requests[0].0 + ms(1500));
}

/// Guards against calls without a pause, and against too large ones, while no worker is permitted.
#[test]
fn advice_is_requested_at_intervals_while_no_worker_is_permitted() {
    let mut site = Site::new(400, Vec::new());
    site.submit(1, 1, None);
    site.run_for(ms(3000));
    assert!(
        site.requests
            .iter()
            .all(|(_, named)| (1..=100).contains(named))
    );
    assert_eq!(
        site.requests
            .iter()
            .map(|(_, named)| named)
            .take(13)
            .sum::<usize>(),
        390
    );
    site.requests.clear();
    site.run_for(ms(30_000));
    let is_apart = |pair: &[(Duration, usize)]| pair[1].0 >= pair[0].0 + ms(1500);
    assert!(site.requests.windows(2).all(is_apart));
    assert!(site.requests.len() >= 15);
}

/// An owner with a job of one task, and one worker that restarts.
struct RestartingSite {
    dispatcher: Dispatcher,
    key: WorkerKey,
    born: Duration,
}

impl RestartingSite {
    fn new() -> Self {
        let mut dispatcher =
            Dispatcher::new(FENCING_TOKEN, DispatchSettings::default()).with_former_token(None);
        dispatcher.set_configuration(configuration_with_advice());
        let key = dispatcher.upsert_worker(worker(0), None);
        let job = AcceptedJob {
            queue: "queue".into(),
            rule: None,
            graph: Arc::new(graph(vec![step(1, &[])])),
            accepted: ms(1000),
            inherited: false,
        };
        dispatcher.add_job(JobKey::new(1), job);
        Self {
            dispatcher,
            key,
            born: ms(500),
        }
    }

    /// Restarts the worker; the registry lists its new incarnation.
    fn restart(&mut self, now: Duration) {
        self.born = now;
        let listed = FleetWorker {
            incarnation: Some(now),
            ..worker(0)
        };
        self.dispatcher.upsert_worker(listed, None);
    }

    /// Answers a renewal, and returns the number of starts that are ordered, and the requests for advice.
    fn plan(&mut self, now: Duration) -> (usize, Vec<AdviceRequest>) {
        self.dispatcher.next_renewal(self.key, true, now);
        let report = RenewalReport {
            clock: now,
            incarnation: Some(self.born),
            running: Vec::new(),
            completions: Vec::new(),
        };
        self.dispatcher
            .handle_renewal_report(self.key, now, report, now);
        let outcome = self.dispatcher.plan(now);
        let is_start = |order: &&WorkerOrder| matches!(order, WorkerOrder::Start(_));
        let starts = outcome.orders.iter().filter(is_start).count();
        (starts, outcome.advice_requests)
    }

    fn store_ticket(&mut self, request: &AdviceRequest, now: Duration) {
        let ticket = (worker_id(0), Arc::from("ticket"));
        self.dispatcher
            .store_tickets(request.step, vec![ticket], now + VALIDITY);
    }
}

/// Guards against starts that the worker refuses: it restarted after its ticket was issued, or while the
/// request was under way that the ticket answers.
#[test]
fn ticket_that_was_requested_before_a_restart_is_not_used() {
    for (restarts, answered_at) in [(false, 1300), (true, 1050), (true, 1300)] {
        let mut site = RestartingSite::new();
        let (_, requests) = site.plan(ms(1000));
        assert_eq!(requests.len(), 1);
        if answered_at < 1100 {
            site.store_ticket(&requests[0], ms(answered_at));
        }
        if restarts {
            site.restart(ms(1100));
        }
        site.plan(ms(1200));
        if answered_at > 1100 {
            site.store_ticket(&requests[0], ms(answered_at));
        }
        let mut asked = Vec::new();
        let mut starts = 0;
        for turn in 0..25 {
            let (ordered, requests) = site.plan(ms(1400 + turn * 100));
            starts += ordered;
            asked.extend(requests);
        }
        assert_eq!(starts, usize::from(!restarts));
        if restarts {
            let request = asked.last().expect("advice is requested again");
            site.store_ticket(request, ms(4000));
            assert_eq!(site.plan(ms(4000)).0, 1, "the next ticket is not used");
        }
    }
}

/// Guards against starts that the worker refuses: a ticket was issued for a former incarnation of the worker.
#[test]
fn ticket_of_a_former_incarnation_is_not_used() {
    let mut dispatcher =
        Dispatcher::new(FENCING_TOKEN, DispatchSettings::default()).with_former_token(None);
    dispatcher.set_configuration(configuration_with_advice());
    let key = dispatcher.upsert_worker(worker(0), None);
    let answer = |dispatcher: &mut Dispatcher, born: Duration, now: Duration| {
        dispatcher.next_renewal(key, true, now);
        let report = RenewalReport {
            clock: now,
            incarnation: Some(born),
            running: Vec::new(),
            completions: Vec::new(),
        };
        dispatcher.handle_renewal_report(key, now, report, now);
    };
    let job = AcceptedJob {
        queue: "queue".into(),
        rule: None,
        graph: Arc::new(graph(vec![step(1, &[])])),
        accepted: ms(1000),
        inherited: false,
    };
    dispatcher.add_job(JobKey::new(1), job);
    answer(&mut dispatcher, ms(500), ms(1000));
    let requests = dispatcher.plan(ms(1000)).advice_requests;
    assert_eq!(requests.len(), 1);
    let ticket = (worker_id(0), Arc::from("ticket"));
    dispatcher.store_tickets(requests[0].step, vec![ticket], ms(1100) + VALIDITY);
    for now in [ms(1200), ms(1250)] {
        answer(&mut dispatcher, ms(1150), now);
    }
    let orders = dispatcher.plan(ms(1250)).orders;
    assert!(orders.is_empty(), "{orders:?}");
}
