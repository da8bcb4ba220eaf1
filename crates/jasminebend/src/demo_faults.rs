//! The sequence of faults that the demonstration injects.

use std::time::Duration;

use jasminebend_base::{
    DomainName,
    DomainState, //
};
use jasminebend_standins::{
    FaultKind,
    OutageState, //
};
use tokio::time::sleep;

use crate::{
    DemoError,
    demo_callers::DemoCallers,
    demo_daemons::DemoDaemons,
    demo_environment::{
        DOMAINS,
        DemoEnvironment, //
    },
    demo_operator::DemoOperator,
    demo_request_stats::RequestCounts,
};

/// The failure domain that is taken out and brought back.
const TAKEN_OUT_DOMAIN: &str = DOMAINS[1];
/// The failure domain whose daemon is lost and replaced.
const REPLACED_DAEMON_DOMAIN: &str = DOMAINS[2];
/// How long a failure domain may still get work after operators took it out.
const TAKE_OUT_GRACE_PERIOD: Duration = Duration::from_secs(3);
const TABLE_OUTAGE_DURATION: Duration = Duration::from_secs(5);

/// Requests and tasks that started in the failure domain after it was taken out and the grace period had passed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LateStarts {
    pub(crate) requests: u64,
    pub(crate) tasks: usize,
}

/// Prints the number of requests by outcome since the previous call.
struct DemoProgress<'a> {
    callers: &'a DemoCallers,
    before: RequestCounts,
}

impl<'a> DemoProgress<'a> {
    fn new(callers: &'a DemoCallers) -> Self {
        Self {
            callers,
            before: RequestCounts::default(),
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

/// Injects the faults one after another, and returns what started in a failure domain that was out.
///
/// The waits between the steps are fractions of `seconds` and take about three quarters of it, but a failure domain is
/// out for at least twice the grace period. The table service's outage and the daemon's replacement come on top.
pub(crate) async fn run_faults(
    environment: &DemoEnvironment,
    operator: &DemoOperator,
    daemons: &mut DemoDaemons,
    callers: &DemoCallers,
    seconds: u64,
) -> Result<LateStarts, DemoError> {
    let total = Duration::from_secs(seconds);
    let mut progress = DemoProgress::new(callers);
    println!("Everything is well.");
    sleep(total.mul_f64(0.15)).await;
    progress.print();
    let late_starts =
        measure_taken_out_domain(environment, operator, daemons, total.mul_f64(0.3)).await?;
    progress.print();
    bring_domain_back(operator, daemons).await?;
    sleep(total.mul_f64(0.05)).await;
    progress.print();
    interrupt_table_service(environment).await;
    progress.print();
    println!("The table service is back.");
    sleep(total.mul_f64(0.05)).await;
    progress.print();
    replace_daemon(environment, daemons).await?;
    sleep(total.mul_f64(0.2)).await;
    progress.print();
    Ok(late_starts)
}

/// Takes a failure domain out, and counts what starts in it after the grace period.
async fn measure_taken_out_domain(
    environment: &DemoEnvironment,
    operator: &DemoOperator,
    daemons: &DemoDaemons,
    time: Duration,
) -> Result<LateStarts, DemoError> {
    let domain = DomainName::from(TAKEN_OUT_DOMAIN);
    let daemon = daemons.balancer.pick(0).ok_or(DemoError::NotReady)?;
    println!("Failure domain `{domain}` is taken out.");
    operator
        .set_domain(daemon.administration, &domain, DomainState::Out)
        .await?;
    sleep(TAKE_OUT_GRACE_PERIOD).await;
    let from = environment.clock.monotonic();
    let arrivals_before = environment.arrivals_in(&domain);
    sleep(
        time.saturating_sub(TAKE_OUT_GRACE_PERIOD)
            .max(TAKE_OUT_GRACE_PERIOD),
    )
    .await;
    let until = environment.clock.monotonic();
    let late_starts = LateStarts {
        requests: environment.arrivals_in(&domain) - arrivals_before,
        tasks: environment.runs.starts_in(&domain, from, until).len(),
    };
    Ok(late_starts)
}

async fn bring_domain_back(
    operator: &DemoOperator,
    daemons: &DemoDaemons,
) -> Result<(), DemoError> {
    let domain = DomainName::from(TAKEN_OUT_DOMAIN);
    let daemon = daemons.balancer.pick(1).ok_or(DemoError::NotReady)?;
    println!("Failure domain `{domain}` is brought back.");
    let changed = operator
        .set_domain(daemon.administration, &domain, DomainState::In)
        .await;
    Ok(changed?)
}

async fn interrupt_table_service(environment: &DemoEnvironment) {
    println!(
        "The table service is down for {} s.",
        TABLE_OUTAGE_DURATION.as_secs()
    );
    let faults = environment.table.faults();
    faults.set_outage(OutageState::Down(FaultKind::Unreachable));
    sleep(TABLE_OUTAGE_DURATION).await;
    faults.set_outage(OutageState::Up);
}

async fn replace_daemon(
    environment: &DemoEnvironment,
    daemons: &mut DemoDaemons,
) -> Result<(), DemoError> {
    println!("The daemon in `{REPLACED_DAEMON_DOMAIN}` is lost, and another one is started.");
    daemons.kill_newest(environment);
    daemons
        .start_daemon(environment, &DomainName::from(REPLACED_DAEMON_DOMAIN))
        .await
}
