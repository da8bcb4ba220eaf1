//! The API for callers: accepts and cancels jobs, and reports their progress.

use std::{
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use jasminebend_dispatch::{
    JobGraph,
    JobKey,
    JobOutcome,
    JobProgress,
    ProgressRecord, //
};
use serde::Serialize;

use crate::{
    CallerAnswer,
    CallerCall,
    CallerVerb,
    CommitAnswer,
    FleetRow,
    FleetTable,
    JobRecord,
    LogEvent,
    RowCommit,
    StoreError,
    admission_desk::refusal,
    fleet_log::whole_millis,
    fleet_shared::{
        CANCEL_SUFFIX,
        FleetShared,
        SHARD_PART,
        parts_of_job, //
    },
    peer_client::PeerFault, //
};

/// When a refused caller should retry while the store is lost. A caller retries for a few seconds in total and waits
/// for whole seconds; the shortest wait leaves it the most attempts.
const BACK_WITHOUT_STORE: Duration = Duration::from_secs(1);
/// How long another daemon may take to answer a read.
const TOLD_WITHIN: Duration = Duration::from_millis(1200);
/// How long another daemon may take to carry out a submission or cancellation; the caller has already waited for the
/// attempt at this one.
const DONE_WITHIN: Duration = Duration::from_millis(350);
/// The most other daemons to which a request is forwarded.
const PEERS_ASKED: usize = 2;

/// The API for callers, behind the HTTP front end.
pub struct CallerDesk {
    shared: Rc<FleetShared>,
}

/// Whether a request may be forwarded to other daemons.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Reach {
    /// The request came from a caller and may be forwarded.
    Fleet,
    /// Another daemon forwarded the request; it goes no further.
    Here,
}

/// The rows of a job and its cancellation, from all parts that could be read.
struct JobRows {
    rows: Vec<FleetRow>,
    /// Whether all parts that may hold the job's rows were read.
    whole: bool,
}

impl JobRows {
    fn tells_of(&self, key: JobKey) -> bool {
        self.has(&key.to_string())
    }

    fn tells_of_cancellation(&self, key: JobKey) -> bool {
        self.has(&format!("{key}{CANCEL_SUFFIX}"))
    }

    fn has(&self, name: &str) -> bool {
        self.rows.iter().any(|row| row.key == name)
    }
}

/// A part of the store in which a row could not be inserted.
#[derive(Serialize)]
struct PartLine<'a> {
    dependency: &'static str,
    part: &'a str,
    row: &'a str,
    outcome: String,
}

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

impl CallerDesk {
    pub(crate) fn new(shared: Rc<FleetShared>) -> Self {
        Self { shared }
    }

    /// Returns the largest accepted body of a caller's request, in bytes.
    pub fn body_limit(&self) -> usize {
        const BEFORE_CONFIGURATION: usize = 256 << 10;
        self.shared
            .configuration()
            .map_or(BEFORE_CONFIGURATION, |configuration| {
                configuration.body_limit
            })
    }

    /// Answers a caller's request.
    pub async fn answer(&self, call: CallerCall) -> CallerAnswer {
        self.answer_within(call, Reach::Fleet).await
    }

    /// Answers a caller's request that another daemon forwarded.
    pub(crate) async fn answer_for_peer(&self, call: CallerCall) -> CallerAnswer {
        self.answer_within(call, Reach::Here).await
    }

    async fn answer_within(&self, call: CallerCall, reach: Reach) -> CallerAnswer {
        let begun = self.shared.now();
        let path = call.path.clone();
        let verb = verb_name(&call.verb);
        let answer = self.route(call, reach).await;
        let took = self.shared.now().saturating_sub(begun);
        metrics::histogram!("jasminebend_fleet_request_seconds", "verb" => verb)
            .record(took.as_secs_f64());
        metrics::counter!("jasminebend_fleet_requests_total", "verb" => verb, "answer" => answer_name(&answer))
            .increment(1);
        // Reads are not logged: they are no decisions.
        if !matches!(answer, CallerAnswer::Progress(_) | CallerAnswer::Waiting(_)) {
            self.shared.log.line(
                LogEvent::Request,
                RequestLine {
                    request: verb,
                    path: &path,
                    outcome: format!("{answer:?}"),
                    config_version: self
                        .shared
                        .configuration()
                        .map_or(0, |configuration| configuration.version),
                    config_age_ms: self.shared.configuration_age().map(whole_millis),
                    owner_token: self.shared.highest_token.get(),
                    without_store_ms: whole_millis(self.shared.store.without()),
                    took_ms: took.as_secs_f64() * 1000.0,
                    at_peer: reach == Reach::Here,
                },
            );
        }
        answer
    }

    async fn route(&self, call: CallerCall, reach: Reach) -> CallerAnswer {
        let Some(configuration) = self.shared.configuration() else {
            return CallerAnswer::Refused(BACK_WITHOUT_STORE);
        };
        let Some((queue, rest)) = configuration.route(&call.host, &call.path) else {
            return CallerAnswer::NoQueue;
        };
        let queue = Arc::clone(&queue.name);
        if rest.is_empty() {
            return match call.verb {
                CallerVerb::Read => self.count(&queue, call, reach).await,
                _ => CallerAnswer::Malformed("a job's identity is missing".to_owned()),
            };
        }
        let key = match rest.parse::<JobKey>() {
            Ok(key) => key,
            Err(error) => {
                return match call.verb {
                    CallerVerb::Submit(_) => CallerAnswer::Malformed(error.to_string()),
                    CallerVerb::Read | CallerVerb::Cancel => CallerAnswer::NoJob,
                };
            }
        };
        match &call.verb {
            CallerVerb::Submit(graph) => match graph.check() {
                Ok(()) => self.submit(key, &queue, graph.clone(), call, reach).await,
                Err(error) => CallerAnswer::Malformed(error.to_string()),
            },
            CallerVerb::Read => self.read(key, call, reach).await,
            CallerVerb::Cancel => self.cancel(key, call, reach).await,
        }
    }

    async fn submit(
        &self,
        key: JobKey,
        queue: &str,
        graph: JobGraph,
        call: CallerCall,
        reach: Reach,
    ) -> CallerAnswer {
        let record = JobRecord {
            queue: queue.to_owned(),
            accepted_ms: whole_millis(self.shared.wall()),
            graph,
        };
        let Ok(value) = postcard::to_stdvec(&record) else {
            return CallerAnswer::Malformed("the job can't be kept".to_owned());
        };
        if !self.shared.store.is_lost()
            && let Some(back) = refusal(&self.shared, key, queue, &record.graph).await
        {
            return self.refuse(key, back, call, reach).await;
        }
        match self.insert(key, key.to_string(), value).await {
            // A row that already exists was written by an earlier attempt of the same caller.
            Ok(_) => CallerAnswer::Done,
            Err(error) => self.elsewhere(call, reach, error).await,
        }
    }

    /// Refuses a job for which there is no free capacity, unless an earlier attempt of the same caller recorded it.
    async fn refuse(
        &self,
        key: JobKey,
        back: Duration,
        call: CallerCall,
        reach: Reach,
    ) -> CallerAnswer {
        match self.rows_of(key).await {
            Ok(rows) if rows.tells_of(key) => CallerAnswer::Done,
            Ok(rows) if rows.whole => CallerAnswer::Refused(back),
            _ => self.elsewhere(call, reach, StoreError::Refused).await,
        }
    }

    async fn cancel(&self, key: JobKey, call: CallerCall, reach: Reach) -> CallerAnswer {
        match self.rows_of(key).await {
            Ok(rows) if rows.tells_of(key) => {}
            Ok(rows) if rows.whole => return CallerAnswer::NoJob,
            _ => return self.elsewhere(call, reach, StoreError::Refused).await,
        }
        let name = format!("{key}{CANCEL_SUFFIX}");
        match self.insert(key, name, Vec::new()).await {
            Ok(_) => CallerAnswer::Done,
            Err(error) => self.elsewhere(call, reach, error).await,
        }
    }

    /// Inserts a job's row, unless it exists, in the first of the job's parts that can be written. Readers treat copies of
    /// a row in several parts as one row.
    async fn insert(
        &self,
        key: JobKey,
        name: String,
        value: Vec<u8>,
    ) -> Result<CommitAnswer, StoreError> {
        let mut unknown = false;
        for part in parts_of_job(key) {
            if self.shared.store.is_lost() {
                break;
            }
            let row = FleetRow::new(FleetTable::Jobs, &part, name.clone(), value.clone());
            let commit = RowCommit {
                guards: vec![row.guard(0)],
                writes: vec![row],
            };
            match self.shared.store.commit(commit).await {
                Ok(answer) => return Ok(answer),
                Err(error) => {
                    unknown |= error != StoreError::Refused;
                    self.tell_part(&part, &name, error);
                }
            }
        }
        Err(match unknown {
            true => StoreError::Unknown,
            false => StoreError::Refused,
        })
    }

    fn tell_part(&self, part: &str, row: &str, error: StoreError) {
        self.shared.log.line(
            LogEvent::Dependency,
            PartLine {
                dependency: "store_part",
                part,
                row,
                outcome: error.to_string(),
            },
        );
    }

    /// Reads a job's rows from all of its parts.
    async fn rows_of(&self, key: JobKey) -> Result<JobRows, StoreError> {
        if self.shared.store.is_lost() {
            return Err(StoreError::Refused);
        }
        let (from, to) = (key.to_string(), format!("{key}~"));
        let [first, second, third] = parts_of_job(key);
        let store = &self.shared.store;
        let (first, second, third) = tokio::join!(
            store.read_few(FleetTable::Jobs, &first, &from, Some(&to)),
            store.read_few(FleetTable::Jobs, &second, &from, Some(&to)),
            store.read_few(FleetTable::Jobs, &third, &from, Some(&to)),
        );
        let reads = [first, second, third];
        let whole = reads.iter().all(Result::is_ok);
        let read = reads.into_iter().flatten();
        Ok(JobRows {
            rows: read.flat_map(|(rows, _)| rows).collect(),
            whole,
        })
    }

    async fn read(&self, key: JobKey, call: CallerCall, reach: Reach) -> CallerAnswer {
        let seat = self.shared.knowing_seat();
        let known = seat.and_then(|seat| seat.dispatcher.borrow().progress(key));
        if let Some(progress) = known {
            return CallerAnswer::Progress(progress);
        }
        if let Some(answer) = self.ask_others(&call, reach).await {
            return answer;
        }
        match self.read_kept(key).await {
            Ok(Some(progress)) => CallerAnswer::Progress(progress),
            Ok(None) => CallerAnswer::NoJob,
            Err(_) => CallerAnswer::Refused(BACK_WITHOUT_STORE),
        }
    }

    /// Reads a job's progress from the store alone.
    async fn read_kept(&self, key: JobKey) -> Result<Option<JobProgress>, StoreError> {
        let rows = self.rows_of(key).await?;
        if !rows.whole {
            return Err(StoreError::Refused);
        }
        if !rows.tells_of(key) {
            return Ok(None);
        }
        let (from, to) = (key.to_string(), format!("{key}~"));
        let (kept, _) = self
            .shared
            .store
            .read_few(FleetTable::Progress, SHARD_PART, &from, Some(&to))
            .await?;
        let record = kept
            .first()
            .and_then(|row| postcard::from_bytes::<ProgressRecord>(&row.value).ok());
        let outcome = record.as_ref().and_then(|record| record.outcome);
        Ok(Some(match outcome {
            Some(outcome) => JobProgress::Ended(outcome),
            None if rows.tells_of_cancellation(key) => JobProgress::Ended(JobOutcome::Cancelled),
            None if record.is_some() => JobProgress::Running,
            None => JobProgress::Queued,
        }))
    }

    async fn count(&self, queue: &str, call: CallerCall, reach: Reach) -> CallerAnswer {
        if let Some(seat) = self.shared.knowing_seat() {
            return CallerAnswer::Waiting(seat.dispatcher.borrow().waiting(queue) as u64);
        }
        match self.ask_others(&call, reach).await {
            // Another daemon may not know yet a queue that this one knows.
            Some(answer @ CallerAnswer::Waiting(_)) => answer,
            _ => CallerAnswer::Refused(BACK_WITHOUT_STORE),
        }
    }

    /// Forwards a read to the owner, or, if this daemon has lost the store and may not know the owner, to any daemon.
    /// Returns `None` if no daemon answered it.
    async fn ask_others(&self, call: &CallerCall, reach: Reach) -> Option<CallerAnswer> {
        if reach == Reach::Here {
            return None;
        }
        let peers = match self.shared.store.is_lost() {
            true => self.shared.peer_addresses(),
            false => self.shared.owner_address().into_iter().collect(),
        };
        for address in peers.into_iter().take(PEERS_ASKED) {
            let asked = self.shared.ask_peer(&address, call.clone(), TOLD_WITHIN);
            match asked.await {
                Ok(CallerAnswer::Refused(_) | CallerAnswer::Unknown) | Err(_) => {}
                Ok(answer) => return Some(answer),
            }
        }
        None
    }

    /// Forwards a request after the attempt here failed with `error`. If that attempt may have taken effect, a refusal by
    /// another daemon does not change the outcome from unknown.
    async fn elsewhere(&self, call: CallerCall, reach: Reach, error: StoreError) -> CallerAnswer {
        let unknown = error != StoreError::Refused;
        let answer = match reach {
            Reach::Fleet => self.ask_for_it(call).await,
            Reach::Here => CallerAnswer::Refused(BACK_WITHOUT_STORE),
        };
        match answer {
            CallerAnswer::Refused(_) if unknown => CallerAnswer::Unknown,
            answer => answer,
        }
    }

    /// Forwards a request to other daemons; refuses it only if none of them can have carried it out.
    async fn ask_for_it(&self, call: CallerCall) -> CallerAnswer {
        let mut unknown = false;
        let peers = self.shared.peer_addresses();
        for address in peers.into_iter().take(PEERS_ASKED) {
            let asked = self.shared.ask_peer(&address, call.clone(), DONE_WITHIN);
            match asked.await {
                Ok(answer @ (CallerAnswer::Done | CallerAnswer::NoJob)) => return answer,
                Ok(CallerAnswer::Unknown) | Err(PeerFault::Unanswered) => unknown = true,
                Ok(_) | Err(PeerFault::Unsent) => {}
            }
        }
        match unknown {
            true => CallerAnswer::Unknown,
            false => CallerAnswer::Refused(BACK_WITHOUT_STORE),
        }
    }
}

fn verb_name(verb: &CallerVerb) -> &'static str {
    match verb {
        CallerVerb::Submit(_) => "submit",
        CallerVerb::Read => "read",
        CallerVerb::Cancel => "cancel",
    }
}

fn answer_name(answer: &CallerAnswer) -> &'static str {
    match answer {
        CallerAnswer::Done => "done",
        CallerAnswer::Progress(_) | CallerAnswer::Waiting(_) => "told",
        CallerAnswer::NoJob | CallerAnswer::NoQueue => "not_there",
        CallerAnswer::Malformed(_) => "malformed",
        CallerAnswer::Refused(_) => "refused",
        CallerAnswer::Unknown => "unknown",
    }
}
