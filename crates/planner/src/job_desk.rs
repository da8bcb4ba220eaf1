//! How any daemon takes submissions and questions.

use std::{
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::{
        Duration,
        SystemTime, //
    },
};

use jasminebend_placement::{
    JobId,
    JobSpec, //
};
use jasminebend_ports::{
    CommitOutcome,
    ObjectKey,
    RowChange,
    RowExpectation,
    TableError,
    TableRow,
    WriteId, //
};
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};
use tokio::time::sleep;

use crate::{
    JobError,
    JobStatus,
    PlannerEdges,
    PlannerSettings,
    RecordError,
    SubmitError,
    inbox_entry::InboxEntry,
    job_row::{
        JobRow,
        fingerprint_of, //
    },
    record_codec,
    row_names,
    submit_check,
    trace_span, //
};

const TRIES: u32 = 4;
const RETRY_AFTER: Duration = Duration::from_millis(250);
const ROWS_PER_SCAN: usize = 500;
const MOST_LISTED: usize = 5000;

/// How any daemon takes submissions and questions: through the table, whoever owns the home shard.
pub(crate) struct JobDesk {
    settings: PlannerSettings,
    edges: Arc<PlannerEdges>,
    random: Mutex<StdRng>,
}

impl JobDesk {
    pub(crate) fn new(settings: PlannerSettings, edges: Arc<PlannerEdges>) -> Self {
        let random = Mutex::new(StdRng::seed_from_u64(edges.seed));
        Self {
            settings,
            edges,
            random,
        }
    }

    pub(crate) fn draw(&self) -> u64 {
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        random.next_u64()
    }

    pub(crate) async fn submit(&self, spec: JobSpec) -> Result<JobId, SubmitError> {
        let _span = trace_span::begin("planner.submit");
        let configuration = self.edges.configuration.borrow().clone();
        let vms = self.edges.vms.borrow().clone();
        let kind = submit_check::check(&spec, &configuration, &vms, self.settings.shards)?;
        let job = self.identity(&spec);
        let shard = submit_check::home_shard(job, spec.size, &vms, self.settings.shards);
        let row = JobRow {
            shard,
            fingerprint: fingerprint_of(&spec),
            status: JobStatus::submitted(job, &spec),
            ended_ms: None,
            results: None,
        };
        let entry = InboxEntry {
            job,
            spec,
            kind,
            submitted_ms: self.wall_ms(),
        };
        let job_row = record_codec::encode(&row).map_err(|_| SubmitError::Encoding)?;
        let inbox_row = record_codec::encode(&entry).map_err(|_| SubmitError::Encoding)?;
        // The job row is never deleted while a submission may be repeated: its absence is what makes
        // a copy of this commit that arrives late change nothing.
        let changes = vec![
            RowChange::put(row_names::job(job), RowExpectation::Absent, job_row),
            RowChange::put(
                row_names::inbox_entry(shard, job),
                RowExpectation::Any,
                inbox_row,
            ),
        ];
        self.insert(job, &row, changes).await
    }

    /// Commits a submission; the same commit is sent again until its fate is known.
    async fn insert(
        &self,
        job: JobId,
        row: &JobRow,
        changes: Vec<RowChange>,
    ) -> Result<JobId, SubmitError> {
        let write = WriteId(self.draw());
        let mut unknown = false;
        for _ in 0..TRIES {
            match self.edges.table.commit(write, changes.clone()).await {
                Ok(CommitOutcome::Committed(_)) => return Ok(job),
                Ok(CommitOutcome::Conflict { found, .. }) => {
                    return settle(job, row, write, found.as_ref());
                }
                Err(error) => unknown |= !error.surely_not_run(),
            }
            sleep(RETRY_AFTER).await;
        }
        match unknown {
            true => Err(SubmitError::Unknown { job }),
            false => Err(SubmitError::TableUnavailable),
        }
    }

    fn identity(&self, spec: &JobSpec) -> JobId {
        let Some(key) = &spec.key else {
            return JobId(self.draw());
        };
        let mut hasher = blake3::Hasher::new();
        hasher.update(spec.team.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(key.as_bytes());
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        JobId(u64::from_be_bytes(bytes))
    }

    pub(crate) async fn row(&self, job: JobId) -> Result<JobRow, JobError> {
        let found = self.edges.table.read(&row_names::job(job)).await?;
        let found = found.ok_or(JobError::UnknownJob { job })?;
        let mut row: JobRow = record_codec::decode(&found.value)?;
        if let Some(key) = &row.results {
            let body = self
                .edges
                .objects
                .get(&ObjectKey::from(key.as_str()))
                .await?;
            let body = body.ok_or(JobError::Record(RecordError::Torn))?;
            row.status.results = record_codec::decode(&body)?;
        }
        Ok(row)
    }

    pub(crate) async fn rows(&self) -> Result<Vec<JobRow>, JobError> {
        let prefix = row_names::JOBS.into();
        let mut rows = Vec::new();
        let mut after = None;
        while rows.len() < MOST_LISTED {
            let found = self
                .edges
                .table
                .scan(&prefix, after.as_ref(), ROWS_PER_SCAN)
                .await?;
            let full = found.len() == ROWS_PER_SCAN;
            for row in found {
                rows.push(record_codec::decode(&row.value)?);
                after = Some(row.key);
            }
            if !full {
                break;
            }
        }
        Ok(rows)
    }

    /// Writes the cancellations of one shard as one row.
    pub(crate) async fn put_cancels(&self, shard: u16, jobs: &[JobId]) -> Result<(), JobError> {
        let write = WriteId(self.draw());
        let key = row_names::cancel_entry(shard, write);
        let value = record_codec::encode(jobs)?;
        // Sent twice, it cancels twice, which changes nothing.
        let changes = vec![RowChange::put(key, RowExpectation::Any, value)];
        let mut last = TableError::Unreachable;
        for _ in 0..TRIES {
            match self.edges.table.commit(write, changes.clone()).await {
                Ok(_) => return Ok(()),
                Err(error) => last = error,
            }
            sleep(RETRY_AFTER).await;
        }
        Err(JobError::Table(last))
    }

    fn wall_ms(&self) -> u64 {
        let since = self
            .edges
            .clock
            .wall()
            .duration_since(SystemTime::UNIX_EPOCH);
        since.map_or(0, |time| {
            u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
        })
    }
}

fn settle(
    job: JobId,
    row: &JobRow,
    write: WriteId,
    found: Option<&TableRow>,
) -> Result<JobId, SubmitError> {
    let Some(found) = found else {
        return Err(SubmitError::Unknown { job });
    };
    if found.write == write {
        return Ok(job);
    }
    // The owner may have changed the row since; the fingerprint stays.
    let known: JobRow =
        record_codec::decode(&found.value).map_err(|_| SubmitError::Unknown { job })?;
    match known.fingerprint == row.fingerprint {
        true => Ok(job),
        false => Err(SubmitError::KeyReused { job }),
    }
}
