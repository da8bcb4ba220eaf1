//! A stand-in for the platform's table service.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    }, //
};

use async_trait::async_trait;
use bytes::Bytes;
use http::{
    Method,
    StatusCode,
    request::Parts, //
};
use jasminebend_ports::{
    AccessToken,
    ClockSource,
    CommitOutcome,
    RowChange,
    RowKey,
    SystemClock,
    TableError,
    TableRequest,
    TableRow,
    TableService,
    WriteId, //
};
use serde::Serialize;
use tokio::net::TcpListener;

use crate::{
    CallKind,
    FaultKind,
    FaultPlan,
    ServerGuard,
    http_server::{
        self,
        CallHandler, //
    },
    table_rows::TableRows,
    wire_response::{
        ResponseResult,
        fault_response,
        json_response,
        refused_response, //
    }, //
};

/// A stand-in for the platform's table service. Copies share their rows, so that one can be used in memory while
/// another is served over HTTP.
#[derive(Clone)]
pub struct TableStandIn {
    table: Arc<Mutex<TableRows>>,
    faults: FaultPlan,
    clock: Arc<dyn ClockSource>,
    token: Option<AccessToken>,
}

impl Default for TableStandIn {
    fn default() -> Self {
        Self::new()
    }
}

impl TableStandIn {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self {
            table: Arc::default(),
            faults: FaultPlan::default(),
            clock: Arc::new(SystemClock::new()),
            token: None,
        }
    }

    /// Sets the fault plan.
    pub fn with_faults(mut self, faults: FaultPlan) -> Self {
        self.faults = faults;
        self
    }

    /// Sets the clock that measures the write limit's seconds.
    pub fn with_clock(mut self, clock: Arc<dyn ClockSource>) -> Self {
        self.clock = clock;
        self
    }

    /// Sets the access token that HTTP callers must send.
    pub fn with_token(mut self, token: AccessToken) -> Self {
        self.token = Some(token);
        self
    }

    /// Returns the fault plan, which also holds the call counts.
    pub fn faults(&self) -> &FaultPlan {
        &self.faults
    }

    /// Returns all rows whose key starts with `prefix`, without fault injection.
    pub fn rows<Prefix>(&self, prefix: Prefix) -> Vec<TableRow>
    where
        Prefix: Into<RowKey>,
    {
        self.lock().scan(&prefix.into(), None, usize::MAX)
    }

    /// Commits changes without fault injection.
    pub fn commit_without_faults(&self, write: WriteId, changes: &[RowChange]) -> CommitOutcome {
        self.lock().commit(write, changes)
    }

    /// Serves the table on an ephemeral port of the loopback interface.
    ///
    /// # Errors
    ///
    /// Returns the error of a socket that can't be bound.
    pub async fn start(&self) -> Result<(SocketAddr, ServerGuard), io::Error> {
        http_server::start(Arc::new(self.clone())).await
    }

    /// Serves the table on `listener` until the returned guard is dropped.
    pub fn serve(&self, listener: TcpListener) -> ServerGuard {
        http_server::serve(listener, Arc::new(self.clone()))
    }

    async fn run_with_faults<Answer, Effect>(
        &self,
        call: CallKind,
        effect: Effect,
    ) -> Result<Answer, FaultKind>
    where
        Answer: Send + 'static,
        Effect: Fn(&mut TableRows) -> Answer + Send + 'static,
    {
        let table = Arc::clone(&self.table);
        let effect = move || effect(&mut table.lock().unwrap_or_else(PoisonError::into_inner));
        self.faults.run(call, self.clock.monotonic(), effect).await
    }

    async fn run_read(&self, key: RowKey) -> Result<Option<TableRow>, FaultKind> {
        let row = self
            .run_with_faults(CallKind::Read, move |table| table.read(&key))
            .await?;
        self.count_rows(row.as_slice());
        Ok(row)
    }

    async fn run_scan(
        &self,
        prefix: RowKey,
        after: Option<RowKey>,
        limit: usize,
    ) -> Result<Vec<TableRow>, FaultKind> {
        let rows = self
            .run_with_faults(CallKind::Scan, move |table| {
                table.scan(&prefix, after.as_ref(), limit)
            })
            .await?;
        self.count_rows(&rows);
        Ok(rows)
    }

    async fn run_commit(
        &self,
        write: WriteId,
        changes: Vec<RowChange>,
    ) -> Result<CommitOutcome, FaultKind> {
        let values = changes.iter().filter_map(|change| change.value.as_ref());
        self.faults
            .count_rows(changes.len(), values.map(Vec::len).sum());
        self.run_with_faults(CallKind::Commit, move |table| table.commit(write, &changes))
            .await
    }

    fn count_rows(&self, rows: &[TableRow]) {
        let bytes = rows.iter().map(|row| row.value.len()).sum();
        self.faults.count_rows(rows.len(), bytes);
    }

    fn lock(&self) -> MutexGuard<'_, TableRows> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn table_error(fault: FaultKind) -> TableError {
    match fault {
        FaultKind::Unreachable => TableError::Unreachable,
        FaultKind::Refuse => TableError::Refused,
        FaultKind::Malformed => TableError::Malformed,
        _ => TableError::Unknown,
    }
}

#[async_trait]
impl TableService for TableStandIn {
    async fn read(&self, key: &RowKey) -> Result<Option<TableRow>, TableError> {
        self.run_read(key.clone()).await.map_err(table_error)
    }

    async fn scan(
        &self,
        prefix: &RowKey,
        after: Option<&RowKey>,
        limit: usize,
    ) -> Result<Vec<TableRow>, TableError> {
        self.run_scan(prefix.clone(), after.cloned(), limit)
            .await
            .map_err(table_error)
    }

    async fn commit(
        &self,
        write: WriteId,
        changes: Vec<RowChange>,
    ) -> Result<CommitOutcome, TableError> {
        self.run_commit(write, changes).await.map_err(table_error)
    }
}

#[async_trait]
impl CallHandler for TableStandIn {
    fn token(&self) -> Option<&AccessToken> {
        self.token.as_ref()
    }

    async fn answer(&self, head: Parts, body: Bytes, _caller: SocketAddr) -> ResponseResult {
        if head.uri.path() != TableRequest::PATH {
            return refused_response(StatusCode::NOT_FOUND, "no such path");
        }
        if head.method != Method::POST {
            return refused_response(StatusCode::METHOD_NOT_ALLOWED, "the path takes POST");
        }
        match serde_json::from_slice(&body) {
            Ok(TableRequest::Read { key }) => result_response(self.run_read(key).await),
            Ok(TableRequest::Scan {
                prefix,
                after,
                limit,
            }) => result_response(self.run_scan(prefix, after, limit).await),
            Ok(TableRequest::Commit { write, changes }) => {
                result_response(self.run_commit(write, changes).await)
            }
            Err(_) => refused_response(StatusCode::BAD_REQUEST, "the body is no table request"),
        }
    }
}

fn result_response<Answer>(answer: Result<Answer, FaultKind>) -> ResponseResult
where
    Answer: Serialize,
{
    match answer {
        Ok(answer) => json_response(StatusCode::OK, &answer),
        Err(kind) => fault_response(kind),
    }
}
