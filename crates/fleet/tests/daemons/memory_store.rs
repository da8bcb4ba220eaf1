//! An in-memory store with injected faults.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    future::Future,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use async_trait::async_trait;
use indexmap::IndexMap;
use jasminebend_base::ResourceAmount;
use jasminebend_dispatch::{
    FleetConfiguration,
    FleetWorker,
    ProgressRecord,
    QueueRule, //
};
use jasminebend_fleet::{
    CommitOutcome,
    FleetStore,
    MaintenanceWave,
    MemberRecord,
    MemberSet,
    OperatorChange,
    OwnerRecord,
    RegistryChange,
    RowChange,
    RowCommit,
    RowGuard,
    RowPage,
    StoreError,
    StoreRow,
    StoreTable,
    WaveStatus,
    WaveStatusOutcome,
    decode_progress, //
};
use tokio::{
    sync::{
        Mutex,
        Notify, //
    },
    task::spawn_local,
    time, //
};

type RowName = (StoreTable, String, String);

/// How long a daemon waits for the answer to a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1200);
/// How long a daemon waits for the answer to a watch, beyond the watch's own wait.
const WATCH_TIMEOUT: Duration = Duration::from_millis(700);

/// The most bytes of a row's value, the most guards and writes in a call, and the most bytes of a call.
const MAX_ROW_BYTES: usize = 64 << 10;
const MAX_CALL_ENTRIES: usize = 100;
const MAX_CALL_BYTES: usize = 1_000_000;

/// The delay of a write that is carried out late.
const LATE_WRITE_DELAY: Duration = Duration::from_secs(3);
/// The most bytes of an answer that are under way on a narrow link at a time.
const LINK_WINDOW: usize = 64 << 10;

/// A value, with the store's version at its last change.
struct Versioned<Value> {
    value: Value,
    version: u64,
}

/// An in-memory store that all daemons of a test share.
pub(crate) struct MemoryStore {
    rows: RefCell<Vec<(RowName, StoreRow)>>,
    version: Cell<u64>,
    changed: Notify,
    configuration: RefCell<Versioned<Arc<FleetConfiguration>>>,
    workers: RefCell<Versioned<Vec<FleetWorker>>>,
    /// The maintenance waves that the operator requests.
    pub(crate) waves: RefCell<Vec<MaintenanceWave>>,
    /// The identities of workers that the registry does not list.
    unlisted_workers: RefCell<Vec<Arc<str>>>,
    /// Whether each wave is completed, as the operator reads it.
    wave_statuses: RefCell<IndexMap<u64, Versioned<bool>>>,
}

/// One daemon's client of the store, with the faults injected for this daemon.
pub(crate) struct StoreClient {
    pub(crate) store: Rc<MemoryStore>,
    /// Whether every call is refused.
    pub(crate) refuses_calls: Cell<bool>,
    /// The parts whose calls all fail with an unknown outcome.
    pub(crate) failing_parts: RefCell<Vec<String>>,
    /// The parts of which a read takes longer, each with that latency.
    pub(crate) slow_parts: RefCell<Vec<(String, Duration)>>,
    /// How many of the next commits are applied but not answered.
    pub(crate) lost_answers: Cell<u32>,
    /// How many of the next writes of the workers' list are not answered, and carried out late.
    pub(crate) late_worker_writes: Cell<u32>,
    /// How many of the next writes of jobs are not answered, and carried out late.
    pub(crate) late_job_writes: Cell<u32>,
    /// How many of the next writes of a wave's status are not answered, and carried out late.
    pub(crate) late_status_writes: Cell<u32>,
    /// Whether writes of what was done for a wave are refused.
    pub(crate) refuses_wave_records: Cell<bool>,
    /// Whether calls are lost on their way to the store.
    silent: Cell<bool>,
    /// The latency of a read, except of jobs.
    pub(crate) read_latency: Cell<Duration>,
    /// The latency of a read of jobs.
    pub(crate) job_read_latency: Cell<Duration>,
    /// The number of commits that were sent and not answered yet.
    pub(crate) commits_under_way: Cell<u32>,
    /// The latency of a commit.
    pub(crate) commit_latency: Cell<Duration>,
    /// How many times all open connections went silent for good.
    connection_losses: Cell<u32>,
    /// The version up to which the store no longer keeps changes.
    forgotten_version: Cell<u64>,
    /// The bytes per second that the daemon's link carries; `None` without a limit.
    pub(crate) link_rate: Cell<Option<u32>>,
    /// Held by the answer of which a window is under way; others queue behind it.
    link: Mutex<()>,
    /// When the link last carried a part of an answer.
    data_arrival: Cell<Option<time::Instant>>,
}

impl MemoryStore {
    /// Creates a store whose registry lists these workers.
    pub(crate) fn new(listed: Vec<FleetWorker>) -> Self {
        Self {
            rows: RefCell::new(Vec::new()),
            version: Cell::new(1),
            changed: Notify::new(),
            configuration: RefCell::new(Versioned {
                value: configuration(),
                version: 1,
            }),
            workers: RefCell::new(Versioned {
                value: listed,
                version: 1,
            }),
            waves: RefCell::default(),
            unlisted_workers: RefCell::default(),
            wave_statuses: RefCell::default(),
        }
    }

    fn commit(&self, commit: RowCommit) -> CommitOutcome {
        let mut rows = self.rows.borrow_mut();
        let find = |rows: &Vec<(RowName, StoreRow)>, guard: &RowGuard| {
            let name = (guard.table, guard.part.clone(), guard.key.clone());
            rows.iter()
                .find(|(known, _)| *known == name)
                .map(|(_, row)| row.clone())
        };
        let holds = commit
            .guards
            .iter()
            .all(|guard| find(&rows, guard).map_or(0, |row| row.version) == guard.version);
        if !holds {
            let current = commit.guards.iter().filter_map(|guard| find(&rows, guard));
            return CommitOutcome::Conflict(current.collect());
        }
        let version = self.next_version();
        for row in commit.writes {
            let name = (row.table, row.part.clone(), row.key.clone());
            rows.retain(|(known, _)| *known != name);
            rows.push((name, StoreRow { version, ..row }));
        }
        CommitOutcome::Applied(version)
    }

    /// Adds a queue to the configuration.
    pub(crate) fn add_queue(&self, name: &str) {
        let mut known = self.configuration.borrow_mut();
        let mut new = FleetConfiguration::clone(&known.value);
        new.version += 1;
        new.queues.insert(name.into(), queue(name));
        *known = Versioned {
            value: Arc::new(new),
            version: self.next_version(),
        };
    }

    /// Marks all workers as draining.
    pub(crate) fn drain_workers(&self) {
        let mut known = self.workers.borrow_mut();
        for worker in &mut known.value {
            worker.draining = true;
        }
        known.version = self.next_version();
    }

    /// Changes the capacity of the worker with this number.
    pub(crate) fn set_capacity(&self, worker: usize, capacity: ResourceAmount) {
        let mut known = self.workers.borrow_mut();
        known.value[worker].capacity = capacity;
        known.version = self.next_version();
    }

    /// Gives all workers one more label.
    pub(crate) fn add_label(&self, label: &str) {
        let mut known = self.workers.borrow_mut();
        for worker in &mut known.value {
            worker.labels.push(label.into());
        }
        known.version = self.next_version();
    }

    /// Lets the registry list a worker that has restarted.
    pub(crate) fn list_restarted(&self, restarted: &FleetWorker) {
        let mut known = self.workers.borrow_mut();
        let mut entries = known.value.iter_mut();
        if let Some(entry) = entries.find(|entry| entry.id == restarted.id) {
            entry.incarnation = restarted.incarnation;
        }
        known.version = self.next_version();
    }

    /// Returns the workers in the rows that the owner keeps for a successor, row by row.
    pub(crate) fn recorded_workers(&self) -> Vec<Vec<FleetWorker>> {
        let rows = self.rows_of(StoreTable::Progress, "s0", "workers-", Some("workers."));
        let lists = rows
            .iter()
            .map(|row| postcard::from_bytes(&row.value).unwrap_or_default());
        lists.collect()
    }

    /// Returns the number of jobs of which a step is on record as done.
    pub(crate) fn jobs_with_a_done_step(&self) -> usize {
        let rows = self.rows_of(StoreTable::Progress, "s0", "0", Some("g"));
        let records = rows
            .iter()
            .filter_map(|row| decode_progress(&row.value).ok());
        let is_done = |record: &ProgressRecord| record.steps.iter().any(|step| step.all_done);
        records.filter(is_done).count()
    }

    /// Lets the registry list this worker, or no longer list it.
    pub(crate) fn set_listed(&self, worker: usize, is_listed: bool) {
        let id = self.workers.borrow().value[worker].id.clone();
        let mut unlisted = self.unlisted_workers.borrow_mut();
        match is_listed {
            true => unlisted.retain(|known| *known != id),
            false => unlisted.push(id),
        }
        self.workers.borrow_mut().version = self.next_version();
    }

    /// Writes rows without guards, as another daemon would.
    pub(crate) fn write(&self, writes: Vec<StoreRow>) {
        let guards = Vec::new();
        self.commit(RowCommit { guards, writes });
    }

    /// Increments the store's version, wakes all watches, and returns the new version.
    fn next_version(&self) -> u64 {
        self.version.set(self.version.get() + 1);
        self.changed.notify_waiters();
        self.version.get()
    }

    fn operator_changes(&self) -> Vec<OperatorChange> {
        let configuration = Arc::clone(&self.configuration.borrow().value);
        let waves = self.waves.borrow();
        let waves = waves.iter().cloned().map(OperatorChange::WaveRequested);
        std::iter::once(OperatorChange::Configured(configuration))
            .chain(waves)
            .collect()
    }

    fn registry_changes(&self) -> Vec<RegistryChange> {
        let workers = self.workers.borrow();
        let unlisted = self.unlisted_workers.borrow();
        let changes = workers.value.iter().map(|worker| {
            if unlisted.contains(&worker.id) {
                return RegistryChange::Unlisted(Arc::clone(&worker.id));
            }
            RegistryChange::Listed(worker.clone())
        });
        changes.collect()
    }

    /// Returns the rows of a part with keys from `from`, inclusive, to `to`, exclusive, by their keys.
    fn rows_of(
        &self,
        table: StoreTable,
        part: &str,
        from: &str,
        to: Option<&str>,
    ) -> Vec<StoreRow> {
        let rows = self.rows.borrow();
        let mut items: Vec<StoreRow> = rows
            .iter()
            .map(|(_, row)| row.clone())
            .filter(|row| row.table == table && row.part == part)
            .filter(|row| row.key.as_str() >= from && to.is_none_or(|to| row.key.as_str() < to))
            .collect();
        items.sort_by(|left, right| left.key.cmp(&right.key));
        items
    }

    /// Returns the owner's row.
    pub(crate) fn owner(&self) -> Option<OwnerRecord> {
        let rows = self.rows.borrow();
        let (_, row) = rows.iter().find(|((_, _, key), _)| key == "owner")?;
        postcard::from_bytes(&row.value).ok()
    }

    /// Returns the set of members that count for majorities; empty if there is none.
    pub(crate) fn member_set(&self) -> MemberSet {
        let rows = self.rows.borrow();
        let row = rows.iter().find(|((_, _, key), _)| key == "member-set");
        let set = row.and_then(|(_, row)| postcard::from_bytes(&row.value).ok());
        set.unwrap_or_default()
    }

    /// Returns the row of a member; `None` if there is none.
    pub(crate) fn member(&self, node: &str) -> Option<MemberRecord> {
        let rows = self.rows.borrow();
        let mut members = rows.iter().filter(|((_, part, _), _)| part == "members");
        let (_, row) = members.find(|((_, _, key), _)| key == node)?;
        postcard::from_bytes(&row.value).ok()
    }

    /// Returns the number of members.
    pub(crate) fn members(&self) -> usize {
        let rows = self.rows.borrow();
        let members = rows.iter().filter(|((_, part, _), _)| part == "members");
        members.filter(|(_, row)| !row.value.is_empty()).count()
    }

    /// Removes all members.
    pub(crate) fn remove_members(&self) {
        let rows = self.rows.borrow().clone();
        let members = rows
            .into_iter()
            .filter(|((_, part, _), _)| part == "members");
        let empty = members.map(|(_, row)| StoreRow {
            value: Vec::new().into(),
            ..row
        });
        self.write(empty.collect());
    }

    /// Writes a wave's status, if the guard holds and the present status has the expected version.
    fn write_status(&self, status: WaveStatus, guard: &RowGuard) -> WaveStatusOutcome {
        let rows = self.rows_of(guard.table, &guard.part, &guard.key, None);
        let is_owner = rows
            .iter()
            .any(|row| row.key == guard.key && row.version == guard.version);
        let mut statuses = self.wave_statuses.borrow_mut();
        let present = statuses.get(&status.wave).map_or(0, |known| known.version);
        if !is_owner || present != status.version {
            return WaveStatusOutcome::Conflict(present);
        }
        let version = self.next_version();
        let value = status.completed;
        statuses.insert(status.wave, Versioned { value, version });
        WaveStatusOutcome::Written(version)
    }

    /// Returns whether a wave is shown as completed; `None` if it has no status.
    pub(crate) fn is_shown_completed(&self, wave: u64) -> Option<bool> {
        self.wave_statuses
            .borrow()
            .get(&wave)
            .map(|status| status.value)
    }

    /// Returns the number of a table's rows.
    pub(crate) fn count(&self, table: StoreTable) -> usize {
        let rows = self.rows.borrow();
        rows.iter()
            .filter(|((known, ..), _)| *known == table)
            .count()
    }
}

impl StoreClient {
    pub(crate) fn new(store: Rc<MemoryStore>) -> Self {
        Self {
            store,
            refuses_calls: Cell::new(false),
            failing_parts: RefCell::new(Vec::new()),
            slow_parts: RefCell::new(Vec::new()),
            lost_answers: Cell::new(0),
            late_worker_writes: Cell::new(0),
            late_job_writes: Cell::new(0),
            late_status_writes: Cell::new(0),
            refuses_wave_records: Cell::new(false),
            silent: Cell::new(false),
            read_latency: Cell::new(Duration::from_millis(2)),
            job_read_latency: Cell::new(Duration::from_millis(2)),
            commits_under_way: Cell::new(0),
            commit_latency: Cell::new(Duration::from_millis(2)),
            connection_losses: Cell::new(0),
            forgotten_version: Cell::new(0),
            link_rate: Cell::new(None),
            link: Mutex::new(()),
            data_arrival: Cell::new(None),
        }
    }

    /// Drops the history: a watch after an earlier version fails with [`StoreError::HistoryDropped`].
    pub(crate) fn forget_history(&self) {
        self.forgotten_version.set(self.store.next_version());
    }

    /// Leaves all calls unanswered from now on; their connections stay open.
    pub(crate) fn go_silent(&self) {
        self.silent.set(true);
        self.lose_connections();
    }

    /// Answers new calls again; calls on connections that went silent stay unanswered.
    pub(crate) fn answer_again(&self) {
        self.silent.set(false);
    }

    /// Lets all open connections go silent for good; new ones work.
    pub(crate) fn lose_connections(&self) {
        self.connection_losses.set(self.connection_losses.get() + 1);
    }

    /// Makes a call; if the call or its answer is lost, fails with an unknown outcome after `timeout`.
    async fn deliver<Answer, Call>(
        &self,
        timeout: Duration,
        call: Call,
    ) -> Result<Answer, StoreError>
    where
        Call: Future<Output = Result<Answer, StoreError>>,
    {
        let deadline = time::Instant::now() + timeout;
        let connection_losses = self.connection_losses.get();
        if !self.silent.get() {
            let answer = call.await;
            if self.connection_losses.get() == connection_losses {
                return answer;
            }
        }
        time::sleep_until(deadline).await;
        Err(StoreError::Unknown)
    }

    /// Waits until `rows` returns changes, or `wait` has passed.
    async fn wait_for_changes<Item, Rows>(
        &self,
        after: u64,
        wait: Duration,
        rows: Rows,
    ) -> Result<RowPage<Item>, StoreError>
    where
        Rows: Fn() -> Vec<Item>,
    {
        let until = time::Instant::now() + wait;
        loop {
            self.check_reachable()?;
            if after < self.forgotten_version.get() {
                return Err(StoreError::HistoryDropped);
            }
            let changed = self.store.changed.notified();
            let items = rows();
            if !items.is_empty() || time::Instant::now() >= until {
                return Ok(self.page(items));
            }
            // Checks for an injected outage at intervals.
            drop(time::timeout(Duration::from_millis(100), changed).await);
        }
    }

    /// Waits until the daemon's link has carried the values of these rows, window by window, in turn with other answers.
    async fn transfer(&self, rows: &[StoreRow]) {
        let Some(rate) = self.link_rate.get() else {
            return;
        };
        let mut remaining: usize = rows.iter().map(|row| row.value.len()).sum();
        while remaining > 0 {
            let window = remaining.min(LINK_WINDOW);
            remaining -= window;
            let _turn = self.link.lock().await;
            time::sleep(Duration::from_secs_f64(window as f64 / f64::from(rate))).await;
            self.data_arrival.set(Some(time::Instant::now()));
        }
    }

    fn page<Item>(&self, items: Vec<Item>) -> RowPage<Item> {
        RowPage {
            items,
            more: false,
            version: self.store.version.get(),
        }
    }

    fn check_part_reachable(&self, part: &str) -> Result<(), StoreError> {
        match self
            .failing_parts
            .borrow()
            .iter()
            .any(|broken| broken == part)
        {
            true => Err(StoreError::Unknown),
            false => self.check_reachable(),
        }
    }

    fn check_reachable(&self) -> Result<(), StoreError> {
        match self.refuses_calls.get() {
            true => Err(StoreError::Refused),
            false => Ok(()),
        }
    }
}

#[async_trait(?Send)]
impl FleetStore for StoreClient {
    async fn commit(&self, commit: RowCommit) -> Result<CommitOutcome, StoreError> {
        let call = async {
            self.commits_under_way.set(self.commits_under_way.get() + 1);
            time::sleep(self.commit_latency.get()).await;
            self.commits_under_way.set(self.commits_under_way.get() - 1);
            for row in &commit.writes {
                self.check_part_reachable(&row.part)?;
            }
            check_size(&commit)?;
            let mut writes = commit.writes.iter();
            if self.refuses_wave_records.get() && writes.any(|row| row.key.starts_with("wave-")) {
                return Err(StoreError::Refused);
            }
            let is_worker_write = commit
                .writes
                .iter()
                .any(|row| row.key.starts_with("workers-"));
            let is_job_write = commit
                .writes
                .iter()
                .any(|row| row.table == StoreTable::Jobs);
            let late_writes = match (is_worker_write, is_job_write) {
                (true, _) => Some(&self.late_worker_writes),
                (_, true) => Some(&self.late_job_writes),
                _ => None,
            };
            if let Some(count) = late_writes.filter(|count| count.get() > 0) {
                count.set(count.get() - 1);
                let store = Rc::clone(&self.store);
                spawn_local(async move {
                    time::sleep(LATE_WRITE_DELAY).await;
                    store.commit(commit);
                });
                time::sleep(CALL_TIMEOUT).await;
                return Err(StoreError::Unknown);
            }
            let answer = self.store.commit(commit);
            if self.lost_answers.get() > 0 {
                self.lost_answers.set(self.lost_answers.get() - 1);
                return Err(StoreError::Unknown);
            }
            Ok(answer)
        };
        self.deliver(CALL_TIMEOUT, call).await
    }

    async fn read(
        &self,
        table: StoreTable,
        part: &str,
        from: &str,
        to: Option<&str>,
        limit: usize,
    ) -> Result<RowPage<StoreRow>, StoreError> {
        let call = async {
            let takes = match table {
                StoreTable::Jobs => &self.job_read_latency,
                _ => &self.read_latency,
            };
            time::sleep(takes.get()).await;
            let slow = self
                .slow_parts
                .borrow()
                .iter()
                .find(|(name, _)| name == part)
                .cloned();
            if let Some((_, latency)) = slow {
                time::sleep(latency).await;
            }
            self.check_part_reachable(part)?;
            let mut page = self.page(self.store.rows_of(table, part, from, to));
            page.more = page.items.len() > limit;
            page.items.truncate(limit);
            self.transfer(&page.items).await;
            Ok(page)
        };
        self.deliver(CALL_TIMEOUT, call).await
    }

    async fn watch(
        &self,
        table: StoreTable,
        after: u64,
        wait: Duration,
    ) -> Result<RowPage<RowChange>, StoreError> {
        let call = self.wait_for_changes(after, wait, || {
            let rows = self.store.rows.borrow();
            let rows = rows.iter().map(|(_, row)| row);
            rows.filter(|row| row.table == table && row.version > after)
                .map(|row| RowChange {
                    part: row.part.clone(),
                    key: row.key.clone(),
                    row: Some(row.clone()),
                })
                .collect()
        });
        self.deliver(wait + WATCH_TIMEOUT, call).await
    }

    async fn read_operator(&self) -> Result<RowPage<OperatorChange>, StoreError> {
        let call = async {
            self.check_reachable()?;
            Ok(self.page(self.store.operator_changes()))
        };
        self.deliver(CALL_TIMEOUT, call).await
    }

    async fn watch_operator(
        &self,
        after: u64,
        wait: Duration,
    ) -> Result<RowPage<OperatorChange>, StoreError> {
        let call = self.wait_for_changes(after, wait, || {
            match self.store.configuration.borrow().version > after {
                true => self.store.operator_changes(),
                false => Vec::new(),
            }
        });
        self.deliver(wait + WATCH_TIMEOUT, call).await
    }

    async fn read_registry(&self) -> Result<RowPage<RegistryChange>, StoreError> {
        let call = async {
            self.check_reachable()?;
            Ok(self.page(self.store.registry_changes()))
        };
        self.deliver(CALL_TIMEOUT, call).await
    }

    async fn watch_registry(
        &self,
        after: u64,
        wait: Duration,
    ) -> Result<RowPage<RegistryChange>, StoreError> {
        let call = self.wait_for_changes(after, wait, || {
            match self.store.workers.borrow().version > after {
                true => self.store.registry_changes(),
                false => Vec::new(),
            }
        });
        self.deliver(wait + WATCH_TIMEOUT, call).await
    }

    fn close_idle_connections(&self) {}

    fn data_age(&self) -> Option<Duration> {
        self.data_arrival.get().map(|at| at.elapsed())
    }

    async fn write_wave_status(
        &self,
        status: WaveStatus,
        guard: RowGuard,
    ) -> Result<WaveStatusOutcome, StoreError> {
        let call = async {
            time::sleep(self.commit_latency.get()).await;
            self.check_reachable()?;
            if self.late_status_writes.get() == 0 {
                return Ok(self.store.write_status(status, &guard));
            }
            self.late_status_writes
                .set(self.late_status_writes.get() - 1);
            let store = Rc::clone(&self.store);
            spawn_local(async move {
                time::sleep(LATE_WRITE_DELAY).await;
                store.write_status(status, &guard);
            });
            time::sleep(CALL_TIMEOUT).await;
            Err(StoreError::Unknown)
        };
        self.deliver(CALL_TIMEOUT, call).await
    }
}

fn configuration() -> Arc<FleetConfiguration> {
    let mut queues = IndexMap::new();
    queues.insert("queue".into(), queue("queue"));
    Arc::new(FleetConfiguration {
        version: 1,
        queues,
        pools: IndexMap::new(),
        body_limit: 1 << 20,
    })
}

fn queue(name: &str) -> QueueRule {
    QueueRule {
        name: name.into(),
        host: "host".to_owned(),
        prefix: format!("/{name}/"),
        pool: "pool".into(),
        priority: 0,
        max_attempts: 3,
        duration_factor: 2.0,
        duration_allowance: Duration::from_secs(1),
        advice: None,
    }
}

/// Refuses a commit that is larger than the store accepts.
fn check_size(commit: &RowCommit) -> Result<(), StoreError> {
    let sizes = commit.writes.iter().map(|row| row.value.len());
    // Values are sent in Base64.
    let call_bytes = sizes.clone().sum::<usize>() / 3 * 4;
    let is_accepted = sizes.max().unwrap_or(0) <= MAX_ROW_BYTES
        && commit.guards.len() + commit.writes.len() <= MAX_CALL_ENTRIES
        && call_bytes <= MAX_CALL_BYTES;
    is_accepted.then_some(()).ok_or(StoreError::Refused)
}
