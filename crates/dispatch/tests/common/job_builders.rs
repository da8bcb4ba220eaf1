//! Builders of jobs and of the configuration under which they are submitted.

use std::{
    sync::Arc,
    time::Duration, //
};

use indexmap::IndexMap;
use jasminebend_base::ResourceAmount;
use jasminebend_dispatch::{
    FleetConfiguration,
    JobGraph,
    QueueRule,
    StepSpec, //
};

pub(crate) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns a step of `count` tasks with 1 core each, after the given steps.
pub(crate) fn step(count: u32, after: &[u16]) -> StepSpec {
    StepSpec {
        count,
        size: ResourceAmount::new(1000, 100),
        estimate: ms(500),
        dependencies: after.to_vec(),
        ..StepSpec::default()
    }
}

pub(crate) fn graph(steps: Vec<StepSpec>) -> JobGraph {
    JobGraph {
        payload: "payload".into(),
        steps,
        schedule: None,
    }
}

pub(crate) fn configuration(max_attempts: u32) -> Arc<FleetConfiguration> {
    let rule = QueueRule {
        name: "queue".into(),
        host: "host".to_owned(),
        prefix: "/queue/".to_owned(),
        pool: "pool".into(),
        priority: 0,
        max_attempts,
        duration_factor: 2.0,
        duration_allowance: ms(1000),
        advice: None,
    };
    let mut queues = IndexMap::new();
    queues.insert(Arc::clone(&rule.name), rule);
    Arc::new(FleetConfiguration {
        version: 1,
        queues,
        pools: IndexMap::new(),
        body_limit: 1 << 20,
    })
}
