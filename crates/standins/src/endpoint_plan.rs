//! Chooses the fault and the service time of each request to a stand-in endpoint.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};

use crate::{
    EndpointFault,
    EndpointSettings, //
};

/// Chooses the fault and the service time of each request to a stand-in endpoint.
#[derive(Clone, Debug)]
pub(crate) struct EndpointPlan {
    pub(crate) settings: EndpointSettings,
    queued_faults: VecDeque<EndpointFault>,
    rng: SmallRng,
}

impl EndpointPlan {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            settings: EndpointSettings::default(),
            queued_faults: VecDeque::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    pub(crate) fn queue_fault(&mut self, fault: EndpointFault) {
        self.queued_faults.push_back(fault);
    }

    /// Returns the fault of the next request: the refusal of a leaving endpoint, else the next queued fault, else the
    /// fault of every request, else a random one.
    pub(crate) fn next_fault(&mut self) -> Option<EndpointFault> {
        if self.settings.leaving {
            return Some(EndpointFault::Refuse);
        }
        self.queued_faults
            .pop_front()
            .or_else(|| self.settings.always.clone())
            .or_else(|| self.draw_random_fault())
    }

    /// Returns a random service time, scaled by the endpoint's speed.
    pub(crate) fn next_service_time(&mut self) -> Duration {
        let time = self.settings.service_time.draw(&mut self.rng);
        time * 1000 / self.settings.speed_millis.max(1)
    }

    fn draw_random_fault(&mut self) -> Option<EndpointFault> {
        if self.settings.mix.is_empty() {
            return None;
        }
        let mut drawn = self.rng.random_range(0..1000);
        for (fault, share) in &self.settings.mix {
            if drawn < *share {
                return Some(fault.clone());
            }
            drawn -= share;
        }
        None
    }
}
