//! Workers that count starts and stops, can take a failure domain out when its first start arrives,
//! and can delay stops.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};

use async_trait::async_trait;
use jasminebend_base::{
    Configuration,
    DomainName,
    DomainState, //
};
use jasminebend_ports::{
    WorkerAnswer,
    WorkerError,
    WorkerRequest, //
    WorkerTransport,
};
use jasminebend_standins::WorkerFleet;
use tokio::{
    sync::watch,
    time::sleep, //
};

use crate::test_bed::TestBed;

/// Counts of the calls to all workers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CallCounts {
    /// Starts that were sent to the failure domain, including the one that took it out.
    pub(crate) starts_in_domain: usize,
    pub(crate) stops: usize,
    pub(crate) stops_in_flight: usize,
    pub(crate) most_stops_in_flight: usize,
}

/// Passes calls on to the worker stand-ins and counts them.
pub(crate) struct CountingWorkers {
    fleet: WorkerFleet,
    configuration: watch::Sender<Arc<Configuration>>,
    domain: Option<DomainName>,
    stop_time: Duration,
    counts: Mutex<CallCounts>,
}

impl CountingWorkers {
    pub(crate) fn new(bed: &TestBed) -> Self {
        Self {
            fleet: bed.fleet.clone(),
            configuration: bed.configuration.clone(),
            domain: None,
            stop_time: Duration::ZERO,
            counts: Mutex::default(),
        }
    }

    /// Takes this failure domain out of use when its first start arrives.
    pub(crate) fn with_domain_going_out(mut self, domain: &str) -> Self {
        self.domain = Some(domain.into());
        self
    }

    /// Delays each stop by this long.
    pub(crate) fn with_stop_time(mut self, time: Duration) -> Self {
        self.stop_time = time;
        self
    }

    pub(crate) fn counts(&self) -> CallCounts {
        *self.counts.lock().unwrap()
    }

    /// Counts a start in the failure domain and takes the domain out.
    fn note_start(&self, worker: SocketAddr) {
        let domain = self.fleet.worker(worker).map(|worker| worker.domain());
        if domain.is_none() || domain != self.domain {
            return;
        }
        self.counts.lock().unwrap().starts_in_domain += 1;
        self.configuration.send_modify(|configuration| {
            let mut changed = Configuration::clone(configuration);
            let domains = changed.domains.iter_mut();
            domains
                .filter(|entry| Some(&entry.name) == domain.as_ref())
                .for_each(|entry| entry.state = DomainState::Out);
            *configuration = Arc::new(changed);
        });
    }

    /// Counts a stop and delays it.
    async fn delay_stop(&self) {
        {
            let mut counts = self.counts.lock().unwrap();
            counts.stops += 1;
            counts.stops_in_flight += 1;
            counts.most_stops_in_flight = counts.most_stops_in_flight.max(counts.stops_in_flight);
        }
        sleep(self.stop_time).await;
        self.counts.lock().unwrap().stops_in_flight -= 1;
    }
}

#[async_trait]
impl WorkerTransport for CountingWorkers {
    async fn call(
        &self,
        worker: SocketAddr,
        request: WorkerRequest,
    ) -> Result<WorkerAnswer, WorkerError> {
        match request {
            WorkerRequest::Start { .. } => self.note_start(worker),
            WorkerRequest::Stop { .. } => self.delay_stop().await,
            _ => {}
        }
        self.fleet.call(worker, request).await
    }
}
