//! The demonstration: everything in one process, on loopback, under faults.

use std::{
    sync::Arc,
    time::Duration, //
};

use jasminebend_base::{
    ClassKind,
    ClassName,
    ClassTarget,
    Configuration,
    DomainName,
    DomainState,
    FailureDomain,
    IdempotencyRule,
    ResourceAmount,
    RouteRule,
    ServiceClass,
    ServiceName,
    TeamName,
    TeamQuota, //
};
use jasminebend_standins::{
    FaultKind,
    OutageState, //
};
use tokio::time::sleep;

use crate::{
    DemoError, DemoOptions, LogLevel, LogSettings,
    demo_callers::{
        DemoCallers,
        RequestKind, //
    },
    demo_client::DemoClient,
    demo_daemons::DemoDaemons,
    demo_jobs::DemoJobs,
    demo_operator::DemoOperator,
    demo_report::{
        ClassRow,
        DemoReport,
        ZeroCount, //
    },
    demo_site::{
        DOMAINS,
        DemoSite,
        SERVICE, //
    },
    demo_tally::{
        RequestFate,
        TallyCounts, //
    },
    set_up_log,
};

/// The failure domain that is taken out and back.
const OUT: &str = DOMAINS[1];
/// The failure domain whose daemon is lost and replaced.
const REPLACED: &str = DOMAINS[2];
/// How long after operators took it out a failure domain may still get work.
const GRACE: Duration = Duration::from_secs(3);
const OUTAGE: Duration = Duration::from_secs(5);
const LONGEST_FINISH: Duration = Duration::from_secs(60);
const SETTLE: Duration = Duration::from_secs(2);

/// Runs the demonstration.
///
/// # Errors
///
/// Any [`DemoError`]; [`DemoError::Violated`] if a count that must be zero is not.
pub async fn run(options: DemoOptions) -> Result<(), DemoError> {
    set_up_log(LogSettings {
        level: LogLevel::Error,
        ..LogSettings::default()
    })?;
    let client = DemoClient::new();
    let operator = DemoOperator::new(client.clone());
    let site = DemoSite::start(options.seed).await?;
    let mut daemons = DemoDaemons::start(&site, operator.clone(), options.seed).await?;
    configure(&operator, &daemons).await?;
    println!("Three daemons, six endpoints and six workers are up; faults follow.");
    let callers = DemoCallers::new(client, daemons.balancer.clone(), options.seed)?;
    let callers = Arc::new(callers);
    let jobs = DemoJobs::new(operator.clone(), daemons.balancer.clone(), options.seed);
    let jobs = Arc::new(jobs);
    let mut calls = callers.start();
    let submissions = tokio::spawn(Arc::clone(&jobs).submit_until_ended());
    let late = run_faults(&site, &operator, &mut daemons, &callers, options.seconds).await?;
    callers.end();
    jobs.end();
    while calls.join_next().await.is_some() {}
    // A task that panicked shows in the counts.
    let _ = submissions.await;
    let unfinished = jobs.wait_finished(&site.runs, LONGEST_FINISH).await;
    let report = report(&site, &callers, &jobs, late, unfinished);
    println!("\n{report}");
    if options.keep_running {
        serve_until_signal(&daemons).await;
    }
    daemons.stop().await;
    match report.violations() {
        0 => Ok(()),
        count => Err(DemoError::Violated { count }),
    }
}

async fn configure(operator: &DemoOperator, daemons: &DemoDaemons) -> Result<(), DemoError> {
    let daemon = daemons.balancer.pick(0).ok_or(DemoError::NotReady)?;
    operator
        .configure(daemon.administration, &configuration())
        .await?;
    sleep(SETTLE).await;
    Ok(())
}

/// Starts in the failure domain after it was out.
#[derive(Clone, Copy, Debug)]
struct LateStarts {
    requests: u64,
    tasks: usize,
}

/// Prints what became of the requests since the last time.
struct DemoProgress<'a> {
    callers: &'a DemoCallers,
    before: TallyCounts,
}

impl<'a> DemoProgress<'a> {
    fn new(callers: &'a DemoCallers) -> Self {
        Self {
            callers,
            before: TallyCounts::default(),
        }
    }

    fn print(&mut self) {
        let counts = self.callers.counts();
        let before = std::mem::replace(&mut self.before, counts);
        println!(
            "    {} sent, {} whole, {} refused as not run, {} unknown",
            counts.sent - before.sent,
            counts.whole - before.whole,
            counts.not_run - before.not_run,
            counts.unknown - before.unknown
        );
    }
}

async fn run_faults(
    site: &DemoSite,
    operator: &DemoOperator,
    daemons: &mut DemoDaemons,
    callers: &DemoCallers,
    seconds: u64,
) -> Result<LateStarts, DemoError> {
    let whole = Duration::from_secs(seconds);
    let mut progress = DemoProgress::new(callers);
    println!("Everything is well.");
    sleep(whole.mul_f64(0.15)).await;
    progress.print();
    let late = take_out_and_back(site, operator, daemons, whole.mul_f64(0.3)).await?;
    progress.print();
    bring_back(operator, daemons).await?;
    sleep(whole.mul_f64(0.05)).await;
    progress.print();
    drop_table(site).await;
    progress.print();
    println!("The table service is back.");
    sleep(whole.mul_f64(0.05)).await;
    progress.print();
    replace_daemon(site, daemons).await?;
    sleep(whole.mul_f64(0.2)).await;
    progress.print();
    Ok(late)
}

async fn take_out_and_back(
    site: &DemoSite,
    operator: &DemoOperator,
    daemons: &DemoDaemons,
    time: Duration,
) -> Result<LateStarts, DemoError> {
    let domain = DomainName::from(OUT);
    let daemon = daemons.balancer.pick(0).ok_or(DemoError::NotReady)?;
    println!("Failure domain `{domain}` is taken out.");
    operator
        .set_domain(daemon.administration, &domain, DomainState::Out)
        .await?;
    sleep(GRACE).await;
    let from = site.clock.monotonic();
    let arrived = site.arrivals_in(&domain);
    sleep(time.saturating_sub(GRACE).max(GRACE)).await;
    let until = site.clock.monotonic();
    let late = LateStarts {
        requests: site.arrivals_in(&domain) - arrived,
        tasks: site.runs.starts_in(&domain, from, until).len(),
    };
    Ok(late)
}

async fn bring_back(operator: &DemoOperator, daemons: &DemoDaemons) -> Result<(), DemoError> {
    let domain = DomainName::from(OUT);
    let daemon = daemons.balancer.pick(1).ok_or(DemoError::NotReady)?;
    println!("Failure domain `{domain}` is brought back.");
    let changed = operator
        .set_domain(daemon.administration, &domain, DomainState::In)
        .await;
    Ok(changed?)
}

async fn drop_table(site: &DemoSite) {
    println!("The table service is down for {} s.", OUTAGE.as_secs());
    let faults = site.table.faults();
    faults.set_outage(OutageState::Down(FaultKind::Unreachable));
    sleep(OUTAGE).await;
    faults.set_outage(OutageState::Up);
}

async fn replace_daemon(site: &DemoSite, daemons: &mut DemoDaemons) -> Result<(), DemoError> {
    println!("The daemon in `{REPLACED}` is lost, and another one is started.");
    daemons.kill_one(site);
    daemons.start_one(site, &DomainName::from(REPLACED)).await
}

fn report(
    site: &DemoSite,
    callers: &DemoCallers,
    jobs: &DemoJobs,
    late: LateStarts,
    unfinished: usize,
) -> DemoReport {
    let counts = jobs.counts();
    let rows = callers.kinds.iter().map(|kind| row(site, kind)).collect();
    DemoReport {
        classes: rows,
        submitted: counts.submitted,
        accepted: number(counts.accepted.len()),
        refused: counts.refused,
        unknown: counts.unknown,
        runs: site.runs.summary(),
        zeros: zeros(site, callers, late, unfinished),
    }
}

fn row(site: &DemoSite, kind: &RequestKind) -> ClassRow {
    ClassRow {
        name: kind.name,
        counts: kind.tally.counts(),
        run_twice: kind.tally.count(|id, _| site.requests.runs_of(id) > 1),
        refusals: kind.tally.refusals(),
    }
}

fn zeros(
    site: &DemoSite,
    callers: &DemoCallers,
    late: LateStarts,
    unfinished: usize,
) -> Vec<ZeroCount> {
    let runs = site.runs.summary();
    let sum = |count: &dyn Fn(&RequestKind) -> u64| callers.kinds.iter().map(count).sum();
    let zero = |what, count| ZeroCount { what, count };
    vec![
        zero("requests unaccounted for", sum(&unaccounted)),
        zero(
            "answers that were not the caller's own whole one",
            sum(&|kind| kind.tally.counts().wrong),
        ),
        zero(
            "non-idempotent requests run twice",
            sum(&|kind| run_twice(site, kind)),
        ),
        zero(
            "requests run although refused as not run",
            sum(&|kind| run_though_refused(site, kind)),
        ),
        zero(
            "whole answers to requests that no endpoint ran",
            sum(&|kind| answered_unrun(site, kind)),
        ),
        zero(
            "requests over an endpoint's slots",
            site.requests.over_slots(),
        ),
        zero(
            "connections over an endpoint's limit",
            site.requests.over_connections(),
        ),
        zero(
            "requests in the failure domain after it was out",
            late.requests,
        ),
        zero(
            "task starts in the failure domain after it was out",
            number(late.tasks),
        ),
        zero("tasks in two places at once", runs.overlaps),
        zero("tasks finished twice", runs.repeated_finishes),
        zero(
            "tasks resumed twice from one checkpoint",
            runs.repeated_resumes,
        ),
        zero(
            "tasks started after they had finished",
            runs.starts_after_finish,
        ),
        zero("workers over their capacity", runs.over_capacity),
        zero("accepted jobs that did not finish", number(unfinished)),
    ]
}

fn unaccounted(kind: &RequestKind) -> u64 {
    let counts = kind.tally.counts();
    let settled = counts.whole + counts.not_run + counts.unknown + counts.wrong;
    counts.sent.abs_diff(settled)
}

fn run_twice(site: &DemoSite, kind: &RequestKind) -> u64 {
    if kind.idempotent {
        return 0;
    }
    kind.tally.count(|id, _| site.requests.runs_of(id) > 1)
}

fn run_though_refused(site: &DemoSite, kind: &RequestKind) -> u64 {
    kind.tally
        .count(|id, fate| fate == RequestFate::NotRun && site.requests.runs_of(id) > 0)
}

fn answered_unrun(site: &DemoSite, kind: &RequestKind) -> u64 {
    kind.tally
        .count(|id, fate| matches!(fate, RequestFate::Whole(_)) && site.requests.runs_of(id) == 0)
}

fn number(count: usize) -> u64 {
    // CAST: `usize` has at most 64 bits on the machines that Rust's library supports.
    count as u64
}

async fn serve_until_signal(daemons: &DemoDaemons) {
    for daemon in daemons.balancer.ready() {
        println!(
            "callers {}   operators {}",
            daemon.callers, daemon.administration
        );
        println!("  curl -i http://{}/quote", daemon.callers);
        println!("  curl -i -d 'bench 7' http://{}/booking", daemon.callers);
        println!("  curl -s http://{}/v1/status", daemon.administration);
    }
    println!("Serving until a signal.");
    // Without signals there is nothing to wait for.
    let _ = tokio::signal::ctrl_c().await;
}

fn configuration() -> Configuration {
    Configuration {
        domains: DOMAINS.map(domain).to_vec(),
        classes: vec![
            service_class(
                "quote",
                "/quote",
                Duration::from_millis(200),
                IdempotencyRule::ByMethod,
            ),
            service_class(
                "booking",
                "/booking",
                Duration::from_millis(400),
                IdempotencyRule::Never,
            ),
            batch_class(),
        ],
        teams: vec![TeamQuota {
            name: TeamName::from("workshop"),
            limit: ResourceAmount::new(1_000_000, 1_000_000),
        }],
        ..Configuration::default()
    }
}

fn domain(name: &str) -> FailureDomain {
    FailureDomain {
        name: DomainName::from(name),
        region: "local".to_owned(),
        state: DomainState::In,
    }
}

fn service_class(
    name: &str,
    prefix: &str,
    target: Duration,
    idempotency: IdempotencyRule,
) -> ServiceClass {
    ServiceClass {
        name: ClassName::from(name),
        kind: ClassKind::Service,
        target: ClassTarget::AnswerWithin(target),
        service: Some(ServiceName::from(SERVICE)),
        route: Some(RouteRule {
            host: None,
            path_prefix: prefix.to_owned(),
        }),
        idempotency,
    }
}

fn batch_class() -> ServiceClass {
    ServiceClass {
        name: ClassName::from("reconciliation"),
        kind: ClassKind::Batch,
        target: ClassTarget::FinishWithin(Duration::from_secs(60)),
        service: None,
        route: None,
        idempotency: IdempotencyRule::ByMethod,
    }
}
