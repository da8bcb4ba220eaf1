//! Reads and watches the jobs and cancellations in the store.

use std::{
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use jasminebend_dispatch::{
    AcceptedJob,
    JobKey, //
};
use tokio::task::JoinSet;

use crate::{
    FleetRow,
    FleetTable,
    JobRecord,
    StoreError,
    fleet_shared::{
        CANCEL_SUFFIX,
        FleetShared,
        WATCH_WAIT,
        job_parts, //
    },
    owner_seat::OwnerSeat,
    store_link::WatchedRows, //
};

/// The upper limit for the age of a job's acceptance: daemons' wall clocks differ.
const OLDEST: Duration = Duration::from_secs(120);

/// The point up to which the owner knows the jobs.
#[derive(Clone, Copy)]
pub(crate) struct KnownJobs {
    /// The store's version from which to watch for changes.
    version: u64,
    /// When the call was sent that returned this version: all jobs accepted before that are known.
    asked_at: Duration,
}

impl KnownJobs {
    /// Returns whether a job that is not known yet may already run: a former owner that had not learned yet that it was
    /// replaced may have started it.
    fn may_run_already(self, seat: &OwnerSeat) -> bool {
        self.asked_at < seat.shared_until.get()
    }
}

/// Reads all jobs, and the version from which to watch them: the lowest of the parts' versions.
pub(crate) async fn read_jobs(
    shared: &Rc<FleetShared>,
) -> Result<(Vec<FleetRow>, KnownJobs), StoreError> {
    let asked_at = shared.now();
    let mut reads = JoinSet::new();
    for part in job_parts() {
        let shared = Rc::clone(shared);
        reads.spawn_local(async move {
            let store = &shared.store;
            store.read_all(FleetTable::Jobs, &part, "", None).await
        });
    }
    let mut rows = Vec::new();
    let mut version = u64::MAX;
    while let Some(read) = reads.join_next().await {
        let (part, read_version) = read.map_err(|_| StoreError::Unknown)??;
        rows.extend(part);
        version = version.min(read_version);
    }
    // Jobs first: a job's cancellation may be in another part than the job.
    rows.sort_by_key(|row| row.key.ends_with(CANCEL_SUFFIX));
    Ok((rows, KnownJobs { version, asked_at }))
}

/// Passes a row of the table of jobs, a job or a cancellation, to the dispatcher.
pub(crate) fn note_job_row(
    shared: &FleetShared,
    seat: &OwnerSeat,
    row: &FleetRow,
    inherited: bool,
) {
    let mut dispatcher = seat.dispatcher.borrow_mut();
    if let Some(name) = row.key.strip_suffix(CANCEL_SUFFIX) {
        if let Ok(key) = name.parse() {
            dispatcher.cancel_job(key);
        }
        return;
    }
    let Ok(key) = row.key.parse::<JobKey>() else {
        return;
    };
    let Ok(record) = postcard::from_bytes::<JobRecord>(&row.value) else {
        return;
    };
    let accepted = Duration::from_millis(record.accepted_ms);
    let age = shared.wall().saturating_sub(accepted).min(OLDEST);
    dispatcher.add_job(
        key,
        AcceptedJob {
            queue: record.queue.into(),
            graph: Arc::new(record.graph),
            accepted: shared.now().saturating_sub(age),
            inherited,
        },
    );
}

/// Watches the jobs until the future is dropped.
pub(crate) async fn follow_jobs(shared: Rc<FleetShared>, seat: Rc<OwnerSeat>, known: KnownJobs) {
    let mut known = known;
    loop {
        let asked_at = shared.now();
        let store = &shared.store;
        let call = store
            .raw()
            .watch(FleetTable::Jobs, known.version, WATCH_WAIT);
        match store.watch(WatchedRows::Jobs, call).await {
            Ok(page) => {
                let inherited = known.may_run_already(&seat);
                for row in page.items.iter().filter_map(|change| change.row.as_ref()) {
                    note_job_row(&shared, &seat, row, inherited);
                }
                known = KnownJobs {
                    version: page.version,
                    asked_at,
                };
                seat.plan.notify_one();
            }
            Err(StoreError::Forgotten) => match read_jobs_again(&shared, &seat, known).await {
                Ok(read) => known = read,
                Err(_) => shared.store.pause().await,
            },
            Err(_) => shared.store.pause().await,
        }
    }
}

async fn read_jobs_again(
    shared: &Rc<FleetShared>,
    seat: &OwnerSeat,
    known: KnownJobs,
) -> Result<KnownJobs, StoreError> {
    let (rows, read) = read_jobs(shared).await?;
    for row in &rows {
        note_job_row(shared, seat, row, known.may_run_already(seat));
    }
    Ok(read)
}
