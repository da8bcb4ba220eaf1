//! The faults of the demonstration, one after another.

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
    demo_operator::DemoOperator,
    demo_site::{
        DOMAINS,
        DemoSite, //
    },
    demo_tally::TallyCounts,
};

/// The failure domain that is taken out and back.
const OUT: &str = DOMAINS[1];
/// The failure domain whose daemon is lost and replaced.
const REPLACED: &str = DOMAINS[2];
/// How long after operators took it out a failure domain may still get work.
const GRACE: Duration = Duration::from_secs(3);
const OUTAGE: Duration = Duration::from_secs(5);

/// Starts in the failure domain after it was out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LateStarts {
    pub(crate) requests: u64,
    pub(crate) tasks: usize,
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

/// Lets each fault happen in its turn, and returns what started where nothing may.
pub(crate) async fn run_faults(
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
