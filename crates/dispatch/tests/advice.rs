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
    AdviceRule,
    DispatchSettings,
    Dispatcher,
    FleetConfiguration,
    FleetWorker,
    JobKey,
    RenewalReport,
    WorkerKey,
    WorkerOrder, //
};

const VALIDITY: Duration = Duration::from_secs(5);

fn worker(number: usize) -> FleetWorker {
    FleetWorker {
        id: format!("worker-{number:02}").into(),
        vm: None,
        pool: "pool".into(),
        address: format!("worker-{number}:1"),
        domain: DomainName::from("domain-a"),
        labels: vec!["rack".into()],
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
