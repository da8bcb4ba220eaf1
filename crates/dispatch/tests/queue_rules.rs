//! Rules of queues with extreme values.

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
    DispatchSettings,
    Dispatcher,
    FleetConfiguration,
    FleetWorker,
    JobKey,
    RenewalReport,
    WorkerOrder, //
};

fn worker() -> FleetWorker {
    FleetWorker {
        id: "worker-0".into(),
        vm: None,
        pool: "pool".into(),
        address: "worker-0:1".to_owned(),
        domain: DomainName::from("domain-a"),
        labels: Vec::new(),
        capacity: ResourceAmount::new(4000, 4000),
        draining: false,
        incarnation: None,
    }
}

/// Returns the number of starts that an owner orders for a job of two steps whose queue has this rule.
fn starts_with(factor: f64, allowance: Duration) -> usize {
    let mut rules = FleetConfiguration::clone(&configuration(3));
    for rule in rules.queues.values_mut() {
        rule.duration_factor = factor;
        rule.duration_allowance = allowance;
    }
    let mut dispatcher = Dispatcher::new(1, DispatchSettings::default());
    dispatcher.set_configuration(Arc::new(rules));
    let key = dispatcher.upsert_worker(worker(), None);
    let job = AcceptedJob {
        queue: "queue".into(),
        rule: None,
        graph: Arc::new(graph(vec![step(1, &[]), step(1, &[0])])),
        accepted: ms(1000),
        inherited: false,
    };
    dispatcher.add_job(JobKey::new(1), job);
    let mut starts = 0;
    for turn in 0..20 {
        let now = ms(1000 + turn * 100);
        dispatcher.next_renewal(key, true, now);
        let report = RenewalReport {
            clock: now,
            incarnation: None,
            running: Vec::new(),
            completions: Vec::new(),
        };
        dispatcher.handle_renewal_report(key, now, report, now);
        let orders = dispatcher.plan(now).orders;
        let is_start = |order: &&WorkerOrder| matches!(order, WorkerOrder::Start(_));
        starts += orders.iter().filter(is_start).count();
    }
    starts
}

/// Guards against an owner that ends, and each successor after it, at a rule that yields an objective beyond any duration.
#[test]
fn extreme_rules_of_a_queue_end_no_owner() {
    let factors = [
        0.0,
        -1.0,
        f64::NAN,
        f64::INFINITY,
        f64::MAX,
        1e300,
        1e19,
        2.0,
    ];
    for factor in factors {
        for allowance in [
            Duration::ZERO,
            Duration::from_secs(u64::MAX / 2),
            Duration::MAX,
        ] {
            assert!(
                starts_with(factor, allowance) > 0,
                "{factor}, {allowance:?}"
            );
        }
    }
}
