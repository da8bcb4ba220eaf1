//! Job rows that daemons of this version and of earlier ones write and read.

use std::time::Duration;

use jasminebend_base::ResourceAmount;
use jasminebend_dispatch::{
    JobGraph,
    QueueRule,
    StepSpec, //
};
use jasminebend_fleet::{
    JobRecord,
    decode_job,
    encode_job, //
};

fn record() -> JobRecord {
    JobRecord {
        queue: "quotes".to_owned(),
        accepted_ms: 1_700_000_000_250,
        graph: JobGraph {
            payload: "payload".into(),
            steps: vec![StepSpec {
                count: 4,
                size: ResourceAmount::new(1000, 100),
                ..StepSpec::default()
            }],
            schedule: None,
        },
    }
}

fn rule() -> QueueRule {
    QueueRule {
        name: "quotes".into(),
        host: "host".to_owned(),
        prefix: "/quotes/".to_owned(),
        pool: "pool".into(),
        priority: 2,
        max_attempts: 4,
        duration_factor: 1.5,
        duration_allowance: Duration::from_millis(250),
        advice: None,
    }
}

/// Guards against a rule that is lost on its way to an owner that never saw it in a configuration.
#[test]
fn rule_of_a_jobs_queue_survives_the_store() {
    let value = encode_job(&record(), &rule()).expect("a job can be encoded");
    assert_eq!(decode_job(&value), Ok((record(), Some(rule()))));
}

/// Guards against jobs that are unknown while daemons of two versions run.
#[test]
fn jobs_are_read_across_versions() {
    let earlier = postcard::to_stdvec(&record()).expect("a job can be encoded");
    assert_eq!(decode_job(&earlier), Ok((record(), None)));
    let value = encode_job(&record(), &rule()).expect("a job can be encoded");
    assert_eq!(postcard::from_bytes(&value), Ok(record()));
}
