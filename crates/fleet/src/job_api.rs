//! The API for callers: accepts and cancels jobs, and reports their progress.

use std::{
    rc::Rc,
    time::Duration, //
};

use jasminebend_dispatch::{
    Dispatcher,
    JobGraph,
    JobKey,
    JobOutcome,
    JobProgress,
    QueueRule, //
};
use serde::Serialize;
use tokio::sync::SemaphorePermit;

use crate::{
    CallerAnswer,
    CallerRequest,
    CallerVerb,
    CommitOutcome,
    JobRecord,
    LogEvent,
    RowCommit,
    StoreError,
    StoreRow,
    StoreTable,
    admission_check::check_admission,
    call_limit::CallLimit,
    fleet_log::whole_millis,
    job_codec::encode_job,
    peer_client::PeerCallError,
    progress_codec::decode_progress,
    shared_state::{
        CANCELLATION_SUFFIX,
        SHARD_PART,
        SharedState,
        job_row_parts, //
    }, //
};

/// When a refused caller should retry while the store is lost. A caller retries for a few seconds in total and waits
/// for whole seconds; the shortest wait leaves it the most attempts.
const RETRY_WITHOUT_STORE: Duration = Duration::from_secs(1);
/// How long another daemon may take to answer a read.
const PEER_READ_TIMEOUT: Duration = Duration::from_millis(1200);
/// How long another daemon may take to carry out a submission or cancellation; the caller has already waited for the
/// attempt at this one.
const PEER_WRITE_TIMEOUT: Duration = Duration::from_millis(350);
/// The most other daemons to which a request is forwarded.
const MAX_PEERS_ASKED: usize = 2;

/// The most copies of a job that a request holds while it waits: its own, that of the record, the encoded row, the call to the
/// store, and the call to another daemon.
const HELD_COPIES: usize = 5;

/// Returns the memory that a request which submits or checks a job holds while it waits, in bytes.
pub(crate) fn held_bytes(graph: &JobGraph) -> usize {
    HELD_COPIES * graph.heap_bytes()
}

/// The API for callers, behind the HTTP front end.
pub struct JobApi {
    shared: Rc<SharedState>,
    store_calls: CallLimit,
    peer_calls: CallLimit,
}

/// Whether a request may be forwarded to other daemons.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Forwarding {
    /// The request came from a caller and may be forwarded.
    Allowed,
    /// Another daemon forwarded the request; it goes no further.
    Forbidden,
}

/// The rows of a job and its cancellation, from all parts that could be read.
struct JobRows {
    rows: Vec<StoreRow>,
    /// Whether all parts that may hold the job's rows were read.
    complete: bool,
}

impl JobRows {
    fn contains_job(&self, key: JobKey) -> bool {
        self.contains_key(&key.to_string())
    }

    fn contains_cancellation(&self, key: JobKey) -> bool {
        self.contains_key(&format!("{key}{CANCELLATION_SUFFIX}"))
    }

    fn contains_key(&self, name: &str) -> bool {
        self.rows.iter().any(|row| row.key == name)
    }
}

/// A part of the store in which a row could not be inserted.
#[derive(Serialize)]
struct PartFailureLine<'a> {
    dependency: &'static str,
    part: &'a str,
    row: &'a str,
    outcome: String,
}

/// The answer to a caller's request, with the state that it was based on.
#[derive(Serialize)]
struct RequestLine<'a> {
    request: &'a str,
    path: &'a str,
    outcome: String,
    config_version: u64,
    config_age_ms: Option<u64>,
    owner_token: u64,
    without_store_ms: u64,
    took_ms: f64,
    at_peer: bool,
}

impl JobApi {
    pub(crate) fn new(shared: Rc<SharedState>) -> Self {
        let caller_calls = shared.settings.ingress.caller_calls;
        Self {
            shared,
            store_calls: CallLimit::new(caller_calls),
            peer_calls: CallLimit::new(caller_calls),
        }
    }

    /// Returns the limits on the calls that callers' requests make, by what they call.
    pub(crate) fn call_limits(&self) -> [(&'static str, &CallLimit); 2] {
        [("store", &self.store_calls), ("peers", &self.peer_calls)]
    }

    /// Waits for the permit to call another daemon for a caller. A request that another daemon forwarded needs none: daemons would
    /// wait for each other.
    async fn peer_permit(&self, forwarding: Forwarding) -> Option<SemaphorePermit<'_>> {
        match forwarding {
            Forwarding::Allowed => self.peer_calls.acquire().await,
            Forwarding::Forbidden => None,
        }
    }

    /// Returns the memory that the submission of a job holds while it waits, in bytes.
    pub fn submission_bytes(graph: &JobGraph) -> usize {
        held_bytes(graph)
    }

    /// Returns the largest accepted body of a caller's request, in bytes.
    pub fn body_limit(&self) -> usize {
        const DEFAULT_BODY_LIMIT_BYTES: usize = 256 << 10;
        self.shared
            .configuration()
            .map_or(DEFAULT_BODY_LIMIT_BYTES, |configuration| {
                configuration.body_limit
            })
    }

    /// Answers a submission whose body need not be read, from the host and the path alone.
    pub fn answer_head(&self, host: &str, path: &str) -> Option<CallerAnswer> {
        let answer = match self.shared.configuration() {
            None => CallerAnswer::Refused(RETRY_WITHOUT_STORE),
            Some(configuration) => match configuration.route(host, path) {
                None => CallerAnswer::NoQueue,
                Some(_) => return None,
            },
        };
        self.record_submission(path, &answer);
        Some(answer)
    }

    /// Answers a submission for which there is no memory. It may be the retry of one that was accepted, so that its outcome is
    /// unknown.
    pub fn answer_without_memory(&self, path: &str) -> CallerAnswer {
        self.record_submission(path, &CallerAnswer::Unknown);
        CallerAnswer::Unknown
    }

    /// Answers a caller's request.
    pub async fn answer(&self, request: CallerRequest) -> CallerAnswer {
        self.answer_and_log(request, Forwarding::Allowed).await
    }

    /// Answers a caller's request that another daemon forwarded.
    pub(crate) async fn answer_for_peer(&self, request: CallerRequest) -> CallerAnswer {
        self.answer_and_log(request, Forwarding::Forbidden).await
    }

    async fn answer_and_log(&self, request: CallerRequest, forwarding: Forwarding) -> CallerAnswer {
        let started_at = self.shared.now();
        let path = request.path.clone();
        let verb = verb_label(&request.verb);
        let answer = self.route(request, forwarding).await;
        let took = self.shared.now().saturating_sub(started_at);
        self.record(verb, &path, &answer, took, forwarding);
        answer
    }

    fn record_submission(&self, path: &str, answer: &CallerAnswer) {
        self.record("submit", path, answer, Duration::ZERO, Forwarding::Allowed);
    }

    /// Records an answer in the metrics and the log.
    fn record(
        &self,
        verb: &'static str,
        path: &str,
        answer: &CallerAnswer,
        took: Duration,
        forwarding: Forwarding,
    ) {
        metrics::histogram!("jasminebend_fleet_request_seconds", "verb" => verb)
            .record(took.as_secs_f64());
        metrics::counter!("jasminebend_fleet_requests_total", "verb" => verb, "answer" => answer_label(answer))
            .increment(1);
        // Reads are not logged: they are no decisions.
        if !is_read(answer) {
            self.shared.log.line(
                LogEvent::Request,
                RequestLine {
                    request: verb,
                    path,
                    outcome: format!("{answer:?}"),
                    config_version: self
                        .shared
                        .configuration()
                        .map_or(0, |configuration| configuration.version),
                    config_age_ms: self.shared.configuration_age().map(whole_millis),
                    owner_token: self.shared.highest_token.get(),
                    without_store_ms: whole_millis(self.shared.store.failing_for()),
                    took_ms: took.as_secs_f64() * 1000.0,
                    at_peer: forwarding == Forwarding::Forbidden,
                },
            );
        }
    }

    async fn route(&self, request: CallerRequest, forwarding: Forwarding) -> CallerAnswer {
        let Some(configuration) = self.shared.configuration() else {
            return CallerAnswer::Refused(RETRY_WITHOUT_STORE);
        };
        let Some((queue, rest)) = configuration.route(&request.host, &request.path) else {
            return CallerAnswer::NoQueue;
        };
        if rest.is_empty() {
            return match request.verb {
                CallerVerb::Read => self.count_waiting(&queue.name, request, forwarding).await,
                _ => CallerAnswer::Malformed("a job's identity is missing".to_owned()),
            };
        }
        let key = match rest.parse::<JobKey>() {
            Ok(key) => key,
            Err(error) => {
                return match request.verb {
                    CallerVerb::Submit(_) => CallerAnswer::Malformed(error.to_string()),
                    CallerVerb::Read | CallerVerb::Cancel => CallerAnswer::NoJob,
                };
            }
        };
        match &request.verb {
            CallerVerb::Submit(graph) => match graph.validate() {
                Ok(()) => {
                    self.submit(key, queue, graph.clone(), request, forwarding)
                        .await
                }
                Err(error) => CallerAnswer::Malformed(error.to_string()),
            },
            CallerVerb::Read => self.read(key, request, forwarding).await,
            CallerVerb::Cancel => self.cancel(key, request, forwarding).await,
        }
    }

    async fn submit(
        &self,
        key: JobKey,
        queue: &QueueRule,
        graph: JobGraph,
        request: CallerRequest,
        forwarding: Forwarding,
    ) -> CallerAnswer {
        let record = JobRecord {
            queue: queue.name.to_string(),
            accepted_ms: whole_millis(self.shared.wall()),
            graph,
        };
        let Ok(value) = encode_job(&record, queue) else {
            return CallerAnswer::Malformed("the job can't be kept".to_owned());
        };
        if !self.shared.store.is_lost()
            && let Some(retry_after) = self
                .check_admission(key, queue, &record.graph, forwarding)
                .await
        {
            return self.refuse(key, retry_after, request, forwarding).await;
        }
        match self.insert(key, key.to_string(), value).await {
            // A row that already exists was written by an earlier attempt of the same caller.
            Ok(_) => CallerAnswer::Done,
            Err(error) => self.forward_after_failure(request, forwarding, error).await,
        }
    }

    /// Returns the time after which the caller should retry if there is no free capacity for its job.
    async fn check_admission(
        &self,
        key: JobKey,
        queue: &QueueRule,
        graph: &JobGraph,
        forwarding: Forwarding,
    ) -> Option<Duration> {
        let _permit = self.peer_permit(forwarding).await;
        check_admission(&self.shared, key, &queue.name, graph).await
    }

    /// Refuses a job for which there is no free capacity, unless an earlier attempt of the same caller recorded it.
    async fn refuse(
        &self,
        key: JobKey,
        retry_after: Duration,
        request: CallerRequest,
        forwarding: Forwarding,
    ) -> CallerAnswer {
        match self.read_job_rows(key).await {
            Ok(rows) if rows.contains_job(key) => CallerAnswer::Done,
            Ok(rows) if rows.complete => CallerAnswer::Refused(retry_after),
            _ => {
                self.forward_after_failure(request, forwarding, StoreError::Refused)
                    .await
            }
        }
    }

    async fn cancel(
        &self,
        key: JobKey,
        request: CallerRequest,
        forwarding: Forwarding,
    ) -> CallerAnswer {
        let answer = match self.read_job_rows(key).await {
            Ok(rows) if rows.contains_job(key) => CallerAnswer::Done,
            // A submission without an answer may still be written, and must not run after this.
            Ok(rows) if rows.complete => CallerAnswer::NoJob,
            _ => {
                return self
                    .forward_after_failure(request, forwarding, StoreError::Refused)
                    .await;
            }
        };
        let name = format!("{key}{CANCELLATION_SUFFIX}");
        match self.insert(key, name, Vec::new()).await {
            Ok(_) => answer,
            Err(error) => self.forward_after_failure(request, forwarding, error).await,
        }
    }

    /// Inserts a job's row, unless it exists, in the first of the job's parts that can be written. Readers treat
    /// copies of a row in several parts as one row.
    async fn insert(
        &self,
        key: JobKey,
        name: String,
        value: Vec<u8>,
    ) -> Result<CommitOutcome, StoreError> {
        let mut unknown = false;
        for part in job_row_parts(key) {
            if self.shared.store.is_lost() {
                break;
            }
            let row = StoreRow::new(StoreTable::Jobs, &part, name.clone(), value.clone());
            let commit = RowCommit {
                guards: vec![row.guard(0)],
                writes: vec![row],
            };
            let _permit = self.store_calls.acquire().await;
            match self.shared.store.commit(commit).await {
                Ok(answer) => return Ok(answer),
                Err(error) => {
                    unknown |= error != StoreError::Refused;
                    self.log_part_failure(&part, &name, error);
                }
            }
        }
        Err(match unknown {
            true => StoreError::Unknown,
            false => StoreError::Refused,
        })
    }

    fn log_part_failure(&self, part: &str, row: &str, error: StoreError) {
        self.shared.log.line(
            LogEvent::Dependency,
            PartFailureLine {
                dependency: "store_part",
                part,
                row,
                outcome: error.to_string(),
            },
        );
    }

    /// Reads a job's rows from all of its parts.
    async fn read_job_rows(&self, key: JobKey) -> Result<JobRows, StoreError> {
        if self.shared.store.is_lost() {
            return Err(StoreError::Refused);
        }
        let (from, to) = (key.to_string(), format!("{key}~"));
        let [first, second, third] = job_row_parts(key);
        let store = &self.shared.store;
        let _permit = self.store_calls.acquire().await;
        let (first, second, third) = tokio::join!(
            store.read_few(StoreTable::Jobs, &first, &from, Some(&to)),
            store.read_few(StoreTable::Jobs, &second, &from, Some(&to)),
            store.read_few(StoreTable::Jobs, &third, &from, Some(&to)),
        );
        let reads = [first, second, third];
        let complete = reads.iter().all(Result::is_ok);
        let read = reads.into_iter().flatten();
        Ok(JobRows {
            rows: read.flat_map(|(rows, _)| rows).collect(),
            complete,
        })
    }

    async fn read(
        &self,
        key: JobKey,
        request: CallerRequest,
        forwarding: Forwarding,
    ) -> CallerAnswer {
        let term = self.shared.loaded_term();
        // A replaced owner may not know it yet.
        let is_confirmed = term
            .as_ref()
            .is_some_and(|term| self.shared.may_send_orders(term));
        let known = term.and_then(|term| read_progress(&term.dispatcher.borrow(), key));
        if let Some(answer) = known.clone().filter(|_| is_confirmed) {
            return answer;
        }
        if let Some(answer) = self.read_from_peers(&request, forwarding).await {
            return answer;
        }
        match self.read_from_store(key).await {
            Ok(Some(answer)) => answer,
            Ok(None) => CallerAnswer::NoJob,
            Err(_) => known.unwrap_or(CallerAnswer::Refused(RETRY_WITHOUT_STORE)),
        }
    }

    /// Reads a job's progress from the store alone.
    async fn read_from_store(&self, key: JobKey) -> Result<Option<CallerAnswer>, StoreError> {
        let rows = self.read_job_rows(key).await?;
        if !rows.complete {
            return Err(StoreError::Refused);
        }
        if !rows.contains_job(key) {
            return Ok(None);
        }
        let (from, to) = (key.to_string(), format!("{key}~"));
        let _permit = self.store_calls.acquire().await;
        let (progress_rows, _) = self
            .shared
            .store
            .read_few(StoreTable::Progress, SHARD_PART, &from, Some(&to))
            .await?;
        let record = progress_rows
            .first()
            .and_then(|row| decode_progress(&row.value).ok());
        let failure = record.as_ref().and_then(|record| record.failure.as_ref());
        if let Some(failure) = failure {
            return Ok(Some(CallerAnswer::Failed(failure.to_string())));
        }
        let outcome = record.as_ref().and_then(|record| record.outcome);
        Ok(Some(CallerAnswer::Progress(match outcome {
            Some(outcome) => JobProgress::Ended(outcome),
            None if rows.contains_cancellation(key) => JobProgress::Ended(JobOutcome::Cancelled),
            None if record.is_some() => JobProgress::Running,
            None => JobProgress::Queued,
        })))
    }

    async fn count_waiting(
        &self,
        queue: &str,
        request: CallerRequest,
        forwarding: Forwarding,
    ) -> CallerAnswer {
        // A replaced owner may not know it yet, and its count would be of any age.
        let term = self.shared.loaded_term();
        if let Some(term) = term.filter(|term| self.shared.may_send_orders(term)) {
            return CallerAnswer::Waiting(term.dispatcher.borrow().waiting_job_count(queue) as u64);
        }
        match self.read_from_peers(&request, forwarding).await {
            // Another daemon may not know yet a queue that this one knows.
            Some(answer @ CallerAnswer::Waiting(_)) => answer,
            _ => CallerAnswer::Refused(RETRY_WITHOUT_STORE),
        }
    }

    /// Forwards a read to the owner, or, if this daemon has lost the store and may not know the owner, to any daemon.
    /// Returns `None` if no daemon answered it.
    async fn read_from_peers(
        &self,
        request: &CallerRequest,
        forwarding: Forwarding,
    ) -> Option<CallerAnswer> {
        if forwarding == Forwarding::Forbidden {
            return None;
        }
        let peers = match self.shared.store.is_lost() {
            true => self.shared.peer_addresses(),
            false => self.shared.owner_address().into_iter().collect(),
        };
        let _permit = self.peer_permit(forwarding).await;
        for address in peers.into_iter().take(MAX_PEERS_ASKED) {
            let forwarded =
                self.shared
                    .forward_to_peer(&address, request.clone(), PEER_READ_TIMEOUT);
            match forwarded.await {
                Ok(CallerAnswer::Refused(_) | CallerAnswer::Unknown) | Err(_) => {}
                Ok(answer) => return Some(answer),
            }
        }
        None
    }

    /// Forwards a request after the attempt here failed with `error`. If that attempt may have taken effect, a
    /// refusal by another daemon does not change the outcome from unknown.
    async fn forward_after_failure(
        &self,
        request: CallerRequest,
        forwarding: Forwarding,
        error: StoreError,
    ) -> CallerAnswer {
        let unknown = error != StoreError::Refused;
        let answer = match forwarding {
            Forwarding::Allowed => self.forward_write(request).await,
            Forwarding::Forbidden => CallerAnswer::Refused(RETRY_WITHOUT_STORE),
        };
        match answer {
            CallerAnswer::Refused(_) if unknown => CallerAnswer::Unknown,
            answer => answer,
        }
    }

    /// Forwards a request to other daemons; refuses it only if none of them can have carried it out.
    async fn forward_write(&self, request: CallerRequest) -> CallerAnswer {
        let mut unknown = false;
        let peers = self.shared.peer_addresses();
        let _permit = self.peer_permit(Forwarding::Allowed).await;
        for address in peers.into_iter().take(MAX_PEERS_ASKED) {
            let forwarded =
                self.shared
                    .forward_to_peer(&address, request.clone(), PEER_WRITE_TIMEOUT);
            match forwarded.await {
                Ok(answer @ (CallerAnswer::Done | CallerAnswer::NoJob)) => return answer,
                Ok(CallerAnswer::Unknown) | Err(PeerCallError::Unanswered) => unknown = true,
                Ok(_) | Err(PeerCallError::NotSent) => {}
            }
        }
        match unknown {
            true => CallerAnswer::Unknown,
            false => CallerAnswer::Refused(RETRY_WITHOUT_STORE),
        }
    }
}

fn verb_label(verb: &CallerVerb) -> &'static str {
    match verb {
        CallerVerb::Submit(_) => "submit",
        CallerVerb::Read => "read",
        CallerVerb::Cancel => "cancel",
    }
}

/// Returns the owner's answer to a read of a job; `None` if the job is unknown.
fn read_progress(dispatcher: &Dispatcher, key: JobKey) -> Option<CallerAnswer> {
    let progress = dispatcher.progress(key)?;
    Some(match dispatcher.failure(key) {
        Some(failure) => CallerAnswer::Failed(failure.to_string()),
        None => CallerAnswer::Progress(progress),
    })
}

fn is_read(answer: &CallerAnswer) -> bool {
    matches!(
        answer,
        CallerAnswer::Progress(_) | CallerAnswer::Failed(_) | CallerAnswer::Waiting(_)
    )
}

fn answer_label(answer: &CallerAnswer) -> &'static str {
    match answer {
        CallerAnswer::Done => "done",
        CallerAnswer::Progress(_) | CallerAnswer::Failed(_) | CallerAnswer::Waiting(_) => "told",
        CallerAnswer::NoJob | CallerAnswer::NoQueue => "not_there",
        CallerAnswer::Malformed(_) => "malformed",
        CallerAnswer::Refused(_) => "refused",
        CallerAnswer::Unknown => "unknown",
    }
}
