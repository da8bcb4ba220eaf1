//! A control that its test sets.

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

/// A control that keeps a configuration in memory, and meets the fault that its test sets.
pub(crate) struct ControlFake {
    configuration: Mutex<Arc<Configuration>>,
    fault: Mutex<Option<ControlError>>,
    jobs: Mutex<Vec<Value>>,
    ready: AtomicBool,
    gate: Semaphore,
    asked: Semaphore,
    changes: watch::Sender<usize>,
}

impl ControlFake {
    pub(crate) fn new() -> Self {
        Self {
            configuration: Mutex::default(),
            fault: Mutex::default(),
            jobs: Mutex::default(),
            ready: AtomicBool::new(true),
            gate: Semaphore::new(1),
            asked: Semaphore::new(0),
            changes: watch::Sender::new(0),
        }
    }

    pub(crate) fn fail(&self, fault: ControlError) {
        *lock(&self.fault) = Some(fault);
    }

    pub(crate) fn set_jobs(&self, jobs: impl Iterator<Item = u64>) {
        let jobs = jobs.map(|job| json!({"job": format!("{job:016x}")}));
        *lock(&self.jobs) = jobs.collect();
    }

    pub(crate) fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    /// Holds every change back until [`Self::open_gate`].
    pub(crate) fn close_gate(&self) {
        self.gate.forget_permits(1);
    }

    pub(crate) fn open_gate(&self) {
        self.gate.add_permits(1);
    }

    /// Waits until a change is asked for.
    pub(crate) async fn wait_until_asked(&self) {
        drop(self.asked.acquire().await);
    }

    /// Waits until a failure domain is out.
    pub(crate) async fn wait_until_out(&self, name: &str) {
        let name = DomainName::from(name);
        let mut changes = self.changes.subscribe();
        while self.configuration().domain_state(&name) == DomainState::In {
            changes.changed().await.expect("a sender");
        }
    }

    /// Counts the changes that took effect.
    pub(crate) fn set_count(&self) -> usize {
        *self.changes.borrow()
    }

    pub(crate) fn set(&self, configuration: Configuration) {
        *lock(&self.configuration) = Arc::new(configuration);
    }

    async fn change(&self, edit: impl FnOnce(&mut Configuration) + Send) -> Outcome {
        self.asked.add_permits(1);
        let _pass = self.gate.acquire().await;
        if let Some(fault) = lock(&self.fault).clone() {
            return Err(fault);
        }
        let mut configuration = Configuration::clone(&lock(&self.configuration));
        edit(&mut configuration);
        configuration.version = configuration.version.next();
        let version = configuration.version;
        self.set(configuration);
        self.changes.send_modify(|count| *count += 1);
        Ok(version)
    }
}

type Outcome = Result<ConfigurationVersion, ControlError>;

#[async_trait]
impl ControlPort for ControlFake {
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

    async fn replace(&self, new: Configuration, expected: ConfigurationVersion) -> Outcome {
        let found = self.configuration().version;
        if found != expected {
            return Err(ControlError::Stale { found });
        }
        let keep = |old: &mut Configuration| {
            *old = Configuration {
                version: found,
                ..new
            }
        };
        self.change(keep).await
    }

    async fn set_domain(&self, name: DomainName, state: DomainState, _force: bool) -> Outcome {
        let domain = |old: &mut Configuration| {
            let found = old.domains.iter_mut().find(|domain| domain.name == name);
            found.expect("a declared domain").state = state;
        };
        self.change(domain).await
    }

    async fn submit(&self, job: &[u8]) -> Result<String, ControlError> {
        let job = String::from_utf8_lossy(job).len();
        self.change(|_| ()).await.map(|_| format!("job-{job}"))
    }

    async fn cancel(&self, _job: &str) -> Result<(), ControlError> {
        self.change(|_| ()).await.map(|_| ())
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
