//! The demonstration: a whole system in one process, on loopback, with injected faults.

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
    demo_environment::DemoEnvironment,
    demo_faults::run_faults,
    demo_jobs::DemoJobs,
    demo_operator::DemoOperator,
    demo_verification::build_report,
    set_up_log,
    stop_signals::StopSignals, //
};

/// How long accepted jobs may take to finish after the last submission.
const JOB_FINISH_TIMEOUT: Duration = Duration::from_secs(60);
/// How long the daemons are given to apply the first configuration.
const CONFIGURATION_SETTLE_TIME: Duration = Duration::from_secs(2);

/// Runs the demonstration and prints its report.
///
/// # Errors
///
/// Returns [`DemoError::Violated`] if a count that must be zero is not, and another [`DemoError`] if a part of the
/// demonstration fails.
pub async fn run(options: DemoOptions) -> Result<(), DemoError> {
    let _log = set_up_log(LogSettings {
        level: LogLevel::Error,
        ..LogSettings::default()
    })?;
    let client = DemoClient::new();
    let operator = DemoOperator::new(client.clone());
    let environment = DemoEnvironment::start(options.seed).await?;
    let mut daemons = DemoDaemons::start(&environment, operator.clone(), options.seed).await?;
    configure(&operator, &daemons).await?;
    println!("Three daemons, six endpoints and six workers are up; faults follow.");
    let callers = DemoCallers::new(client, daemons.balancer.clone(), options.seed)?;
    let callers = Arc::new(callers);
    let jobs = DemoJobs::new(operator.clone(), daemons.balancer.clone(), options.seed);
    let jobs = Arc::new(jobs);
    let mut caller_tasks = callers.start();
    let submission_task = tokio::spawn(Arc::clone(&jobs).submit_until_stopped());
    let late_starts = run_faults(
        &environment,
        &operator,
        &mut daemons,
        &callers,
        options.seconds,
    )
    .await?;
    callers.stop();
    jobs.stop();
    while let Some(joined) = caller_tasks.join_next().await {
        joined?;
    }
    submission_task.await?;
    jobs.resubmit_unknown().await;
    let unfinished = jobs
        .wait_finished(&environment.runs, JOB_FINISH_TIMEOUT)
        .await;
    let report = build_report(&environment, &callers, &jobs, late_starts, unfinished);
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
    sleep(CONFIGURATION_SETTLE_TIME).await;
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
    signals.wait_for_stop().await;
    Ok(())
}
