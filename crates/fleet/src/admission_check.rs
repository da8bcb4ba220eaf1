//! Admission control for long-running jobs: asks the owner for a decision, and decides as the owner.

use std::time::Duration;

use jasminebend_dispatch::{
    Admission,
    JobGraph,
    JobKey, //
};
use serde::Serialize;

use crate::{
    LogEvent,
    fleet_log::whole_millis,
    shared_state::SharedState, //
};

/// How long the owner may take to answer; without an answer the job is admitted.
const OWNER_DECISION_TIMEOUT: Duration = Duration::from_millis(350);

/// The admission decision on a long-running job; CPU amounts in millicores.
#[derive(Serialize)]
struct AdmissionLine<'a> {
    job: String,
    queue: &'a str,
    granted: bool,
    demand: u64,
    room: u64,
    short_need: u64,
    back_ms: u64,
    owner_token: u64,
}

/// Returns the time after which the caller should retry if there is no free capacity for its job, `None` if the job is
/// admitted.
pub(crate) async fn check_admission(
    shared: &SharedState,
    key: JobKey,
    queue: &str,
    graph: &JobGraph,
) -> Option<Duration> {
    if !graph.is_long_running() {
        return None;
    }
    let admission = match shared.owner_address() {
        None => decide_as_owner(shared, key, queue, graph),
        Some(owner) => {
            shared
                .peers
                .admit(&owner, key, queue, graph, OWNER_DECISION_TIMEOUT)
                .await
        }
    };
    match admission? {
        Admission::Granted => None,
        Admission::Refused(shortage) => Some(shortage.retry_after),
    }
}

/// Decides on a job as the owner. Returns `None` if another daemon is the owner or may have become it.
pub(crate) fn decide_as_owner(
    shared: &SharedState,
    key: JobKey,
    queue: &str,
    graph: &JobGraph,
) -> Option<Admission> {
    let term = shared.loaded_term()?;
    if !shared.may_send_orders(&term) {
        return None;
    }
    let now = shared.now();
    let admission = term.dispatcher.borrow_mut().admit(key, queue, graph, now);
    let (granted, shortage) = match admission {
        Admission::Granted => (true, None),
        Admission::Refused(shortage) => (false, Some(shortage)),
    };
    shared.log.line(
        LogEvent::Admission,
        AdmissionLine {
            job: key.to_string(),
            queue,
            granted,
            demand: shortage.map_or(0, |shortage| shortage.requested),
            room: shortage.map_or(0, |shortage| shortage.available),
            short_need: shortage.map_or(0, |shortage| shortage.short_task_need),
            back_ms: shortage.map_or(0, |shortage| whole_millis(shortage.retry_after)),
            owner_token: term.token(),
        },
    );
    Some(admission)
}
