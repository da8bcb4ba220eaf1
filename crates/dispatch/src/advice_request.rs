//! Request to the advice service.

use std::sync::Arc;

use crate::StepKey;

/// Request to the advice service for tickets with which workers may run a step.
#[derive(Clone, Debug, PartialEq)]
pub struct AdviceRequest {
    /// The step to run.
    pub step: StepKey,
    /// The identities of the candidate workers.
    pub workers: Vec<Arc<str>>,
}
