//! What becomes of an endpoint's next requests.

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
    EndpointKnobs, //
};

/// What becomes of an endpoint's next requests.
#[derive(Clone, Debug)]
pub(crate) struct EndpointPlan {
    pub(crate) knobs: EndpointKnobs,
    next: VecDeque<EndpointFault>,
    source: SmallRng,
}

impl EndpointPlan {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            knobs: EndpointKnobs::default(),
            next: VecDeque::new(),
            source: SmallRng::seed_from_u64(seed),
        }
    }

    pub(crate) fn push(&mut self, fault: EndpointFault) {
        self.next.push_back(fault);
    }

    pub(crate) fn draw_fault(&mut self) -> Option<EndpointFault> {
        if self.knobs.leaving {
            return Some(EndpointFault::Refuse);
        }
        self.next
            .pop_front()
            .or_else(|| self.knobs.always.clone())
            .or_else(|| self.draw_mix())
    }

    pub(crate) fn draw_time(&mut self) -> Duration {
        let time = self.knobs.service_time.draw(&mut self.source);
        time * 1000 / self.knobs.speed_millis.max(1)
    }

    fn draw_mix(&mut self) -> Option<EndpointFault> {
        if self.knobs.mix.is_empty() {
            return None;
        }
        let mut drawn = self.source.random_range(0..1000);
        for (fault, share) in &self.knobs.mix {
            if drawn < *share {
                return Some(fault.clone());
            }
            drawn -= share;
        }
        None
    }
}
