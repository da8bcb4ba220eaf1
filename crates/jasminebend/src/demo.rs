//! The demonstration: everything in one process, on loopback, under faults.

use std::{
    sync::Arc,
    time::Duration, //
};

use tokio::time::sleep;

use crate::{
    DemoError,
    DemoOptions,
    LogLevel,
    LogSettings,
    demo_callers::DemoCallers,
    demo_client::DemoClient,
    demo_configuration::configuration,
    demo_daemons::DemoDaemons,
    demo_faults::run_faults,
    demo_jobs::DemoJobs,
    demo_operator::DemoOperator,
    demo_site::DemoSite,
    demo_verdict::report,
    set_up_log,
    stop_signals::StopSignals, //
};

const LONGEST_FINISH: Duration = Duration::from_secs(60);
const SETTLE: Duration = Duration::from_secs(2);

/// Runs the demonstration.
///
/// # Errors
///
/// Any [`DemoError`]; [`DemoError::Violated`] if a count that must be zero is not.
pub async fn run(options: DemoOptions) -> Result<(), DemoError> {
    let _log = set_up_log(LogSettings {
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
    while let Some(ended) = calls.join_next().await {
        ended?;
    }
    submissions.await?;
    jobs.settle_unknown().await;
    let unfinished = jobs.wait_finished(&site.runs, LONGEST_FINISH).await;
    let report = report(&site, &callers, &jobs, late, unfinished);
    println!("\n{report}");
    if options.keep_running {
        serve_until_signal(&daemons).await?;
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

async fn serve_until_signal(daemons: &DemoDaemons) -> Result<(), DemoError> {
    for daemon in daemons.balancer.ready() {
        println!(
            "callers {}   operators {}",
            daemon.callers, daemon.administration
        );
        println!("  curl -i http://{}/quote", daemon.callers);
        println!("  curl -i -d 'bench 7' http://{}/booking", daemon.callers);
        println!("  curl -s http://{}/v1/status", daemon.administration);
    }
    let mut signals = StopSignals::new()?;
    println!("Serving until a signal.");
    signals.first().await;
    Ok(())
}
