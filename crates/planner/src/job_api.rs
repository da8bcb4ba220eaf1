//! Job submission, cancellation and queries through the table, on any daemon.

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
    PlannerPorts,
    PlannerSettings,
    RecordError,
    SubmitError,
    inbox_entry::InboxEntry,
    job_row::{
        JobRow,
        fingerprint_of, //
    },
    record_codec,
    row_keys,
    submit_check,
    trace_span, //
};

/// How often a commit is sent before its result is reported as unknown or failed.
const MAX_COMMIT_ATTEMPTS: u32 = 4;
/// Delay between two attempts of a commit.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Limits the rows that one scan of the table returns.
const MAX_ROWS_PER_SCAN: usize = 500;
/// A listing of jobs stops scanning once it has this many.
const MAX_LISTED_JOBS: usize = 5000;

/// Accepts submissions and answers queries through the table, independent of which daemon owns the
/// job's home shard.
pub(crate) struct JobApi {
    settings: PlannerSettings,
    ports: Arc<PlannerPorts>,
    random: Mutex<StdRng>,
}

impl JobApi {
    pub(crate) fn new(settings: PlannerSettings, ports: Arc<PlannerPorts>) -> Self {
        let random = Mutex::new(StdRng::seed_from_u64(ports.seed));
        Self {
            settings,
            ports,
            random,
        }
    }

    /// Returns a random 64-bit identifier.
    pub(crate) fn random_id(&self) -> u64 {
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        random.next_u64()
    }

    /// Checks a submission and commits its job row and inbox row.
    pub(crate) async fn submit(&self, spec: JobSpec) -> Result<JobId, SubmitError> {
        let _span = trace_span::start_span("planner.submit");
        let configuration = self.ports.configuration.borrow().clone();
        let vms = self.ports.vms.borrow().clone();
        let kind =
            submit_check::check_submission(&spec, &configuration, &vms, self.settings.shards)?;
        let job = self.job_id_for(&spec);
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
        // The job row is not deleted while the submission may still be retried: the expectation
        // that it is absent makes a late copy of this commit fail.
        let changes = vec![
            RowChange::put(row_keys::job_row(job), RowExpectation::Absent, job_row),
            RowChange::put(
                row_keys::inbox_entry(shard, job),
                RowExpectation::Any,
                inbox_row,
            ),
        ];
        self.commit_submission(job, &row, changes).await
    }

    /// Commits a submission; sends the same commit again until its result is known or the attempts
    /// are used up.
    async fn commit_submission(
        &self,
        job: JobId,
        row: &JobRow,
        changes: Vec<RowChange>,
    ) -> Result<JobId, SubmitError> {
        let write = WriteId(self.random_id());
        let mut unknown = false;
        for _ in 0..MAX_COMMIT_ATTEMPTS {
            match self.ports.table.commit(write, changes.clone()).await {
                Ok(CommitOutcome::Committed(_)) => return Ok(job),
                Ok(CommitOutcome::Conflict { found, .. }) => {
                    return resolve_conflict(job, row, write, found.as_ref());
                }
                Err(error) => unknown |= !error.certainly_had_no_effect(),
            }
            sleep(RETRY_DELAY).await;
        }
        match unknown {
            true => Err(SubmitError::Unknown { job }),
            false => Err(SubmitError::TableUnavailable),
        }
    }

    /// Returns the identifier of a job: a hash of team and idempotency key if the submission has a
    /// key, else a random number.
    fn job_id_for(&self, spec: &JobSpec) -> JobId {
        let Some(key) = &spec.key else {
            return JobId(self.random_id());
        };
        let mut hasher = blake3::Hasher::new();
        hasher.update(spec.team.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(key.as_bytes());
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        JobId(u64::from_be_bytes(bytes))
    }

    /// Reads a job's row, with its results from the object store if they are stored there.
    pub(crate) async fn read_job(&self, job: JobId) -> Result<JobRow, JobError> {
        let found = self.ports.table.read(&row_keys::job_row(job)).await?;
        let found = found.ok_or(JobError::UnknownJob { job })?;
        let mut row: JobRow = record_codec::decode(&found.value)?;
        if let Some(key) = &row.results {
            let body = self
                .ports
                .objects
                .get(&ObjectKey::from(key.as_str()))
                .await?;
            let body = body.ok_or(JobError::Record(RecordError::Corrupt))?;
            row.status.results = record_codec::decode(&body)?;
        }
        Ok(row)
    }

    /// Reads the rows of all jobs; stops after the scan that reaches [`MAX_LISTED_JOBS`].
    pub(crate) async fn read_jobs(&self) -> Result<Vec<JobRow>, JobError> {
        let prefix = row_keys::JOBS_PREFIX.into();
        let mut rows = Vec::new();
        let mut after = None;
        while rows.len() < MAX_LISTED_JOBS {
            let found = self
                .ports
                .table
                .scan(&prefix, after.as_ref(), MAX_ROWS_PER_SCAN)
                .await?;
            let full = found.len() == MAX_ROWS_PER_SCAN;
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
    pub(crate) async fn write_cancellations(
        &self,
        shard: u16,
        jobs: &[JobId],
    ) -> Result<(), JobError> {
        let write = WriteId(self.random_id());
        let key = row_keys::cancellation_batch(shard, write);
        let value = record_codec::encode(jobs)?;
        // A commit that takes effect twice cancels the jobs twice, which changes nothing.
        let changes = vec![RowChange::put(key, RowExpectation::Any, value)];
        let mut last = TableError::Unreachable;
        for _ in 0..MAX_COMMIT_ATTEMPTS {
            match self.ports.table.commit(write, changes.clone()).await {
                Ok(_) => return Ok(()),
                Err(error) => last = error,
            }
            sleep(RETRY_DELAY).await;
        }
        Err(JobError::Table(last))
    }

    /// Returns the wall-clock time in milliseconds since the Unix epoch.
    fn wall_ms(&self) -> u64 {
        let since = self
            .ports
            .clock
            .wall()
            .duration_since(SystemTime::UNIX_EPOCH);
        since.map_or(0, |time| {
            u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
        })
    }
}

/// Decides whether a conflicting job row is the result of an earlier copy of this submission, an
/// equal submission with the same key, or a different job.
fn resolve_conflict(
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
    // The owner of the home shard may have changed the row since; the fingerprint never changes.
    let known: JobRow =
        record_codec::decode(&found.value).map_err(|_| SubmitError::Unknown { job })?;
    match known.fingerprint == row.fingerprint {
        true => Ok(job),
        false => Err(SubmitError::KeyReused { job }),
    }
}
