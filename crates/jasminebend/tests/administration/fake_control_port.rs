//! A fake control port.

use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    PoisonError,
    atomic::{
        AtomicBool,
        Ordering, //
    }, //
};

use async_trait::async_trait;
use jasminebend::{
    ControlError,
    ControlPort,
    DaemonStatus, //
};
use jasminebend_base::{
    Configuration,
    ConfigurationVersion,
    DomainName,
    DomainState, //
};
use serde_json::{
    Value,
    json, //
};
use tokio::sync::{
    Semaphore,
    watch, //
};

/// A control port that keeps a configuration in memory, and fails changes with the error that its test sets.
pub(crate) struct FakeControlPort {
    configuration: Mutex<Arc<Configuration>>,
    /// The error that every change fails with; `None` if changes succeed.
    error: Mutex<Option<ControlError>>,
    jobs: Mutex<Vec<Value>>,
    ready: AtomicBool,
    /// Has a permit while the gate is open.
    gate: Semaphore,
    /// Has a permit for each requested change.
    requested: Semaphore,
    /// The number of changes that took effect.
    changes: watch::Sender<usize>,
}

impl FakeControlPort {
    pub(crate) fn new() -> Self {
        Self {
            configuration: Mutex::default(),
            error: Mutex::default(),
            jobs: Mutex::default(),
            ready: AtomicBool::new(true),
            gate: Semaphore::new(1),
            requested: Semaphore::new(0),
            changes: watch::Sender::new(0),
        }
    }

    /// Makes every further change fail with `error`.
    pub(crate) fn fail_with(&self, error: ControlError) {
        *lock(&self.error) = Some(error);
    }

    pub(crate) fn set_jobs(&self, jobs: impl Iterator<Item = u64>) {
        let jobs = jobs.map(|job| json!({"job": format!("{job:016x}")}));
        *lock(&self.jobs) = jobs.collect();
    }

    pub(crate) fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    /// Makes every change wait until [`Self::open_gate`] is called.
    pub(crate) fn close_gate(&self) {
        self.gate.forget_permits(1);
    }

    pub(crate) fn open_gate(&self) {
        self.gate.add_permits(1);
    }

    /// Waits until a change is requested.
    pub(crate) async fn wait_for_change_request(&self) {
        drop(self.requested.acquire().await);
    }

    /// Waits until a failure domain is taken out.
    pub(crate) async fn wait_until_taken_out(&self, name: &str) {
        let name = DomainName::from(name);
        let mut changes = self.changes.subscribe();
        while self.configuration().domain_state(&name) == DomainState::In {
            changes.changed().await.expect("a sender");
        }
    }

    /// Returns the number of changes that took effect.
    pub(crate) fn change_count(&self) -> usize {
        *self.changes.borrow()
    }

    pub(crate) fn set_configuration(&self, configuration: Configuration) {
        *lock(&self.configuration) = Arc::new(configuration);
    }

    /// Applies `edit` to the configuration and returns the new version, once the gate is open.
    async fn apply_change(&self, edit: impl FnOnce(&mut Configuration) + Send) -> ChangeResult {
        self.requested.add_permits(1);
        let _pass = self.gate.acquire().await;
        if let Some(error) = lock(&self.error).clone() {
            return Err(error);
        }
        let mut configuration = Configuration::clone(&lock(&self.configuration));
        edit(&mut configuration);
        configuration.version = configuration.version.next();
        let version = configuration.version;
        self.set_configuration(configuration);
        self.changes.send_modify(|count| *count += 1);
        Ok(version)
    }
}

type ChangeResult = Result<ConfigurationVersion, ControlError>;

#[async_trait]
impl ControlPort for FakeControlPort {
    fn status(&self) -> DaemonStatus {
        DaemonStatus {
            program: "test",
            failure_domain: DomainName::from("a"),
            region: "north".to_owned(),
            ready: self.ready(),
            stopping: false,
            configuration: self.configuration().version,
            cluster: Value::Null,
        }
    }

    fn ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    fn configuration(&self) -> Arc<Configuration> {
        Arc::clone(&lock(&self.configuration))
    }

    async fn replace(&self, new: Configuration, expected: ConfigurationVersion) -> ChangeResult {
        let found = self.configuration().version;
        if found != expected {
            return Err(ControlError::Stale { found });
        }
        let replacement = |old: &mut Configuration| {
            *old = Configuration {
                version: found,
                ..new
            }
        };
        self.apply_change(replacement).await
    }

    async fn set_domain(&self, name: DomainName, state: DomainState, _force: bool) -> ChangeResult {
        let set_state = |old: &mut Configuration| {
            let found = old.domains.iter_mut().find(|domain| domain.name == name);
            found.expect("a declared domain").state = state;
        };
        self.apply_change(set_state).await
    }

    async fn submit(&self, job: &[u8]) -> Result<String, ControlError> {
        let job = String::from_utf8_lossy(job).len();
        self.apply_change(|_| ())
            .await
            .map(|_| format!("job-{job}"))
    }

    async fn cancel(&self, _job: &str) -> Result<(), ControlError> {
        self.apply_change(|_| ()).await.map(|_| ())
    }

    async fn job(&self, job: &str) -> Result<Value, ControlError> {
        Err(ControlError::NotFound {
            kind: "job",
            name: job.to_owned(),
        })
    }

    async fn jobs(&self) -> Result<Vec<Value>, ControlError> {
        Ok(lock(&self.jobs).clone())
    }
}

fn lock<Content>(mutex: &Mutex<Content>) -> MutexGuard<'_, Content> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
